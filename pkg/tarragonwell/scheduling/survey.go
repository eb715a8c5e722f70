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
	// surveyBurst is how much of the budget may be saved up for a swing of demand.
	surveyBurst = 2 * time.Second
	// askedLately is the age up to which an answer isn't asked for again.
	askedLately = 12 * time.Millisecond
	// surveyBatch is the number of targets that are asked at a time.
	surveyBatch = 2
	// A target is good that works at most so much slower than usual, with at most
	// this share of its slots taken.
	goodSlowness = 1.2
	goodShare    = 0.5
	// waitingSurveyInterval is the time between two surveys for calls that wait,
	// of waitingSurvey targets each.
	waitingSurveyInterval = 20 * time.Millisecond
	waitingSurvey         = 2
)

// configureSurveys sets the instance's part of the probe budget. The budget is
// a rate a target, so that no swing of demand adds a question.
func (s *Scheduler) configureSurveys() {
	service := s.options.ServiceRule
	if service.PlacementProbes <= 0 {
		return
	}
	perSecond := service.ProbeBudget * float64(len(s.targets)) / float64(max(1, s.options.InstanceCount))
	s.surveys.SetLimit(rate.Limit(perSecond))
	s.surveys.SetBurst(max(service.PlacementProbes, int(perSecond*surveyBurst.Seconds())))
}

// PlacementProbeTargets draws the targets that are asked for their load before a call is
// placed: a few at a time, none once one of those that were asked lately is
// good. round counts from 0. From the second round on targets of other data
// centers are asked where none near has room to spare. It returns none where the
// budget is spent.
func (s *Scheduler) PlacementProbeTargets(now time.Time, r AcquireRequest, round int) []string {
	most := min(surveyBatch, s.options.ServiceRule.PlacementProbes-round*surveyBatch)
	if most <= 0 {
		return nil
	}
	usable := s.usable(now, &admission.PendingCall{
		Kind:    r.Kind,
		Exclude: r.Exclude,
	})
	near := policy.NearestTargets(usable, r.Kind)
	if round > 0 && r.Kind.CrossDataCenter && s.full(now, near) {
		return s.draw(now, policy.RemoteTargets(usable), most)
	}
	return s.draw(now, near, most)
}

// full reports whether those of the targets that were asked lately have no room
// to spare.
func (s *Scheduler) full(now time.Time, targets []*tarragonwell.TargetState) bool {
	spill := s.options.ServiceRule.OverflowUtilization
	asked := false
	for _, t := range targets {
		if now.Sub(t.PlacementProbedAt) >= askedLately {
			continue
		}
		asked = true
		if t.TotalCalls()+1 <= spill*float64(t.Slots) {
			return false
		}
	}
	return asked && spill > 0
}

// ProbeTargetsForQueue draws targets that are asked on behalf of the calls that
// wait, now and then: a place that got free elsewhere is heard of in no other
// way.
func (s *Scheduler) ProbeTargetsForQueue(now time.Time) []string {
	first := s.queue.Peek()
	if first == nil || now.Sub(s.surveyedForWaiting) < waitingSurveyInterval {
		return nil
	}
	s.surveyedForWaiting = now
	return s.draw(now, policy.NearestTargets(s.usable(now, first), first.Kind), min(waitingSurvey, s.options.ServiceRule.PlacementProbes))
}

// draw picks up to most of the targets at random, as far as the budget goes; none
// where one of them is good.
func (s *Scheduler) draw(now time.Time, targets []*tarragonwell.TargetState, most int) []string {
	if len(targets) < 2 {
		return nil
	}
	for _, t := range targets {
		if s.good(now, t) {
			return nil
		}
	}
	var ask []string
	for _, i := range rand.Perm(len(targets)) {
		t := targets[i]
		if now.Sub(t.PlacementProbedAt) < askedLately {
			continue
		}
		if len(ask) >= most || !s.surveys.AllowN(now, 1) {
			break
		}
		ask = append(ask, t.ID)
	}
	return ask
}

// good reports whether a target has told lately that it is quiet and has room
// to spare, so that asking others would gain little.
func (s *Scheduler) good(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Sub(t.PlacementProbedAt) < askedLately && t.ReportedSlowdown <= goodSlowness && t.TotalCalls() <= goodShare*float64(t.Slots)
}

// RecordPlacementProbe takes in the answer to a question for a target's load.
func (s *Scheduler) RecordPlacementProbe(now time.Time, id string, l tarragonwell.LoadReport) {
	s.RecordLoad(now, id, l)
	if t := s.find(id); t != nil {
		t.PlacementProbedAt = now
	}
}
