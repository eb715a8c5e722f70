// Package logs writes log lines without blocking the goroutines that log them. One
// task owns the output: it limits the rate in bytes per second, writes urgent lines
// first, and logs how many lines were dropped.
package logs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the number of lines that can wait in each queue.
	queueCapacity = 512
	// DefaultBytesPerSecond limits the output rate of both queues together.
	DefaultBytesPerSecond = 64 << 10
	// burstSeconds is the burst size, in seconds of output at the limited rate.
	burstSeconds = 2
	// urgentReserveDivisor sets the part of the burst that is reserved for urgent
	// lines: the burst divided by it.
	urgentReserveDivisor = 2
	// maxLineBytes bounds a line. A longer one is replaced by one that quotes its start.
	maxLineBytes = 8 << 10
	// quotedBytes is the length of that start.
	quotedBytes = 512
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Sink is the task that owns the output. Create it with NewSink, then call Run. Urgent
// and Routine return the writers for its two queues of lines.
type Sink struct {
	out     io.Writer
	urgent  chan []byte
	routine chan []byte
	limiter *rate.Limiter
	// unreportedDrops counts the lines dropped since the last report.
	unreportedDrops atomic.Int64
	// totalDrops counts the lines dropped since the sink was created.
	totalDrops atomic.Uint64
}

// NewSink returns a sink whose Run writes the queued lines to out.
func NewSink(out io.Writer, bytesPerSecond int) *Sink {
	return &Sink{
		out:     out,
		urgent:  make(chan []byte, queueCapacity),
		routine: make(chan []byte, queueCapacity),
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstSeconds*bytesPerSecond),
	}
}

// Urgent returns a writer for lines on changes, failures and rejections.
func (s *Sink) Urgent() io.Writer {
	return &lineQueue{
		sink:  s,
		lines: s.urgent,
	}
}

// Routine returns a writer for lines on successful calls.
func (s *Sink) Routine() io.Writer {
	return &lineQueue{
		sink:    s,
		lines:   s.routine,
		routine: true,
	}
}

// Dropped returns the number of lines that were dropped since the sink was created.
func (s *Sink) Dropped() uint64 {
	return s.totalDrops.Load()
}

// lineQueue is an io.Writer that queues lines, one for each Write.
type lineQueue struct {
	sink    *Sink
	lines   chan []byte
	routine bool
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if
// the rate limit is reached or the queue is full. It never blocks or fails.
func (q *lineQueue) Write(line []byte) (int, error) {
	written := len(line)
	if len(line) > maxLineBytes {
		line = truncatedLine(line)
	}
	if !q.sink.allow(len(line), q.routine) {
		q.sink.countDrop()
		return written, nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.sink.countDrop()
	}
	return written, nil
}

// truncatedLine returns a line that quotes the start of one that is too long.
func truncatedLine(line []byte) []byte {
	start, err := json.Marshal(string(line[:quotedBytes]))
	if err != nil {
		// A string can always be encoded.
		start = []byte(`""`)
	}
	return fmt.Appendf(nil, "{\"time\":%q,\"level\":\"warn\",\"msg\":\"line-truncated\",\"bytes\":%d,\"start\":%s}\n",
		time.Now().Format(time.RFC3339Nano), len(line), start)
}

// allow reports whether a line of the given size is within the rate limit, and
// counts it against the limit if so. Routine lines leave the reserve for urgent
// lines.
func (s *Sink) allow(size int, routine bool) bool {
	now := time.Now()
	if routine && s.limiter.TokensAt(now)-float64(size) < float64(s.limiter.Burst()/urgentReserveDivisor) {
		return false
	}
	return s.limiter.AllowN(now, size)
}

func (s *Sink) countDrop() {
	s.unreportedDrops.Add(1)
	s.totalDrops.Add(1)
}

// Run writes queued lines until ctx ends, then writes those that are still queued
// and returns. Every reportInterval, and before it returns, it reports the number of
// dropped lines, if there were any.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		// Urgent lines are written first.
		select {
		case line := <-s.urgent:
			s.write(line)
			continue
		default:
		}
		select {
		case line := <-s.urgent:
			s.write(line)
		case line := <-s.routine:
			s.write(line)
		case now := <-ticker.C:
			s.report(now)
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.urgent:
			s.write(line)
		case line := <-s.routine:
			s.write(line)
		default:
			s.report(time.Now())
			return
		}
	}
}

// write counts a line that can't be written as dropped: the failure can't be
// logged, because the output itself has failed.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.countDrop()
	}
}

// report writes a line with the number of lines dropped since the last report.
func (s *Sink) report(now time.Time) {
	n := s.unreportedDrops.Swap(0)
	if n == 0 {
		return
	}
	line := fmt.Sprintf("{\"time\":%q,\"level\":\"warn\",\"msg\":\"lines-dropped\",\"count\":%d}\n", now.Format(time.RFC3339Nano), n)
	s.write([]byte(line))
}
