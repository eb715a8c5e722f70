package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	// placementProbeBurstTime is the time over which unused budget accumulates for
	// load peaks.
	placementProbeBurstTime = 2 * time.Second
	// placementProbeTTL is the age up to which a probe response is used instead of
	// probing the target again; "recently probed" below means within this time. The
	// adaptive policy prefers probed targets for longer, for its maxPlacementProbeAge.
	placementProbeTTL = 12 * time.Millisecond
	// placementProbeBatch is the number of targets that are probed in a round.
	placementProbeBatch = 2
	// lightLoadReportedSlowdown and lightLoadUtilization are the maximum reported
	// slowdown of a lightly loaded target, and the maximum share of its slots that are in
	// use once it has the call. With two slots, both have to be free: a second call there
	// takes nearly twice as long.
	lightLoadReportedSlowdown = 1.2
	lightLoadUtilization      = 0.67
	// fewSlots is the number of slots below which more targets are probed for a call, as
	// each is less likely to have a free one; at most maxProbeFactor times as many.
	fewSlots       = 4
	maxProbeFactor = 2
	// queueProbeInterval is the time between two rounds of placement probes for
	// queued calls.
	queueProbeInterval = 20 * time.Millisecond
	// queueProbeBatch is the number of targets that are probed in such a round.
	queueProbeBatch = 2
)

// configurePlacementProbes sets the instance's share of the probe budget. The budget is a
// rate per target that is not drained, so that the probe load on the targets does not grow
// with the rate of calls.
func (s *Scheduler) configurePlacementProbes() {
	service := s.options.ServiceRule
	if service.PlacementProbes <= 0 {
		return
	}
	probesPerSecond := service.ProbeBudget * float64(s.undrained) / float64(max(1, s.options.BudgetDivisor))
	s.placementProbeRate = rate.Limit(probesPerSecond)
	s.placementProbeBurst = max(service.PlacementProbes, int(probesPerSecond*placementProbeBurstTime.Seconds()))
}

// applyPlacementProbeLimits makes placementProbeLimiter use the configured limits.
func (s *Scheduler) applyPlacementProbeLimits(now time.Time) {
	l := s.placementProbeLimiter
	if l.Limit() != s.placementProbeRate {
		l.SetLimitAt(now, s.placementProbeRate)
	}
	if l.Burst() != s.placementProbeBurst {
		l.SetBurstAt(now, s.placementProbeBurst)
	}
}

// allowPlacementProbe takes one probe from the instance's share of the probe budget. It
// reports whether there was one.
func (s *Scheduler) allowPlacementProbe(now time.Time) bool {
	s.applyPlacementProbeLimits(now)
	return s.placementProbeLimiter.AllowN(now, 1)
}

// PlacementProbeTargets returns the IDs of the targets to probe for their load
// before a call is placed: a few per round, and none once a recently probed
// target is lightly loaded or the probe budget is spent. round counts from 0.
// From round 1 on, for kinds with CrossDataCenter, targets of other data centres
// are probed if the nearest targets, normally the local ones, are nearly full.
func (s *Scheduler) PlacementProbeTargets(now time.Time, r AcquireRequest, round int) []string {
	limit := min(placementProbeBatch, s.maxPlacementProbes()-round*placementProbeBatch)
	if limit <= 0 {
		return nil
	}
	eligible := s.eligibleTargets(now, &admission.PendingCall{
		Kind:    r.Kind,
		Exclude: r.Exclude,
	})
	targets := policy.NearestTargets(eligible, r.Kind)
	if round > 0 && r.Kind.CrossDataCenter && s.nearlyFull(now, targets) {
		targets = policy.OverflowProbeTargets(eligible)
	}
	if len(targets) == 1 && returningGradually(now, targets[0]) {
		// Most calls are still placed elsewhere.
		targets = eligible
	}
	if len(targets) < 2 {
		// There is nothing to choose from.
		return nil
	}
	return s.sampleTargets(now, targets, limit)
}

// maxPlacementProbes returns the number of targets that may be probed before a call is placed.
func (s *Scheduler) maxPlacementProbes() int {
	probes := s.options.ServiceRule.PlacementProbes
	if s.undrained == 0 {
		return probes
	}
	slotsPerTarget := float64(s.totalSlots()) / float64(s.undrained)
	factor := min(maxProbeFactor, max(1, fewSlots/slotsPerTarget))
	return int(factor * float64(probes))
}

