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

// usualAttempts bounds the attempts of one call on this instance where its route
// does not, those included that targets refused.
const usualAttempts = 4

// shedRetryAfter is when the caller of a request that only targets refused is
// told to return: at once, but for the time in which a slot gets free. Its next
// request costs the fleet's retry budget nothing.
const shedRetryAfter = 25 * time.Millisecond

// dispatch is one call on its way. One goroutine owns it.
type dispatch struct {
	service *Dispatcher
	call    *tarragonwell.Call
	// tried lists the targets of the attempts so far.
	tried    []string
	attempts int
	// mayHaveRun is set once an attempt could have reached a target that did
	// not say that it refused.
	mayHaveRun bool
	// repeated is set once the call's own retry is used.
	repeated bool
	// fallback is a server error that is told where nothing better comes.
	fallback *tarragonwell.Response
}

// Dispatch implements tarragonwell.Dispatcher. The answer's body must be closed.
func (s *Dispatcher) Dispatch(ctx context.Context, c *tarragonwell.Call) tarragonwell.Result {
	if c.Service == nil {
		c.Service = s.options.ServiceRule
	}
	d := &dispatch{
		service: s,
		call:    c,
	}
	for {
		result, done := d.once(ctx)
		if done {
			return result
		}
	}
}

// once makes one attempt and reports whether the call has ended.
func (d *dispatch) once(ctx context.Context) (tarragonwell.Result, bool) {
	if d.call.Service.PlacementProbes > 0 {
		d.service.survey(ctx, d.request())
	}
	// The task refuses what waits past its deadline.
	l, refusal := d.service.acquire(ctx, d.request())
	if refusal != nil {
		d.service.metrics.refused.Inc()
		d.logRefused(refusal)
		return d.refused(refusal), true
	}
	d.attempts++
	d.tried = append(d.tried, l.grant.TargetID)
	d.logPlaced(l, false)
	answer, err := d.run(ctx, l)
	if err != nil {
		d.logAttemptFailed(l.grant.TargetID, err)
		d.note(err)
		if d.mayGoOn(ctx, err) {
			d.service.metrics.retries.Inc()
			return tarragonwell.Result{}, false
		}
		return d.failed(err.Reason, causeOf(err)), true
	}
	if retryableStatus(answer.Status) && d.mayRepeat(ctx) {
		d.repeated = true
		d.keepFallback(answer)
		d.service.metrics.retries.Inc()
		return tarragonwell.Result{}, false
	}
	return d.complete(answer), true
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

// note remembers what a failed attempt means for the outcome.
func (d *dispatch) note(e *tarragonwell.AttemptError) {
	switch e.Stage {
	case tarragonwell.StageSent:
		d.mayHaveRun = true
	case tarragonwell.StageRefused:
		d.service.metrics.sheds.Inc()
	case tarragonwell.StageNotSent:
	}
}

// mayGoOn decides whether a failed attempt is followed by another. What may
// have run is sent again only where it may repeat.
func (d *dispatch) mayGoOn(ctx context.Context, e *tarragonwell.AttemptError) bool {
	if d.attempts >= d.maxAttempts() || ctx.Err() != nil || !d.timeLeft() {
		return false
	}
	if e.Stage != tarragonwell.StageSent {
		return true
	}
	if !d.mayRepeat(ctx) {
		return false
	}
	d.repeated = true
	return true
}

// mayRepeat reports whether the call may be sent again though it may have run.
func (d *dispatch) mayRepeat(ctx context.Context) bool {
	repeatable := d.call.Route.Kind.Repeatable || !control.Enabled(control.SingleSend)
	return repeatable && !d.repeated && d.call.RetriesLeft > 0 && d.attempts < d.maxAttempts() &&
		ctx.Err() == nil && d.timeLeft()
}

func (d *dispatch) maxAttempts() int {
	if n := d.call.Route.MaxAttempts; n > 0 {
		return n
	}
	return usualAttempts
}

func (d *dispatch) timeLeft() bool {
	return d.service.options.Common.Clock.Now().Before(d.call.Deadline)
}

// retriesLeft is what the next attempt may pass on. A call that must not repeat
// keeps none for itself.
func (d *dispatch) retriesLeft() int {
	if !d.call.Route.Kind.Repeatable {
		return d.call.RetriesLeft
	}
	return admission.NestedRetries(d.call.RetriesLeft, d.repeated)
}

func (d *dispatch) keepFallback(a *tarragonwell.Response) {
	if d.fallback != nil {
		_ = d.fallback.Body.Close()
	}
	d.fallback = a
}

// complete ends the call with a target's answer. A server error to a call that
// must not repeat leaves open whether it ran.
func (d *dispatch) complete(a *tarragonwell.Response) tarragonwell.Result {
	if d.fallback != nil && d.fallback != a {
		_ = d.fallback.Body.Close()
	}
	r := tarragonwell.Result{
		Outcome:  tarragonwell.OutcomeComplete,
		Response: a,
	}
	if a.Status >= http.StatusInternalServerError && !d.call.Route.Kind.Repeatable {
		r.Outcome = tarragonwell.OutcomeUnknown
		r.Reason = "the target answered " + strconv.Itoa(a.Status)
	}
	return r
}

func (d *dispatch) refused(r *scheduling.Rejection) tarragonwell.Result {
	cause := tarragonwell.CauseUnavailable
	if d.mayHaveRun {
		cause = tarragonwell.CauseTargetFailed
	}
	out := d.failed(r.Reason, cause)
	out.RetryAfter = max(out.RetryAfter, r.RetryAfter)
	return out
}

// failed ends the call without a good answer.
func (d *dispatch) failed(reason string, cause tarragonwell.FailureCause) tarragonwell.Result {
	if d.fallback != nil {
		return d.complete(d.fallback)
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

// causeOf tells a target that failed from time that ran out.
func causeOf(e *tarragonwell.AttemptError) tarragonwell.FailureCause {
	switch {
	case e.Stage == tarragonwell.StageRefused:
		return tarragonwell.CauseUnavailable
	case errors.Is(e, context.DeadlineExceeded):
		return tarragonwell.CauseDeadlineExceeded
	default:
		return tarragonwell.CauseTargetFailed
	}
}

// run makes one attempt, with a second beside it where the kind is hedged.
func (d *dispatch) run(ctx context.Context, l *lease) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	if d.call.Route.Kind.Hedge && l.grant.HedgeAfter > 0 && d.attempts == 1 && d.call.RetriesLeft > 0 && d.maxAttempts() > 1 {
		return d.race(ctx, l)
	}
	return d.attempt(ctx, l, d.attempts, d.retriesLeft())
}

func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// since is the time from begin to now.
func (s *Dispatcher) since(begin time.Time) time.Duration {
	return s.options.Common.Clock.Now().Sub(begin)
}
