package service

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// sendProbes sends the probes that the policy's prober requests for a new call.
func (s *Dispatcher) sendProbes(now time.Time, st *state) {
	states := st.scheduler.Targets()
	if len(states) == 0 {
		return
	}
	for _, i := range st.prober.ProbeTargets(now, states) {
		st.handles[states[i].ID].target.RequestProbe()
	}
}

// handleProbeReport records the result of a probe.
func (s *Dispatcher) handleProbeReport(now time.Time, st *state, r target.ProbeReport) {
	st.scheduler.CountProbe(r.ID)
	s.metrics.probes.Inc()
	if r.Err != nil {
		s.options.Common.Log.Debug("probe failed", "service", st.rule.Name, "target", r.ID, "error", r.Err)
		if r.ForPlacement {
			st.scheduler.RecordPlacementProbeFailure(r.ID)
		}
		return
	}
	if r.Response.Load != nil {
		s.recordLoad(now, st, r)
	}
	if r.Response.Leaving && control.Enabled(control.LeavingReport) {
		s.markTargetLeaving(now, st, r.ID, now.Add(leavingTTL), r.ID)
	}
}

// recordLoad passes a probe's load report to the scheduler and the policy's prober.
func (s *Dispatcher) recordLoad(now time.Time, st *state, r target.ProbeReport) {
	if r.ForPlacement {
		st.scheduler.RecordPlacementProbe(now, r.ID, *r.Response.Load)
	} else {
		st.scheduler.RecordLoad(now, r.ID, *r.Response.Load)
	}
	if st.prober != nil {
		st.prober.RecordProbe(now, r.ID, *r.Response.Load, r.Latency)
	}
}

// announceSuspects announces to the peers which targets are unresponsive or
// failing, so that other instances do not lose calls before they detect it.
func (s *Dispatcher) announceSuspects(now time.Time, st *state) {
	if s.options.AnnounceSuspect == nil || now.Sub(st.suspectsCheckedAt) < suspectCheckInterval {
		return
	}
	st.suspectsCheckedAt = now
	for _, id := range st.scheduler.SuspectsToAnnounce(now) {
		s.options.AnnounceSuspect(st.rule.Name, id, scheduling.SuspicionExpiry(now))
	}
}

// markTargetLeaving marks a target as draining. If the target itself reported it,
// the report is announced to the peers when it is new, and again every
// leavingAnnounceInterval as further reports arrive.
func (s *Dispatcher) markTargetLeaving(now time.Time, st *state, id string, until time.Time, from string) {
	changed := st.scheduler.MarkLeaving(now, id, until)
	if changed {
		s.recordChange("target-leaving", id, from)
	}
	announce := from == id && s.options.AnnounceLeaving != nil
	if announce && (changed || now.Sub(st.leavingAnnouncedAt[id]) > leavingAnnounceInterval) {
		st.leavingAnnouncedAt[id] = now
		s.options.AnnounceLeaving(st.rule.Name, id, until)
	}
}

// setTargets starts and stops the targets' tasks to match the platform's list.
func (s *Dispatcher) setTargets(ctx context.Context, st *state, targets *sync.WaitGroup, list []tarragonwell.ListedTarget) {
	before := len(st.handles)
	joined, left := st.scheduler.SetTargets(s.options.Common.Clock.Now(), list)
	for _, id := range left {
		delete(st.leavingAnnouncedAt, id)
		st.handles[id].stop()
		delete(st.handles, id)
		s.recordChange("target-left", id, "platform")
	}
	for _, l := range joined {
		st.handles[l.ID] = s.startTarget(ctx, st, targets, l)
		s.recordChange("target-joined", l.ID, "platform")
	}
	s.logTargetAvailability(before, len(st.handles))
	st.configureProbeIntervals()
}

// logTargetAvailability logs when a service loses its last target, and when it has
// targets again.
func (s *Dispatcher) logTargetAvailability(before, after int) {
	log := s.options.Common.Log
	switch {
	case before > 0 && after == 0:
		log.Warn("dependency-lost", "dependency", "targets", "service", s.options.ServiceRule.Name)
	case before == 0 && after > 0:
		log.Info("dependency-regained", "dependency", "targets", "service", s.options.ServiceRule.Name, "targets", after)
	}
}

// configureProbeIntervals sets each target's probe interval. If there are targets in
// the instance's data centre, only these are probed: remote targets receive calls
// only on overflow, and the responses to those calls carry load reports.
func (st *state) configureProbeIntervals() {
	anyLocal := false
	for _, t := range st.scheduler.Targets() {
		anyLocal = anyLocal || t.Local
	}
	for _, t := range st.scheduler.Targets() {
		interval := time.Duration(0)
		if t.Local || !anyLocal {
			interval = st.probeInterval()
		}
		st.handles[t.ID].target.SetProbeInterval(interval)
	}
}

// startTarget starts a target's task. The instance gets an equal share of the
// connections that the rule allows.
func (s *Dispatcher) startTarget(ctx context.Context, st *state, targets *sync.WaitGroup, l tarragonwell.ListedTarget) *targetHandle {
	ctx, stop := context.WithCancel(ctx)
	t := target.New(target.Options{
		Common:      s.options.Common,
		Dialect:     s.options.Dialect,
		ServiceRule: st.rule,
		Listed:      l,
		Connections: st.rule.Connections / max(1, st.instances),
		Report: func(r target.ProbeReport) {
			_ = s.mailbox.Send(ctx, r)
		},
	})
	targets.Go(func() {
		t.Run(ctx)
	})
	return &targetHandle{
		target: t,
		stop:   stop,
	}
}

// probeInterval returns the time between two probes of a target. It is 0, for no
// periodic probes, if the service uses placement probes, which draw on the same
// budget.
func (st *state) probeInterval() time.Duration {
	if st.rule.PlacementProbes > 0 {
		return 0
	}
	if !control.Enabled(control.ProbeBudget) {
		return admission.ProbeInterval(st.rule.ProbeBudget, 1, 0, 0)
	}
	return admission.ProbeInterval(st.rule.ProbeBudget, st.instances, 0, 0)
}
