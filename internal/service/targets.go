package service

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// sendPolicyProbes sends the probes that a probing policy requests for a new call.
func (dr *Dispatcher) sendPolicyProbes(now time.Time, st *state) {
	states := slices.DeleteFunc(slices.Clone(st.scheduler.Targets()), func(t *tarragonwell.TargetState) bool {
		return t.Drained
	})
	if len(states) == 0 {
		return
	}
	for _, i := range st.probingPolicy.ProbeTargets(now, states) {
		st.handles[states[i].ID].target.RequestProbe()
	}
}

// handleProbeReport records the result of a probe.
func (dr *Dispatcher) handleProbeReport(now time.Time, st *state, r target.ProbeReport) {
	st.scheduler.CountProbe(r.ID)
	dr.metrics.probes.Inc()
	if r.Err != nil {
		dr.options.Common.Log.Debug("probe failed", "service", st.serviceRule.Name, "target", r.ID, "error", r.Err)
		if r.ForPlacement {
			st.scheduler.RecordPlacementProbeFailure(r.ID)
		}
		return
	}
	if r.Response.Load != nil {
		dr.recordLoad(now, st, r)
	}
}

// recordLoad passes a probe's load report to the scheduler and to a probing policy.
func (dr *Dispatcher) recordLoad(now time.Time, st *state, r target.ProbeReport) {
	if r.ForPlacement {
		st.scheduler.RecordPlacementProbe(now, r.ID, *r.Response.Load)
	} else {
		st.scheduler.RecordLoad(now, r.ID, *r.Response.Load)
	}
	if st.probingPolicy != nil {
		st.probingPolicy.RecordProbe(now, r.ID, *r.Response.Load, r.Latency)
	}
}

// announceSuspects announces to the peers which targets are unresponsive or
// ejected, so that other instances do not lose calls before they detect it.
func (dr *Dispatcher) announceSuspects(now time.Time, st *state) {
	if dr.options.AnnounceSuspect == nil || now.Sub(st.suspectsCheckedAt) < suspectCheckInterval {
		return
	}
	st.suspectsCheckedAt = now
	for _, id := range st.scheduler.SuspectsToAnnounce(now) {
		dr.options.AnnounceSuspect(st.serviceRule.Name, id, scheduling.SuspicionExpiry(now))
	}
}

// setTargets starts and stops the targets' tasks to match the platform's list.
func (dr *Dispatcher) setTargets(ctx context.Context, st *state, targetTasks *sync.WaitGroup, list []tarragonwell.ListedTarget) {
	before := st.scheduler.Undrained()
	joined, left := st.scheduler.SetTargets(dr.options.Common.Clock.Now(), list)
	for _, id := range left {
		delete(st.unannounced, id)
		st.handles[id].stop()
		delete(st.handles, id)
		dr.recordChange("target-left", id, "platform")
	}
	for _, l := range joined {
		st.handles[l.ID] = dr.startTarget(ctx, st, targetTasks, l)
		dr.recordChange("target-joined", l.ID, "platform")
	}
	for _, t := range st.scheduler.Targets() {
		if h := st.handles[t.ID]; h.drained != t.Drained {
			h.drained = t.Drained
			st.restrictTarget(t.ID)
		}
	}
	dr.logTargetAvailability(before, st.scheduler.Undrained())
	st.configureProbeIntervals()
}

// logTargetAvailability logs when a service loses its last target that is not drained, and
// when it has targets again.
func (dr *Dispatcher) logTargetAvailability(before, after int) {
	log := dr.options.Common.Log
	switch {
	case before > 0 && after == 0:
		log.Warn("dependency-lost", "dependency", "targets", "service", dr.options.ServiceRule.Name)
	case before == 0 && after > 0:
		log.Info("dependency-regained", "dependency", "targets", "service", dr.options.ServiceRule.Name, "targets", after)
	}
}

// configureProbeIntervals sets each target's probe interval. If there are targets in
// the instance's data centre, only these are probed: remote targets receive calls only
// on overflow or if too few local targets have room, and the responses to those calls
// carry load reports. Drained targets are not probed and do not count.
func (st *state) configureProbeIntervals() {
	anyLocal := false
	for _, t := range st.scheduler.Targets() {
		anyLocal = anyLocal || t.Local && !t.Drained
	}
	for _, t := range st.scheduler.Targets() {
		interval := time.Duration(0)
		if !t.Drained && (t.Local || !anyLocal) {
			interval = st.probeInterval()
		}
		st.handles[t.ID].target.SetProbeInterval(interval)
	}
}

// startTarget starts a target's task. The task is given an equal share of the
// connections that the rule allows: their number divided by the highest known number of
// instances.
func (dr *Dispatcher) startTarget(ctx context.Context, st *state, targetTasks *sync.WaitGroup, l tarragonwell.ListedTarget) *targetHandle {
	ctx, stop := context.WithCancel(ctx)
	t := target.New(target.Options{
		Common:      dr.options.Common,
		Dialect:     dr.options.Dialect,
		Service:     st.serviceRule,
		Listed:      l,
		Connections: st.connections(),
		Report: func(r target.ProbeReport) {
			_ = dr.mailbox.Send(ctx, r)
		},
		ReportNotice: func(r target.NoticeReport) {
			dr.mailbox.Post(r)
		},
	})
	targetTasks.Go(func() {
		dr.options.Common.RunTask("target "+l.ID, func() { t.Run(ctx) })
	})
	return &targetHandle{
		target: t,
		stop:   stop,
	}
}

// connections returns the instance's share of the connections to each target.
func (st *state) connections() int {
	return st.serviceRule.Connections / max(1, st.budgetDivisor)
}

// probeInterval returns the time between two probes of a target. It is 0, for no
// periodic probes, if the service uses placement probes, which draw on the same
// budget.
func (st *state) probeInterval() time.Duration {
	if st.serviceRule.PlacementProbes > 0 {
		return 0
	}
	if !control.Enabled(control.ProbeBudget) {
		return admission.ProbeInterval(st.serviceRule.ProbeBudget, 1, 0, 0)
	}
	return admission.ProbeInterval(st.serviceRule.ProbeBudget, st.budgetDivisor, 0, 0)
}
