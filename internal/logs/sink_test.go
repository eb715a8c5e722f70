package logs

import (
	"bytes"
	"context"
	"encoding/json"
	stdlog "log"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// stalledOutput is an output whose writes block until release is closed.
type stalledOutput struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestWriteDoesNotBlockOnStalledOutput checks that Write returns at once while the
// output is blocked, such as a pipe that is not read.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledOutput{
			release: make(chan struct{}),
		}
		sink := NewSink(out, 1<<20)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			sink.Run(ctx)
			close(done)
		}()
		begin := time.Now()
		for range 5 * queueCapacity {
			_, _ = sink.Urgent().Write([]byte("a line\n"))
		}
		if got := time.Since(begin); got != 0 {
			t.Errorf("writing took %v, want 0", got)
		}
		if got, least := sink.Dropped(), uint64(3*queueCapacity); got < least {
			t.Errorf("dropped: got %d, want at least %d", got, least)
		}
		close(out.release)
		cancel()
		<-done
		if got := out.written.String(); !strings.Contains(got, "lines-dropped") {
			t.Error("the lines-dropped report is missing")
		}
	})
}

// TestRoutineLinesLeaveReserveForUrgent checks that an urgent line is written after
// many routine lines, which must not use up the whole rate limit.
func TestRoutineLinesLeaveReserveForUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := NewSink(&out, 1000)
		line := []byte(strings.Repeat("r", 99) + "\n")
		for range 100 {
			_, _ = sink.Routine().Write(line)
		}
		_, _ = sink.Urgent().Write([]byte("urgent\n"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		sink.Run(ctx)
		if !strings.Contains(out.String(), "urgent\n") {
			t.Error("the urgent line is missing")
		}
		if got, most := strings.Count(out.String(), "r\n"), 10; got > most {
			t.Errorf("got %d routine lines, want at most %d", got, most)
		}
	})
}

// TestLongLineIsTruncated checks that a line of any length takes little space and is
// valid JSON.
func TestLongLineIsTruncated(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out, DefaultBytesPerSecond)
	if _, err := s.Urgent().Write(bytes.Repeat([]byte("\xff\"\n"), 1<<20)); err != nil {
		t.Fatal(err)
	}
	s.flush()
	if got, want := out.Len(), maxLineBytes; got > want || got == 0 {
		t.Errorf("got %d bytes, want 1 to %d", got, want)
	}
	if got, want := json.Valid(out.Bytes()), true; got != want {
		t.Errorf("got %s, want JSON", out.Bytes())
	}
}

// TestStandardLoggerIsBounded checks that what net/http writes to the standard logger
// becomes a short JSON line.
func TestStandardLoggerIsBounded(t *testing.T) {
	var out bytes.Buffer
	RedirectStandard(log.NewWithOptions(&out, log.Options{
		Formatter: log.JSONFormatter,
	}))
	defer stdlog.SetOutput(os.Stderr)
	stdlog.Printf("unsolicited response %s", strings.Repeat("\xff\n", 4096))
	if got, want := out.Len(), 2*maxStandardBytes; got > want || got == 0 {
		t.Errorf("got %d bytes, want 1 to %d", got, want)
	}
	if got, want := json.Valid(out.Bytes()), true; got != want {
		t.Errorf("got %s, want JSON", out.Bytes())
	}
}
