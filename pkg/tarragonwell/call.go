package tarragonwell

import (
	"io"
	"time"
)

// Call is one request on its way to a target.
type Call struct {
	// ID is unique; the target echoes it, which ties an answer to its request.
	ID string
	// Attempt counts from 1 the sends of the call; 0 before the first.
	Attempt int
	Method  string
	// Path holds the escaped path and the query.
	Path   string
	Header map[string][]string
	// Body is held whole, so that a repeatable call can be sent again.
	Body  []byte
	Route *Route
	// Service is the route's, or the part of the route that the call fell to.
	Service *Service
	// Deadline bounds the whole call; for long kinds, the wait for the first
	// byte of the answer.
	Deadline time.Time
	// CallerTimeLeft is how long the caller still waits; 0 where it does not tell.
	CallerTimeLeft time.Duration
	// RetriesLeft travels with the call through every depth.
	RetriesLeft int
	// OperationID is the ticket's text for the target's own records, or empty.
	OperationID string
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
	// Cause is set where Answer is nil.
	Cause FailureCause
	// RetryAfter is the time after which a refused call may fare better.
	RetryAfter time.Duration
}

// LoadReport is what a target says of its load.
type LoadReport struct {
	Running int
	Waiting int
	// Slots is 0 where the target does not tell.
	Slots int
	// SlowdownPercent is how long work takes on the target's machine at this moment, in
	// percent of the usual; 0 where the target does not tell.
	SlowdownPercent int
}

// Total returns the calls that the target has in hand.
func (l LoadReport) Total() int {
	return l.Running + l.Waiting
}

// AnswerHead is what the header of a target's answer says.
type AnswerHead struct {
	Verdict AnswerVerdict
	// Reason says in a few words why the answer isn't taken.
	Reason string
	// Load is the target's own report, or nil.
	Load *LoadReport
	// Leaving says that the target takes no new work.
	Leaving bool
	// IdleTimeout is how long the target keeps an idle connection; 0 where it does
	// not tell.
	IdleTimeout time.Duration
}

// AnswerVerdict says what an answer is to its call.
type AnswerVerdict int

const (
	// AnswerAccepted is an answer to the call.
	AnswerAccepted AnswerVerdict = iota
	// AnswerRefused is the target's word that it did not run the call.
	AnswerRefused
	// AnswerMisdirected is the word of another target, which has the address now,
	// that it did not run the call.
	AnswerMisdirected
	// AnswerMismatched belongs to another call, or to none. The connection can't be
	// used further.
	AnswerMismatched
)

// ProbeAnswer is what a target says to a probe.
type ProbeAnswer struct {
	// Load is nil where the target does not tell.
	Load    *LoadReport
	Leaving bool
	// Unhealthy is the target's own word that it fails.
	Unhealthy bool
}

// LocalReply is the end of a call without a target's answer.
type LocalReply struct {
	Outcome Outcome
	Cause   FailureCause
	Reason  string
	// RetryAfter is the time after which the caller may fare better; 0 for none.
	RetryAfter time.Duration
}

// FailureCause says why a call ended without a target's answer.
type FailureCause int

const (
	// CauseUnavailable is a lack of room or of targets, or an instance that isn't ready.
	CauseUnavailable FailureCause = iota
	// CauseNoRoute means that no rule routes the request.
	CauseNoRoute
	// CauseMalformed is a request that can't be read.
	CauseMalformed
	// CauseTooLarge is a body over the limit.
	CauseTooLarge
	// CauseDeadlineExceeded means that the time ran out.
	CauseDeadlineExceeded
	// CauseTargetFailed means that the targets failed.
	CauseTargetFailed
)

// EncodedReply is an answer of the instance's own, ready to be written.
type EncodedReply struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// RequestError is a request that can't be read.
type RequestError struct {
	// Field is the header or part of the request.
	Field  string
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string {
	return e.Field + ": " + e.Reason
}

// ExchangeStage says how far a failed exchange had come.
type ExchangeStage int

const (
	// StageNotSent means that no byte could have reached the target.
	StageNotSent ExchangeStage = iota
	// StageRefused means that the target said that it did not run the call.
	StageRefused
	// StageSent means that the target may have run the call.
	StageSent
)

// String returns the form used in logs.
func (s ExchangeStage) String() string {
	switch s {
	case StageNotSent:
		return "not-sent"
	case StageRefused:
		return "refused"
	default:
		return "sent"
	}
}

// ExchangeError is a failed exchange with a target.
type ExchangeError struct {
	Stage ExchangeStage
	// Reason is a few words for callers and logs.
	Reason string
	// Load is the target's own report on a refusal, or nil.
	Load *LoadReport
	// Leaving says that the target takes no new work.
	Leaving bool
	// Misdirected says that another target has the address now.
	Misdirected bool
	Err         error
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
