package rig2

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Case is one run of a case.
type Case struct {
	// Trouble is false for the run without the disruption.
	Trouble bool
	// Folder is temporary and holds settings and logs.
	Folder string
	Start  time.Time

	mu     sync.Mutex
	record *bufio.Writer
}

// Main runs a case and exits with its status. The record is written to record.txt in the
// folder of the case.
func Main(folder string, run func(ctx context.Context, c *Case) (int, error)) {
	os.Exit(runCase(folder, run))
}

func runCase(folder string, run func(ctx context.Context, c *Case) (int, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer os.RemoveAll(temporary)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer file.Close()
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0",
		Folder:  temporary,
		Start:   time.Now(),
		record:  bufio.NewWriter(file),
	}
	defer c.record.Flush()
	status, err := run(ctx, c)
	if err != nil {
		c.Note("the case could not run: %v", err)
		return CannotRun
	}
	return status
}

// Note writes a line to the record and to the standard output.
func (c *Case) Note(format string, arguments ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(c.Start).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Println(line)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.record, line)
}

// At returns a time in seconds from the start of the case.
func (c *Case) At(t time.Time) float64 {
	return t.Sub(c.Start).Seconds()
}

// WriteAll writes each request with its answer and its runs to the record.
func (c *Case) WriteAll(sent map[string]Sent, runs []Run) {
	byID := map[string][]Run{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	list := make([]Sent, 0, len(sent))
	for _, s := range sent {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Sent) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range list {
		_, _ = fmt.Fprintf(c.record, "%7.3f s  %s %s%s to %s: %d after %d ms", c.At(s.At), s.Method, s.Path, s.ID, s.Instance.Name, s.Status, s.Took.Milliseconds())
		for _, r := range byID[s.ID] {
			_, _ = fmt.Fprintf(c.record, "; reached %s of %s at %.3f s", r.Backend, r.Service, c.At(r.Reached))
			if r.Refused {
				_, _ = fmt.Fprint(c.record, ", refused")
			}
			if r.Cut {
				_, _ = fmt.Fprint(c.record, ", cut off")
			}
		}
		_, _ = fmt.Fprintln(c.record)
	}
}
