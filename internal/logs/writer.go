// Package logs writes log lines without ever making a caller wait. One task
// owns the output: it bounds the bytes a second, lets the lines that matter most
// go first, and says how many were dropped.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is how many lines of each class may wait.
	queueCapacity = 512
	// DefaultBytesPerSecond bounds what is written, lines of both classes together.
	DefaultBytesPerSecond = 64 << 10
	// burstSeconds is how many seconds' worth may be written at once.
	burstSeconds = 2
	// urgentReserveDivisor is the part of the burst that is kept for urgent lines.
	urgentReserveDivisor = 2
	// reportInterval is how often dropped lines are told of.
	reportInterval = time.Second
)

// Writer is the task that owns the output. Make it with NewWriter and run it.
type Writer struct {
	out     io.Writer
	urgent  chan []byte
	routine chan []byte
	limiter *rate.Limiter
	// unreportedDrops counts the lines that were not written since the last report.
	unreportedDrops atomic.Int64
	totalDrops      atomic.Uint64
}

// NewWriter returns a writer that isn't running yet.
func NewWriter(out io.Writer, bytesPerSecond int) *Writer {
	return &Writer{
		out:     out,
		urgent:  make(chan []byte, queueCapacity),
		routine: make(chan []byte, queueCapacity),
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstSeconds*bytesPerSecond),
	}
}

// Urgent takes lines on changes, failures and refusals.
func (w *Writer) Urgent() io.Writer {
	return &lineQueue{
		writer: w,
		lines:  w.urgent,
	}
}

// Routine takes lines on calls that went well.
func (w *Writer) Routine() io.Writer {
	return &lineQueue{
		writer:  w,
		lines:   w.routine,
		routine: true,
	}
}

// Dropped counts the lines that were not written.
func (w *Writer) Dropped() uint64 {
	return w.totalDrops.Load()
}

// lineQueue is one lineQueue of lines. Each Write is one line.
type lineQueue struct {
	writer  *Writer
	lines   chan []byte
	routine bool
}

// Write implements io.Writer. It keeps a copy, or drops the line; it never
// waits and never fails.
func (c *lineQueue) Write(line []byte) (int, error) {
	if !c.writer.allow(len(line), c.routine) {
		c.writer.countDrop()
		return len(line), nil
	}
	select {
	case c.lines <- append([]byte(nil), line...):
	default:
		c.writer.countDrop()
	}
	return len(line), nil
}

// allow spends the budget. Routine lines leave a part of it for urgent ones.
func (w *Writer) allow(size int, routine bool) bool {
	now := time.Now()
	if routine && w.limiter.TokensAt(now)-float64(size) < float64(w.limiter.Burst()/urgentReserveDivisor) {
		return false
	}
	return w.limiter.AllowN(now, size)
}

func (w *Writer) countDrop() {
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
}

// Run writes until ctx ends, then what still waits.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		// Urgent lines go first.
		select {
		case line := <-w.urgent:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.urgent:
			w.write(line)
		case line := <-w.routine:
			w.write(line)
		case now := <-ticker.C:
			w.report(now)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.urgent:
			w.write(line)
		case line := <-w.routine:
			w.write(line)
		default:
			w.report(time.Now())
			return
		}
	}
}

// write has nobody to tell of a failure: the output itself has failed.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.countDrop()
	}
}

// report says how many lines were dropped.
func (w *Writer) report(now time.Time) {
	n := w.unreportedDrops.Swap(0)
	if n == 0 {
		return
	}
	line := fmt.Sprintf("{\"time\":%q,\"level\":\"warn\",\"msg\":\"lines-dropped\",\"count\":%d}\n", now.Format(time.RFC3339Nano), n)
	w.write([]byte(line))
}
