package standins3

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID   string
	Path string
	// Instance is the name of the instance to which it was sent.
	Instance string
	Sent     time.Time
	Ended    time.Time
	// Status is that of the answer; 0 if the connection ended without a whole one.
	Status int
	// Intact is set if the answer is the backend's own.
	Intact bool
}

// Run is one run of a request at a backend.
type Run struct {
	ID      string
	Backend string
	Service string
	Zone    string
	At      time.Time
	// Ended is when the work ended; zero while it goes on.
	Ended time.Time
}

// Record collects what was sent, answered and run. Create it with NewRecord.
type Record struct {
	begin time.Time

	mu       sync.Mutex
	notes    []string
	requests []Request
	runs     []Run
}

// NewRecord returns an empty record that begins now.
func NewRecord() *Record {
	return &Record{
		begin: time.Now(),
	}
}

// Note adds a line, and prints it.
func (r *Record) Note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, line)
}

// Ran records that a backend has begun to work on a request, and returns a function that
// records the end.
func (r *Record) Ran(id string, b *Backend) (ended func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.runs)
	r.runs = append(r.runs, Run{
		ID:      id,
		Backend: b.ID,
		Service: b.Service,
		Zone:    b.Zone,
		At:      time.Now(),
	})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[index].Ended = time.Now()
	}
}

// Answered records a request that has ended.
func (r *Record) Answered(x Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, x)
}

// Requests returns the requests that have ended.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// Runs returns the runs by request.
func (r *Record) Runs() map[string][]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]Run{}
	for _, x := range r.runs {
		out[x.ID] = append(out[x.ID], x)
	}
	return out
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(file)
	for _, line := range r.notes {
		fmt.Fprintln(out, line)
	}
	runs := r.Runs()
	for _, x := range r.Requests() {
		fmt.Fprintf(out, "%7.3f sent %s %s to %s, answered %d after %d ms, intact %t", x.Sent.Sub(r.begin).Seconds(), x.ID, x.Path, x.Instance, x.Status, x.Ended.Sub(x.Sent).Milliseconds(), x.Intact)
		for _, n := range runs[x.ID] {
			fmt.Fprintf(out, ", run by %s of %s in %s at %.3f", n.Backend, n.Service, n.Zone, n.At.Sub(r.begin).Seconds())
		}
		fmt.Fprintln(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return file.Close()
}
