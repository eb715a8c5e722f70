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

// shedRetryAfter is the retry delay returned for a call that no target has run,
// typically because each target refused it. It only covers the time until a slot
// is free: the caller's next request does not draw on the fleet's retry budget.
const shedRetryAfter = 25 * time.Millisecond

// dispatch is the state of one call. It is owned by one goroutine.
type dispatch struct {
	service *Dispatcher
	call    *tarragonwell.Call
	// tried holds the IDs of the targets of the attempts so far.
	tried []string
	// attempts is the number of attempts so far, including a hedge.
	attempts int
	// mayHaveRun is set once an attempt may have reached a target that did not
	// report that it refused the call.
	mayHaveRun bool
	// retryUsed is set once the call's own retry has been used.
	retryUsed bool
	// fallback is a server error that is returned if no later attempt succeeds.
	fallback *tarragonwell.Response
}

// Dispatch implements tarragonwell.Dispatcher. The response's body must be closed.
func (s *Dispatcher) Dispatch(ctx context.Context, c *tarragonwell.Call) tarragonwell.Result {
	if c.Service == nil {
		c.Service = s.options.ServiceRule
	}
	d := &dispatch{
		service: s,
		call:    c,
	}
	for {
		result, done := d.tryOnce(ctx)
		if done {
			return result
		}
	}
}

// tryOnce makes one attempt and reports whether the call has ended.
func (d *dispatch) tryOnce(ctx context.Context) (tarragonwell.Result, bool) {
	if d.call.Service.PlacementProbes > 0 {
		d.service.probeForPlacement(ctx, d.request())
	}
	// The task rejects calls that are queued past their deadline.
	l, rejection := d.service.acquire(ctx, d.request())
	if rejection != nil {
		d.service.metrics.rejected.Inc()
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
			d.service.metrics.retries.Inc()
			return tarragonwell.Result{}, false
		}
		return d.failedResult(err.Reason, failureCause(err)), true
	}
	if retryableStatus(response.Status) && d.canResend(ctx) {
		d.retryUsed = true
		d.setFallback(response)
		d.service.metrics.retries.Inc()
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
	}
}

// recordFailure updates the call's state after a failed attempt.
func (d *dispatch) recordFailure(e *tarragonwell.AttemptError) {
	switch e.Stage {
	case tarragonwell.StageSent:
		d.mayHaveRun = true
	case tarragonwell.StageRefused:
		d.service.metrics.sheds.Inc()
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
	d.retryUsed = true
	return true
}

// canResend reports whether the call may be sent again even if it has already run.
func (d *dispatch) canResend(ctx context.Context) bool {
	repeatable := d.call.Route.Kind.Repeatable || !control.Enabled(control.SingleSend)
	return repeatable && !d.retryUsed && d.call.RetriesLeft > 0 && d.attempts < d.maxAttempts() &&
		ctx.Err() == nil && d.timeLeft()
}

func (d *dispatch) maxAttempts() int {
	if n := d.call.Route.MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

func (d *dispatch) timeLeft() bool {
	return d.service.options.Common.Clock.Now().Before(d.call.Deadline)
}

// retriesLeft returns the number of retries that the next attempt passes on to the
// target. A call that isn't repeatable reserves none for this instance.
func (d *dispatch) retriesLeft() int {
	if !d.call.Route.Kind.Repeatable {
		return d.call.RetriesLeft
	}
	return admission.NestedRetries(d.call.RetriesLeft, d.retryUsed)
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
		result.RetryAfter = shedRetryAfter
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
func (s *Dispatcher) since(begin time.Time) time.Duration {
	return s.options.Common.Clock.Now().Sub(begin)
}
