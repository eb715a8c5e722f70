package logs

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalled is an output that nobody reads until it is released.
type stalled struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestWriteDoesNotBlockOnStalledOutput writes to an output that nobody reads.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{
			release: make(chan struct{}),
		}
		w := NewWriter(out, 1<<20)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		begin := time.Now()
		for range 5 * queueLines {
			_, _ = w.Urgent().Write([]byte("a line\n"))
		}
		if got := time.Since(begin); got != 0 {
			t.Errorf("writing took %v, want no wait", got)
		}
		if got, least := w.Dropped(), uint64(3*queueLines); got < least {
			t.Errorf("dropped: got %d, want at least %d", got, least)
		}
		close(out.release)
		cancel()
		<-done
		if got := out.written.String(); !strings.Contains(got, "lines-dropped") {
			t.Error("the output doesn't say that lines were dropped")
		}
	})
}

// TestRoutineLinesLeaveBudgetForUrgent fills the budget with routine lines.
func TestRoutineLinesLeaveBudgetForUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewWriter(&out, 1000)
		line := []byte(strings.Repeat("r", 99) + "\n")
		for range 100 {
			_, _ = w.Routine().Write(line)
		}
		_, _ = w.Urgent().Write([]byte("urgent\n"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w.Run(ctx)
		if !strings.Contains(out.String(), "urgent\n") {
			t.Error("the urgent line is missing")
		}
		if got, most := strings.Count(out.String(), "r\n"), 10; got > most {
			t.Errorf("got %d routine lines, want at most %d", got, most)
		}
	})
}
