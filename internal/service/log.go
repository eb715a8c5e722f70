package service

import (
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// logPlaced logs the target selected for an attempt and its load data. Some keys have
// published names that differ from the fields of scheduling.Basis: "candidates" is
// Eligible, "own-calls" InFlight, "occupancy" TotalCalls (not policy.Occupancy),
// "slowness" ReportedSlowdown and "news-age-ms" ReportAge. The lines are written for
// all attempts, but go to the routine logger, since most belong to successful calls.
func (d *dispatch) logPlaced(l *lease, hedge bool) {
	b := l.grant.Basis
	d.dispatcher.options.Common.RoutineLogger().Info("call-placed",
		"call", d.call.ID, "attempt", d.attempts, "kind", d.call.Route.Kind.Name, "service", d.dispatcher.options.ServiceRule.Name,
		"target", l.grant.TargetID, "hedge", hedge, "candidates", b.Eligible, "own-calls", b.InFlight,
		"occupancy", b.TotalCalls, "slowness", b.ReportedSlowdown, "news-age-ms", b.ReportAge.Milliseconds(), "late", b.Late,
		"warming-up", l.grant.SendWithin > 0)
}

// logAttemptFailed logs why an attempt failed, and the stage that it had reached.
func (d *dispatch) logAttemptFailed(target string, e *tarragonwell.AttemptError) {
	d.dispatcher.options.Common.Log.Warn("attempt-failed",
		"call", d.call.ID, "attempt", d.attempts, "service", d.dispatcher.options.ServiceRule.Name, "target", target,
		"stage", e.Stage.String(), "reason", e.Reason, "error", e.Err,
		"left-ms", d.call.Deadline.Sub(d.dispatcher.options.Common.Clock.Now()).Milliseconds())
}

// logRejected logs why the scheduler rejected a call, and this instance's load on the
// service. In the published event name "call-refused", "refused" means rejected by this
// instance; refusals by targets are logged as "attempt-failed".
func (d *dispatch) logRejected(r *scheduling.Rejection) {
	d.dispatcher.options.Common.Log.Warn("call-refused",
		"call", d.call.ID, "attempt", d.attempts, "kind", d.call.Route.Kind.Name, "service", d.dispatcher.options.ServiceRule.Name,
		"reason", r.Reason, "in-flight", r.LoadSnapshot.InFlight, "limit", r.LoadSnapshot.Limit, "waiting", r.LoadSnapshot.Queued,
		"estimated-wait-ms", r.LoadSnapshot.EstimatedWait.Milliseconds(), "retry-after-ms", r.RetryAfter.Milliseconds(),
		"left-ms", d.call.Deadline.Sub(d.dispatcher.options.Common.Clock.Now()).Milliseconds())
}
