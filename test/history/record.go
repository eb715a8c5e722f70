// Package history runs workloads against a fleet under faults, records the
// responses of callers and the runs of targets, and checks the promises against
// this history.
package history

import (
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Call is one request as observed by its caller.
type Call struct {
	// Operation identifies the operation. Calls that repeat it share the name, and
	// targets record it with each run.
	Operation string
	Kind      string
	// Repeatable operations may run more than once.
	Repeatable bool
	// Final marks the outcome of a ticketed operation, which has to be the same for
	// every call with the ticket.
	Final bool
	// Instance is the address that the request was sent to, if it was sent once.
	Instance string
	Begin    time.Time
	End      time.Time
	Outcome  tarragonwell.Outcome
	Status   int
	Reason   string
	// ConnectionFailed is set when the caller got an error instead of a complete
	// response, such as a connection closed before its end or a timeout.
	ConnectionFailed bool
	// WrongBody is set when the response looked complete to the caller but is not
	// the complete response to its own request.
	WrongBody bool
	// Detail is printed with violations.
	Detail string
}

// Recorder collects calls. The zero value is ready to use.
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

// Calls returns a copy of the recorded calls.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}