// nearlyFull reports whether any of the targets were probed recently and one more
// call would take each of those above the overflow utilization. It returns false if
// overflow is disabled.
func (s *Scheduler) nearlyFull(now time.Time, targets []*tarragonwell.TargetState) bool {
	overflow := s.options.ServiceRule.OverflowUtilization
	probed := false
	for _, t := range targets {
		if now.Sub(t.PlacementProbedAt) >= placementProbeTTL {
			continue
		}
		probed = true
		if t.TotalCalls()+1 <= overflow*float64(t.Slots) {
			return false
		}
	}
	return probed && overflow > 0
}

// ProbeTargetsForQueue returns the IDs of the targets to probe on behalf of
// queued calls, at intervals of queueProbeInterval. A slot that is freed by
// another instance is discovered only by such a probe, also if there is only one target.
func (s *Scheduler) ProbeTargetsForQueue(now time.Time) []string {
	first := s.queue.Peek()
	if first == nil || now.Sub(s.lastQueueProbe) < queueProbeInterval {
		return nil
	}
	s.lastQueueProbe = now
	return s.sampleTargets(now, policy.NearestTargets(s.eligibleTargets(now, first), first.Kind), min(queueProbeBatch, s.options.ServiceRule.PlacementProbes))
}

// sampleTargets selects up to limit targets at random, within the probe budget
// and without those that were probed recently. It returns none if one of the
// targets is lightly loaded.
func (s *Scheduler) sampleTargets(now time.Time, targets []*tarragonwell.TargetState, limit int) []string {
	if s.anyLightlyLoaded(now, targets) {
		return nil
	}
	var sample []string
	for _, i := range rand.Perm(len(targets)) {
		t := targets[i]
		if now.Sub(t.PlacementProbedAt) < placementProbeTTL {
			continue
		}
		if len(sample) >= limit || !s.allowPlacementProbe(now) {
			break
		}
		sample = append(sample, t.ID)
	}
	return sample
}

// anyLightlyLoaded reports whether any of the targets is lightly loaded.
func (s *Scheduler) anyLightlyLoaded(now time.Time, targets []*tarragonwell.TargetState) bool {
	return slices.ContainsFunc(targets, func(t *tarragonwell.TargetState) bool { return s.lightlyLoaded(now, t) })
}

// lightlyLoadedInReach reports whether any of the targets that the policy prefers for a call
// is lightly loaded: the nearest ones and, with CrossDataCenter, those probed on overflow.
func (s *Scheduler) lightlyLoadedInReach(now time.Time, r AcquireRequest) bool {
	targets := s.eligibleTargets(now, &admission.PendingCall{
		Kind:    r.Kind,
		Exclude: r.Exclude,
	})
	if !r.Kind.CrossDataCenter {
		targets = policy.NearestTargets(targets, r.Kind)
	}
	return s.anyLightlyLoaded(now, targets)
}

// lightlyLoaded reports whether a recently probed target is neither slow nor
// busy, so that probing others would gain little.
func (s *Scheduler) lightlyLoaded(now time.Time, t *tarragonwell.TargetState) bool {
	recent := now.Sub(t.PlacementProbedAt) < placementProbeTTL
	utilization := (t.TotalCalls() + 1) / float64(t.Slots)
	// An idle target of one slot is lightly loaded too.
	hasRoom := t.TotalCalls() <= 0 || utilization <= lightLoadUtilization
	return recent && t.ReportedSlowdown <= lightLoadReportedSlowdown && hasRoom
}

// RecordPlacementProbe records the load report in a target's response to a
// placement probe. The targets to probe are drawn at random, so the mean of their slowdowns
// holds for all targets. Responses to calls come from targets that were chosen for being fast.
func (s *Scheduler) RecordPlacementProbe(now time.Time, id string, load tarragonwell.LoadReport) {
	s.RecordLoad(now, id, load)
	if t := s.find(id); t != nil {
		t.PlacementProbedAt = now
		s.recordMeanSlowdown(load)
	}
}
