package tarragonwell

import (
	"io"
	"time"
)

// Call is a caller's request that is dispatched to a target.
type Call struct {
	// ID is unique. The target echoes it, in the default dialect as an attempt ID that
	// consists of ID and Attempt, so that its response can be matched to the request.
	ID string
	// Attempt is the number of the current attempt, from 1; 0 before the first.
	Attempt int
	Method  string
	// RequestURI is the escaped path with the query.
	RequestURI string
	Header     map[string][]string
	// Body is buffered in full, so that a repeatable call can be sent again.
	Body  *Body
	Route *Route
	// Service is the route's service, or the one selected from the route's Split.
	Service *Service
	// Deadline bounds the whole call or, if its kind is long, the wait for the first
	// byte of the response.
	Deadline time.Time
	// SendBefore bounds when the first byte is sent to a target, for the copy of the call
	// that is sent: after it, the choice of the target is outdated. Zero for no bound.
	SendBefore time.Time
	// OwnConnection is set, in the copy of the call that is sent, if the target was sent
	// this call before. A late copy of its earlier response carries the same ID, so the
	// connection must be one that no other attempt has used.
	OwnConnection bool
	// CallerTimeLeft is how long the caller will still wait for the response, as
	// stated in the request; 0 if it was not stated.
	CallerTimeLeft time.Duration
	// RetriesLeft is the number of retries that remain for the call: the instance's
	// own and those of nested calls. In the copy of the call that is sent to a target
	// it is the number that the target may use for nested calls; see
	// admission.NestedRetries.
	RetriesLeft int
	// OperationID identifies the operation that the call runs, for the target's own
	// records. It is empty for calls that are not operations.
	OperationID string
}

// Response is a target's response to a call. Its header has been received in full,
// its body may still be in transit.
type Response struct {
	Status int
	Header map[string][]string
	// Body must be closed. Reading it fails if the connection is closed before the
	// end of the response.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Load is the load report in the response, or nil.
	Load *LoadReport
	// TargetAddress is the address of the target that sent the response.
	TargetAddress string
}

// TargetNotice is what a target states, in any of its responses, about the calls that
// it wants from this instance. The zero value states nothing.
type TargetNotice struct {
	// Leaving is set if the target is draining and accepts no new calls.
	Leaving bool
	// RetryAfter is how long the target asks to be sent nothing; 0 if it does not ask.
	// It is at most MaxRetryAfter.
	RetryAfter time.Duration
	// WarmUpStated is set if the target states how long it is still warming up, which is
	// WarmUpRemaining; 0 if it is not.
	WarmUpStated    bool
	WarmUpRemaining time.Duration
	// Ignored explains which part of the notice was ignored or bounded, and why; empty
	// if all of it is in effect.
	Ignored string
}

// MaxRetryAfter bounds the time for which a target can ask to be sent nothing, so that
// a faulty target does not exclude itself for good.
const MaxRetryAfter = 10 * time.Minute

// MaxWarmUp bounds the time for which a target can state that it is warming up, for the
// same reason.
const MaxWarmUp = time.Hour

// Result is the final result of a call.
type Result struct {
	Outcome Outcome
	// Response is nil if the call ended without a target's response. It is always
	// set if the outcome is complete.
	Response *Response
	// Reason is a short explanation of why the outcome is not complete.
	Reason string
	// Cause classifies the failure. It is valid only if Response is nil.
	Cause FailureCause
	// RetryAfter is the time after which a call that the instance rejected is more
	// likely to be accepted.
	RetryAfter time.Duration
}

// LoadReport is a target's report of its load.
type LoadReport struct {
	// Running is the number of requests that are running at the target.
	Running int
	// Waiting is the number of requests in the target's own queue.
	Waiting int
	// Slots is the number of requests that the target runs concurrently; 0 if it did
	// not report it.
	Slots int
	// SlowdownPercent is how long work currently takes on the target's machine, in
	// percent of the normal time: 100 is normal, 200 is twice as long, 0 means not
	// reported.
	SlowdownPercent int
}

