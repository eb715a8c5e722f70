package scheduling

import (
	"math/rand/v2"
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
	// slowdown and the maximum share of used slots of a lightly loaded target.
	lightLoadReportedSlowdown = 1.2
	lightLoadUtilization      = 0.5
	// queueProbeInterval is the time between two rounds of placement probes for
	// queued calls.
	queueProbeInterval = 20 * time.Millisecond
	// queueProbeBatch is the number of targets that are probed in such a round.
	queueProbeBatch = 2
)

// configurePlacementProbes sets the instance's share of the probe budget. The
// budget is a rate per target that is not drained, so that the probe load on the targets does not
// grow with the rate of calls.
func (s *Scheduler) configurePlacementProbes() {
	service := s.options.ServiceRule
	if service.PlacementProbes <= 0 {
		return
	}
	probesPerSecond := service.ProbeBudget * float64(s.undrained) / float64(max(1, s.options.BudgetDivisor))
	s.placementProbeLimiter.SetLimit(rate.Limit(probesPerSecond))
	s.placementProbeLimiter.SetBurst(max(service.PlacementProbes, int(probesPerSecond*placementProbeBurstTime.Seconds())))
}

// PlacementProbeTargets returns the IDs of the targets to probe for their load
// before a call is placed: a few per round, and none once a recently probed
// target is lightly loaded or the probe budget is spent. round counts from 0.
// From round 1 on, for kinds with CrossDataCenter, targets of other data centres
// are probed if the nearest targets, normally the local ones, are nearly full.
func (s *Scheduler) PlacementProbeTargets(now time.Time, r AcquireRequest, round int) []string {
	limit := min(placementProbeBatch, s.options.ServiceRule.PlacementProbes-round*placementProbeBatch)
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
	if len(targets) < 2 {
		// There is nothing to choose from.
		return nil
	}
	return s.sampleTargets(now, targets, limit)
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
	for _, t := range targets {
		if s.lightlyLoaded(now, t) {
			return nil
		}
	}
	var sample []string
	for _, i := range rand.Perm(len(targets)) {
		t := targets[i]
		if now.Sub(t.PlacementProbedAt) < placementProbeTTL {
			continue
		}
		if len(sample) >= limit || !s.placementProbeLimiter.AllowN(now, 1) {
			break
		}
		sample = append(sample, t.ID)
	}
	return sample
}

// lightlyLoaded reports whether a recently probed target is neither slow nor
// busy, so that probing others would gain little.
func (s *Scheduler) lightlyLoaded(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Sub(t.PlacementProbedAt) < placementProbeTTL && t.ReportedSlowdown <= lightLoadReportedSlowdown && t.TotalCalls() <= lightLoadUtilization*float64(t.Slots)
}

// RecordPlacementProbe records the load report in a target's response to a
// placement probe.
func (s *Scheduler) RecordPlacementProbe(now time.Time, id string, load tarragonwell.LoadReport) {
	s.RecordLoad(now, id, load)
	if t := s.find(id); t != nil {
		t.PlacementProbedAt = now
	}
}
