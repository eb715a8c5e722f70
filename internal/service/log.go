package service

import (
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// logPlaced tells which target a call goes to, and by what news.
func (d *dispatch) logPlaced(l *lease, hedge bool) {
	b := l.grant.Basis
	d.service.options.Common.RoutineLogger().Info("call-placed",
		"call", d.call.ID, "attempt", d.attempts, "kind", d.call.Route.Kind.Name, "service", d.service.options.ServiceRule.Name,
		"target", l.grant.TargetID, "hedge", hedge, "candidates", b.Eligible, "own-calls", b.InFlight,
		"occupancy", b.TotalCalls, "slowness", b.ReportedSlowdown, "news-age-ms", b.ReportAge.Milliseconds(), "late", b.Late)
}

// logAttemptFailed tells how an attempt failed and how far it had come.
func (d *dispatch) logAttemptFailed(target string, e *tarragonwell.AttemptError) {
	d.service.options.Common.Log.Warn("attempt-failed",
		"call", d.call.ID, "attempt", d.attempts, "service", d.service.options.ServiceRule.Name, "target", target,
		"stage", e.Stage.String(), "reason", e.Reason, "error", e.Err,
		"left-ms", d.call.Deadline.Sub(d.service.options.Common.Clock.Now()).Milliseconds())
}

// logRefused tells which limit refused a call, and how busy the service was.
func (d *dispatch) logRefused(r *scheduling.Rejection) {
	d.service.options.Common.Log.Warn("call-refused",
		"call", d.call.ID, "attempt", d.attempts, "kind", d.call.Route.Kind.Name, "service", d.service.options.ServiceRule.Name,
		"reason", r.Reason, "in-flight", r.LoadSnapshot.InFlight, "limit", r.LoadSnapshot.Limit, "waiting", r.LoadSnapshot.Queued,
		"estimated-wait-ms", r.LoadSnapshot.EstimatedWait.Milliseconds(), "retry-after-ms", r.RetryAfter.Milliseconds(),
		"left-ms", d.call.Deadline.Sub(d.service.options.Common.Clock.Now()).Milliseconds())
}