// Total returns the number of requests that are running or waiting at the target.
func (l LoadReport) Total() int {
	return l.Running + l.Waiting
}

// ResponseInfo is what a TargetDialect derives from the header of a target's
// response.
type ResponseInfo struct {
	Verdict ResponseVerdict
	// Identified is set if the response echoes the ID of the call. Any other may be the
	// late copy of a response to an earlier request on the same connection.
	Identified bool
	// Reason is a short explanation of why the response is not accepted.
	Reason string
	// Load is the target's load report, or nil.
	Load *LoadReport
	// TargetNotice is zero if the response does not come from the target that the call
	// was sent to.
	TargetNotice
}

// ResponseVerdict reports whether a response belongs to the call that was sent, and
// whether the call was run.
type ResponseVerdict int

const (
	// ResponseAccepted means that the response belongs to the call.
	ResponseAccepted ResponseVerdict = iota
	// ResponseRefused means that the target reports that it did not run the call.
	ResponseRefused
	// ResponseMisdirected means that another target now has the address and reports
	// that it did not run the call.
	ResponseMisdirected
	// ResponseMismatched means that the response belongs to another call, or to none.
	// The connection must not be reused.
	ResponseMismatched
	// ResponseAmbiguous means that the response belongs to the call, but that its
	// status would tell the caller that the call was not run, which the target does not
	// report.
	ResponseAmbiguous
)

// ProbeResponse is a target's response to a load probe.
type ProbeResponse struct {
	// Load is nil if the target did not report its load.
	Load *LoadReport
	TargetNotice
}

// LocalResponse is the response that the instance itself generates for a caller
// when a call ends without a target's response.
type LocalResponse struct {
	Outcome Outcome
	Cause   FailureCause
	Reason  string
	// RetryAfter is the time after which the caller should try again; 0 for none.
	RetryAfter time.Duration
}

// FailureCause classifies the calls that end without a target's response. It
// selects the HTTP status.
type FailureCause int

const (
	// CauseUnavailable means that there was no free capacity or no target, or that
	// the instance was not ready.
	CauseUnavailable FailureCause = iota
	// CauseNoRoute means that no rule matches the request.
	CauseNoRoute
	// CauseMalformed means that the request could not be parsed.
	CauseMalformed
	// CauseTooLarge means that the request body exceeds the limit.
	CauseTooLarge
	// CauseDeadlineExceeded means that the call's deadline passed.
	CauseDeadlineExceeded
	// CauseTargetFailed means that the attempts at targets failed.
	CauseTargetFailed
)

// EncodedResponse is a LocalResponse that has been encoded for HTTP.
type EncodedResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// RequestError reports a request that could not be parsed.
type RequestError struct {
	// Field is the header or the part of the request that is invalid.
	Field  string
	Reason string
}

// Error implements the error interface.
func (e *RequestError) Error() string {
	return e.Field + ": " + e.Reason
}

// AttemptStage is the stage that an attempt to send a call to a target had reached
// when it failed. It determines whether the call may have run.
type AttemptStage int

const (
	// StageNotSent means that no byte of the call can have reached the target.
	StageNotSent AttemptStage = iota
	// StageRefused means that the target reported that it did not run the call.
	StageRefused
	// StageSent means that the target may have run the call.
	StageSent
)

// String returns the stage as it appears in logs.
func (s AttemptStage) String() string {
	switch s {
	case StageNotSent:
		return "not-sent"
	case StageRefused:
		return "refused"
	default:
		return "sent"
	}
}

// AttemptError reports a failed attempt to send a call to a target.
type AttemptError struct {
	Stage AttemptStage
	// Reason is a short explanation for callers and logs.
	Reason string
	// Load is the load report of a target that refused the call, or nil.
	Load *LoadReport
	TargetNotice
	// Misdirected is set if another target now has the address.
	Misdirected bool
	Err         error
}

// Error implements the error interface.
func (e *AttemptError) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the underlying error, or nil.
func (e *AttemptError) Unwrap() error {
	return e.Err
}
