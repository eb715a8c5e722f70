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
	// placementProbeBurst is how much of the budget may be saved up for a swing of demand.
	placementProbeBurst = 2 * time.Second
	// placementProbeTTL is the age up to which an answer isn't asked for again.
	placementProbeTTL = 12 * time.Millisecond
	// placementProbeBatch is the number of targets that are asked at a time.
	placementProbeBatch = 2
	// A target is good that works at most so much slower than usual, with at most
	// this share of its slots taken.
	lightLoadSlowdown    = 1.2
	lightLoadUtilization = 0.5
	// queueProbeInterval is the time between two surveys for calls that wait,
	// of waitingSurvey targets each.
	queueProbeInterval = 20 * time.Millisecond
	queueProbeBatch    = 2
)

// configurePlacementProbes sets the instance's part of the probe budget. The budget is
// a rate a target, so that no swing of demand adds a question.
func (s *Scheduler) configurePlacementProbes() {
	service := s.options.Service
	if service.PlacementProbes <= 0 {
		return
	}
	perSecond := service.ProbeBudget * float64(len(s.targets)) / float64(max(1, s.options.Instances))
	s.placementProbeLimiter.SetLimit(rate.Limit(perSecond))
	s.placementProbeLimiter.SetBurst(max(service.PlacementProbes, int(perSecond*placementProbeBurst.Seconds())))
}

// PlacementProbeTargets draws the targets that are asked for their load before a call is
// placed: a few at a time, none once one of those that were asked lately is
// good. round counts from 0. From the second round on targets of other data
// centers are asked where none near has room to spare. It returns none where the
// budget is spent.
func (s *Scheduler) PlacementProbeTargets(now time.Time, r Request, round int) []string {
	most := min(placementProbeBatch, s.options.Service.PlacementProbes-round*placementProbeBatch)
	if most <= 0 {
		return nil
	}
	usable := s.eligibleTargets(now, &admission.Waiter{
		Kind:    r.Kind,
		Exclude: r.Exclude,
	})
	near := policy.Near(usable, r.Kind)
	if round > 0 && r.Kind.CrossDataCenter && s.nearlyFull(now, near) {
		return s.sampleTargets(now, policy.Far(usable), most)
	}
	return s.sampleTargets(now, near, most)
}

// nearlyFull reports whether those of the targets that were asked lately have no room
// to spare.
func (s *Scheduler) nearlyFull(now time.Time, targets []*tarragonwell.TargetState) bool {
	spill := s.options.Service.OverflowUtilization
	asked := false
	for _, t := range targets {
		if now.Sub(t.PlacementProbedAt) >= placementProbeTTL {
			continue
		}
		asked = true
		if t.TotalCalls()+1 <= spill*float64(t.Slots) {
			return false
		}
	}
	return asked && spill > 0
}

// QueuePlacementProbeTargets draws targets that are asked on behalf of the calls that
// wait, now and then: a place that got free elsewhere is heard of in no other
// way.
func (s *Scheduler) QueuePlacementProbeTargets(now time.Time) []string {
	first := s.queue.First()
	if first == nil || now.Sub(s.lastQueueProbe) < queueProbeInterval {
		return nil
	}
	s.lastQueueProbe = now
	return s.sampleTargets(now, policy.Near(s.eligibleTargets(now, first), first.Kind), min(queueProbeBatch, s.options.Service.PlacementProbes))
}

// sampleTargets picks up to most of the targets at random, as far as the budget goes; none
// where one of them is good.
func (s *Scheduler) sampleTargets(now time.Time, targets []*tarragonwell.TargetState, most int) []string {
	if len(targets) < 2 {
		return nil
	}
	for _, t := range targets {
		if s.lightlyLoaded(now, t) {
			return nil
		}
	}
	var ask []string
	for _, i := range rand.Perm(len(targets)) {
		t := targets[i]
		if now.Sub(t.PlacementProbedAt) < placementProbeTTL {
			continue
		}
		if len(ask) >= most || !s.placementProbeLimiter.AllowN(now, 1) {
			break
		}
		ask = append(ask, t.ID)
	}
	return ask
}

// lightlyLoaded reports whether a target has told lately that it is quiet and has room
// to spare, so that asking others would gain little.
func (s *Scheduler) lightlyLoaded(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Sub(t.PlacementProbedAt) < placementProbeTTL && t.ReportedSlowdown <= lightLoadSlowdown && t.TotalCalls() <= lightLoadUtilization*float64(t.Slots)
}

// RecordPlacementProbe takes in the answer to a question for a target's load.
func (s *Scheduler) RecordPlacementProbe(now time.Time, id string, l tarragonwell.LoadReport) {
	s.RecordLoad(now, id, l)
	if t := s.find(id); t != nil {
		t.PlacementProbedAt = now
	}
}
