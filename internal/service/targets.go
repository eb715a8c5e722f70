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

func (s *Service) sendProbes(now time.Time, st *state) {
	states := st.scheduler.Targets()
	if len(states) == 0 {
		return
	}
	for _, i := range st.prober.ProbeTargets(now, states) {
		st.handles[states[i].Address].target.Probe()
	}
}

func (s *Service) probed(now time.Time, st *state, r target.ProbeReport) {
	st.scheduler.CountProbe(r.Address)
	s.metrics.probes.Inc()
	if r.Err != nil {
		s.options.Common.Log.Debug("probe failed", "service", st.rule.Name, "target", r.Address, "error", r.Err)
		return
	}
	st.scheduler.TakeLoad(now, r.Address, r.Load)
	if st.prober != nil {
		st.prober.TakeProbe(now, r.Address, r.Load, r.Latency)
	}
	if r.Leaving && control.Holds(control.LeavingWord) {
		s.leaving(now, st, r.Address, now.Add(leavingBelieved), r.Address)
	}
}

// tellSuspects passes on which targets have fallen silent or fail: the first
// instance to see it spares the others the calls.
func (s *Service) tellSuspects(now time.Time, st *state) {
	if s.options.TellSuspect == nil || now.Sub(st.scanned) < suspectScan {
		return
	}
	st.scanned = now
	for _, a := range st.scheduler.Suspects(now) {
		s.options.TellSuspect(st.rule.Name, a, scheduling.SuspectUntil(now))
	}
}

// leaving marks a target. A target's own word is passed on to the peers.
func (s *Service) leaving(now time.Time, st *state, address string, until time.Time, from string) {
	news := st.scheduler.MarkLeaving(now, address, until)
	if news {
		s.change("target-leaving", address, from)
	}
	own := from == address && s.options.TellLeaving != nil
	if own && (news || now.Sub(st.told[address]) > leavingRetold) {
		st.told[address] = now
		s.options.TellLeaving(st.rule.Name, address, until)
	}
}

func (s *Service) setTargets(ctx context.Context, st *state, targets *sync.WaitGroup, list []tarragonwell.ListedTarget) {
	joined, left := st.scheduler.SetTargets(s.options.Common.Clock.Now(), list)
	for _, a := range left {
		delete(st.told, a)
		st.handles[a].stop()
		delete(st.handles, a)
		s.change("target-left", a, "platform")
	}
	for _, a := range joined {
		st.handles[a] = s.startTarget(ctx, st, targets, a)
		s.change("target-joined", a, "platform")
	}
	st.configureProbes()
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
		st.handles[t.Address].target.Configure(interval)
	}
}

func (s *Service) startTarget(ctx context.Context, st *state, targets *sync.WaitGroup, address string) *handle {
	ctx, stop := context.WithCancel(ctx)
	t := target.New(target.Options{
		Common:      s.options.Common,
		Address:     address,
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

func (st *state) probeInterval() time.Duration {
	if !control.Holds(control.ProbeBudget) {
		return admission.ProbeInterval(st.rule.ProbeBudget, 1, 0, 0)
	}
	return admission.ProbeInterval(st.rule.ProbeBudget, st.instances, 0, 0)
}
