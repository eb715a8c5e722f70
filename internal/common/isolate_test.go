package common

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

func newDependencies(t *testing.T, out io.Writer) *Dependencies {
	t.Helper()
	l, err := NewLogger(out, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	return &Dependencies{
		Log:     l,
		Metrics: metrics.NewSet(),
	}
}

// TestIsolate checks that a panic becomes an error and a log line.
func TestIsolate(t *testing.T) {
	var out strings.Builder
	c := newDependencies(t, &out)
	if err := c.Isolate("quiet", func() {}); err != nil {
		t.Errorf("without a panic: got %v, want no error", err)
	}
	err := c.Isolate("decode", func() {
		var content []byte
		_ = content[len(out.String())]
	})
	if !errors.Is(err, ErrPanic) {
		t.Errorf("got %v, want ErrPanic", err)
	}
	for _, want := range []string{"decode", "index out of range", "isolate_test.go"} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("log: got %s, want it to contain %q", got, want)
		}
	}
}

// TestRunTask checks that the failure of a task is reported, and its end is not.
func TestRunTask(t *testing.T) {
	c := newDependencies(t, io.Discard)
	var got []error
	c.OnTaskFailure = func(err error) { got = append(got, err) }
	c.RunTask("quiet", func() {})
	c.RunTask("broken", func() { panic("x") })
	if len(got) != 1 || !errors.Is(got[0], ErrPanic) {
		t.Errorf("got %v, want one ErrPanic", got)
	}
}
