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

func (s *Dispatcher) sendProbes(now time.Time, st *state) {
	states := st.scheduler.Targets()
	if len(states) == 0 {
		return
	}
	for _, i := range st.prober.ProbeTargets(now, states) {
		st.handles[states[i].ID].target.RequestProbe()
	}
}

func (s *Dispatcher) probed(now time.Time, st *state, r target.ProbeReport) {
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
		s.takeLoad(now, st, r)
	}
	if r.Response.Leaving && control.Enabled(control.LeavingReport) {
		s.leaving(now, st, r.ID, now.Add(leavingBelieved), r.ID)
	}
}

func (s *Dispatcher) takeLoad(now time.Time, st *state, r target.ProbeReport) {
	if r.ForPlacement {
		st.scheduler.RecordPlacementProbe(now, r.ID, *r.Response.Load)
	} else {
		st.scheduler.RecordLoad(now, r.ID, *r.Response.Load)
	}
	if st.prober != nil {
		st.prober.RecordProbe(now, r.ID, *r.Response.Load, r.Latency)
	}
}

// tellSuspects passes on which targets have fallen silent or fail: the first
// instance to see it spares the others the calls.
func (s *Dispatcher) tellSuspects(now time.Time, st *state) {
	if s.options.AnnounceSuspect == nil || now.Sub(st.scanned) < suspectScan {
		return
	}
	st.scanned = now
	for _, id := range st.scheduler.SuspectsToAnnounce(now) {
		s.options.AnnounceSuspect(st.rule.Name, id, scheduling.SuspicionExpiry(now))
	}
}

// leaving marks a target. A target's own word is passed on to the peers.
func (s *Dispatcher) leaving(now time.Time, st *state, id string, until time.Time, from string) {
	news := st.scheduler.MarkLeaving(now, id, until)
	if news {
		s.change("target-leaving", id, from)
	}
	own := from == id && s.options.AnnounceLeaving != nil
	if own && (news || now.Sub(st.told[id]) > leavingRetold) {
		st.told[id] = now
		s.options.AnnounceLeaving(st.rule.Name, id, until)
	}
}

func (s *Dispatcher) setTargets(ctx context.Context, st *state, targets *sync.WaitGroup, list []tarragonwell.ListedTarget) {
	before := len(st.handles)
	joined, left := st.scheduler.SetTargets(s.options.Common.Clock.Now(), list)
	for _, id := range left {
		delete(st.told, id)
		st.handles[id].stop()
		delete(st.handles, id)
		s.change("target-left", id, "platform")
	}
	for _, l := range joined {
		st.handles[l.ID] = s.startTarget(ctx, st, targets, l)
		s.change("target-joined", l.ID, "platform")
	}
	s.tellEmpty(before, len(st.handles))
	st.configureProbes()
}

// tellEmpty tells in the log when a service loses its last target or has one
// again.
func (s *Dispatcher) tellEmpty(before, after int) {
	log := s.options.Common.Log
	switch {
	case before > 0 && after == 0:
		log.Warn("dependency-lost", "dependency", "targets", "service", s.options.ServiceRule.Name)
	case before == 0 && after > 0:
		log.Info("dependency-regained", "dependency", "targets", "service", s.options.ServiceRule.Name, "targets", after)
	}
}

// configureProbes sets each target's interval. Only targets of the own data
// centre are probed, if there are any: calls go elsewhere only to spill over,
// and bring news themselves then.
func (st *state) configureProbes() {
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

func (s *Dispatcher) startTarget(ctx context.Context, st *state, targets *sync.WaitGroup, l tarragonwell.ListedTarget) *handle {
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
	return &handle{
		target: t,
		stop:   stop,
	}
}

// probeInterval is 0 where targets are asked as calls come, out of the same
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
