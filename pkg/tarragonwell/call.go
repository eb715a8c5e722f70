package tarragonwell

import (
	"io"
	"time"
)

// Call is one request on its way to a target.
type Call struct {
	// ID is unique; the target echoes it, which ties an answer to its request.
	ID     string
	Method string
	// Path holds the escaped path and the query.
	Path   string
	Header map[string][]string
	// Body is held whole, so that a repeatable call can be sent again.
	Body  []byte
	Route *Route
	// Deadline bounds the whole call; for long kinds, the wait for the first
	// byte of the answer.
	Deadline time.Time
	// RetriesLeft travels with the call through every depth.
	RetriesLeft int
	// Operation is the ticket's text for the target's own records, or empty.
	Operation string
}

// Answer is a target's answer whose header has arrived.
type Answer struct {
	Status int
	Header map[string][]string
	// Body must be closed. It fails when the answer breaks off before its end.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 where it isn't known.
	Length int64
	// Load is the target's own report on the answer, or nil.
	Load *LoadReport
	// Leaving says that the target takes no new work.
	Leaving bool
	// Target is the address that answered.
	Target string
}

// Result is how a call ended.
type Result struct {
	Outcome Outcome
	// Answer is set where the outcome is complete.
	Answer *Answer
	// Reason says in a few words why the outcome isn't complete.
	Reason string
	// RetryAfter is the time after which a refused call may fare better.
	RetryAfter time.Duration
}

// LoadReport is what a target says of its load.
type LoadReport struct {
	Running int
	Waiting int
	// Slots is 0 where the target does not tell.
	Slots int
}

// Total returns the calls that the target has in hand.
func (l LoadReport) Total() int {
	return l.Running + l.Waiting
}

// Stage says how far a failed exchange had come.
type Stage int

const (
	// StageNotSent means that no byte could have reached the target.
	StageNotSent Stage = iota
	// StageRefused means that the target said that it did not run the call.
	StageRefused
	// StageSent means that the target may have run the call.
	StageSent
)

// ExchangeError is a failed exchange with a target.
type ExchangeError struct {
	Stage Stage
	// Reason is a few words for callers and logs.
	Reason string
	// Load is the target's own report on a refusal, or nil.
	Load *LoadReport
	// Leaving says that the target takes no new work.
	Leaving bool
	Err     error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Err
}
