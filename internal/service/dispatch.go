package service

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// defaultMaxAttempts is the maximum number of attempts for one call on this
// instance if its route doesn't set one. Attempts that targets refused count too.
const defaultMaxAttempts = 4

// notRunRetryAfter is the retry delay returned for a call that no target has run,
// typically because each target refused it. It can be short, as a slot is soon free and
// the retry budget counts the caller's next request as a first attempt.
const notRunRetryAfter = 25 * time.Millisecond

// dispatch is the state of one call. It is owned by one goroutine; the attempts of a
// hedgedPair, which run in goroutines of their own, only read call and dispatcher.
type dispatch struct {
	dispatcher *Dispatcher
	call       *tarragonwell.Call
	// tried holds the IDs of the targets of the attempts so far.
	tried []string
	// attempts is the number of attempts so far, including a hedge.
	attempts int
	// mayHaveRun is set once an attempt may have reached a target that did not
	// report that it refused the call.
	mayHaveRun bool
	// resendUsed is set once this instance has used its one resend of a call that may
	// have run, for a further attempt or a hedge. Attempts after a refusal or after an
	// attempt that was not sent do not count.
	resendUsed bool
	// lateInDrain is set if the call has begun late in a planned stop and may be cut off by its
	// end.
	lateInDrain bool
	// fallback is a server error that is returned if no later attempt succeeds.
	fallback *tarragonwell.Response
}

// Dispatch implements tarragonwell.Dispatcher. The response's body must be closed.
func (dr *Dispatcher) Dispatch(ctx context.Context, c *tarragonwell.Call) tarragonwell.Result {
	if c.Service == nil {
		c.Service = dr.options.ServiceRule
	}
	d := &dispatch{
		dispatcher: dr,
		call:       c,
	}
	c.Deadline, d.lateInDrain = dr.options.Common.Drain.Bound(dr.options.Common.Clock.Now(), c.Deadline)
	for {
		result, done := d.tryOnce(ctx)
		if done {
			return result
		}
	}
}

// tryOnce makes one attempt and reports whether the call has ended.
func (d *dispatch) tryOnce(ctx context.Context) (tarragonwell.Result, bool) {
	// The service's task rejects calls that would miss their deadline in the queue.
	l, rejection := d.place(ctx)
	if rejection != nil {
		d.dispatcher.metrics.rejected.Inc()
		d.logRejected(rejection)
		return d.rejectedResult(rejection), true
	}
	d.attempts++
	d.tried = append(d.tried, l.grant.TargetID)
	d.logPlaced(l, false)
	response, err := d.send(ctx, l)
	if err != nil {
		d.logAttemptFailed(l.grant.TargetID, err)
		d.recordFailure(err)
		if d.shouldRetry(ctx, err) {
			d.dispatcher.metrics.retries.Inc()
			return tarragonwell.Result{}, false
		}
		return d.failedResult(err.Reason, failureCause(err)), true
	}
	if retryableStatus(response.Status) && d.canResend(ctx) {
		d.resendUsed = true
		d.setFallback(response)
		d.dispatcher.metrics.retries.Inc()
		return tarragonwell.Result{}, false
	}
	return d.completeResult(response), true
}

func (d *dispatch) request() scheduling.AcquireRequest {
	return scheduling.AcquireRequest{
		Kind:           d.call.Route.Kind,
		Deadline:       d.call.Deadline,
		CallerTimeLeft: d.call.CallerTimeLeft,
		Exclude:        d.tried,
		Retry:          d.attempts > 0,
		MustFinish:     d.dispatcher.options.Common.Drain.Begun(),
		MayBeCutOff:    d.lateInDrain && d.call.CallerTimeLeft > 0,
	}
}

// recordFailure updates the call's state after a failed attempt.
func (d *dispatch) recordFailure(e *tarragonwell.AttemptError) {
	switch e.Stage {
	case tarragonwell.StageSent:
		d.mayHaveRun = true
	case tarragonwell.StageRefused:
		d.dispatcher.metrics.refusals.Inc()
	case tarragonwell.StageNotSent:
	}
}

// shouldRetry decides whether a failed attempt is followed by another. A call that
// may have run is sent again only if it is repeatable.
func (d *dispatch) shouldRetry(ctx context.Context, e *tarragonwell.AttemptError) bool {
	if d.attempts >= d.maxAttempts() || ctx.Err() != nil || !d.timeLeft() {
		return false
	}
	if e.Stage != tarragonwell.StageSent {
		return true
	}
	if !d.canResend(ctx) {
		return false
	}
	d.resendUsed = true
	return true
}

