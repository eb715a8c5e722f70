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
