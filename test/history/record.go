// Package history records what callers were told and what targets ran under
// faults, and checks the promises against it.
package history

import (
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Call is one request as its caller saw it.
type Call struct {
	// Operation is unique for each piece of work; targets record it too.
	Operation string
	Kind      string
	// Repeatable says that running it twice does no harm.
	Repeatable bool
	// Final says that the outcome stands for every call with the same ticket.
	Final    bool
	Instance string
	Begin    time.Time
	End      time.Time
	Outcome  tarragonwell.Outcome
	Status   int
	Reason   string
	// ConnectionFailed says that the connection broke before the whole answer was there,
	// and that the caller could see it.
	ConnectionFailed bool
	// WrongBody says that the answer was taken for whole and was not the caller's
	// own whole answer.
	WrongBody bool
	// Detail is for reports on violations.
	Detail string
}

// Recorder gathers calls. The zero value is empty and ready.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// Add records a call.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns a copy of what was recorded.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}