// canResend reports whether the call may be sent again even if it has already run.
// Tests can switch off the safeguard SingleSend (package control) to prove that it is
// needed.
func (d *dispatch) canResend(ctx context.Context) bool {
	repeatable := d.call.Route.Kind.Repeatable || !control.Enabled(control.SingleSend)
	return repeatable && !d.resendUsed && d.call.RetriesLeft > 0 && d.attempts < d.maxAttempts() &&
		ctx.Err() == nil && d.timeLeft()
}

func (d *dispatch) maxAttempts() int {
	if n := d.call.Route.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

func (d *dispatch) timeLeft() bool {
	return d.dispatcher.options.Common.Clock.Now().Before(d.call.Deadline)
}

// retriesLeft returns the number of retries that the next attempt passes on to the
// target. This instance never resends a call that is not repeatable, so that all of its
// retries are passed on.
func (d *dispatch) retriesLeft() int {
	if !d.call.Route.Kind.Repeatable {
		return d.call.RetriesLeft
	}
	return admission.NestedRetries(d.call.RetriesLeft, d.resendUsed)
}

// setFallback replaces the fallback and closes the previous one.
func (d *dispatch) setFallback(r *tarragonwell.Response) {
	if d.fallback != nil {
		_ = d.fallback.Body.Close()
	}
	d.fallback = r
}

// completeResult returns the result for a target's response. If a call that isn't
// repeatable gets a server error, its outcome is unknown.
func (d *dispatch) completeResult(r *tarragonwell.Response) tarragonwell.Result {
	if d.fallback != nil && d.fallback != r {
		_ = d.fallback.Body.Close()
	}
	result := tarragonwell.Result{
		Outcome:  tarragonwell.OutcomeComplete,
		Response: r,
	}
	if r.Status >= http.StatusInternalServerError && !d.call.Route.Kind.Repeatable {
		result.Outcome = tarragonwell.OutcomeUnknown
		result.Reason = "the target answered " + strconv.Itoa(r.Status)
	}
	return result
}

// rejectedResult returns the result for a call that the scheduler rejected.
func (d *dispatch) rejectedResult(r *scheduling.Rejection) tarragonwell.Result {
	cause := tarragonwell.CauseUnavailable
	if d.mayHaveRun {
		cause = tarragonwell.CauseTargetFailed
	}
	result := d.failedResult(r.Reason, cause)
	result.RetryAfter = max(result.RetryAfter, r.RetryAfter)
	if r.Reason == scheduling.ReasonDeadline && d.dispatcher.options.Common.Drain.Begun() {
		// Another instance may have the time that this one lacks.
		result.RetryAfter = notRunRetryAfter
	}
	return result
}

// failedResult returns the fallback if there is one, else a result without a
// response.
func (d *dispatch) failedResult(reason string, cause tarragonwell.FailureCause) tarragonwell.Result {
	if d.fallback != nil {
		return d.completeResult(d.fallback)
	}
	outcome := tarragonwell.OutcomeNotRun
	if d.mayHaveRun && control.Enabled(control.TruthfulNotRun) {
		outcome = tarragonwell.OutcomeUnknown
	}
	result := tarragonwell.Result{
		Outcome: outcome,
		Reason:  reason,
		Cause:   cause,
	}
	if outcome == tarragonwell.OutcomeNotRun && d.attempts > 0 {
		result.RetryAfter = notRunRetryAfter
	}
	return result
}

// failureCause returns the cause of a failed attempt that ends the call.
func failureCause(e *tarragonwell.AttemptError) tarragonwell.FailureCause {
	switch {
	case e.Stage == tarragonwell.StageRefused:
		return tarragonwell.CauseUnavailable
	case errors.Is(e, context.DeadlineExceeded):
		return tarragonwell.CauseDeadlineExceeded
	default:
		return tarragonwell.CauseTargetFailed
	}
}

// send makes one attempt, which is hedged with a second one if the kind allows it.
func (d *dispatch) send(ctx context.Context, l *lease) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	if d.call.Route.Kind.Hedge && l.grant.HedgeAfter > 0 && d.attempts == 1 && d.call.RetriesLeft > 0 && d.maxAttempts() > 1 {
		return d.attemptHedged(ctx, l)
	}
	return d.attempt(ctx, l, d.attempts, d.retriesLeft())
}

// retryableStatus reports whether a response with the status may be followed by a
// retry.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// since returns the time elapsed since begin.
func (dr *Dispatcher) since(begin time.Time) time.Duration {
	return dr.options.Common.Clock.Now().Sub(begin)
}
