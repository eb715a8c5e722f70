package scheduling

import (
	"math"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// ejectAfter is the number of failures in a row that eject a target.
	ejectAfter = 3
	// firstEjection doubles with each further ejection up to lastEjection.
	firstEjection = 200 * time.Millisecond
	lastEjection  = 5 * time.Second
	// failureSmoothing is the weight of the latest call in the failure rate.
	failureSmoothing = 0.1
	latencySmoothing = 0.1
	// slowdownSmoothing is higher, for a target's speed shifts in milliseconds.
	slowdownSmoothing = 0.25
	othersSmoothing   = 0.05
	// othersFarSmoothing is higher, as there are few reports of far targets.
	othersFarSmoothing = 0.15
	usualSmoothing     = 0.15
	// percent is the unit of reports of slowness.
	percent = 100
	// maxObservedSlowdown bounds what one call can say.
	maxObservedSlowdown = 50
)

// AttemptResult is how an attempt at a target ended.
type AttemptResult int

const (
	// AttemptSucceeded is a whole answer that is no sign of trouble.
	AttemptSucceeded AttemptResult = iota
	// AttemptFailed is a broken connection, a late answer or a server error.
	AttemptFailed
	// AttemptRefused is a target's word that it did not run the call.
	AttemptRefused
	// AttemptMisdirected is the word of another target that has the address now.
	AttemptMisdirected
	// AttemptCancelled is an attempt that the instance gave up; it says nothing of
	// the target.
	AttemptCancelled
)

// Release gives back what a Grant gave.
type Release struct {
	// TargetID is the target's ID.
	TargetID string
	// JoinSequence is the grant's.
	JoinSequence uint64
	Kind         *tarragonwell.Kind
	Result       AttemptResult
	Latency      time.Duration
	// Load is the target's own report, or nil.
	Load *tarragonwell.LoadReport
	// Leaving is the target's own word.
	Leaving bool
}

// begin counts a call that goes to a target.
func (s *Scheduler) begin(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) {
	if t.InFlight == t.InFlightLong {
		t.LastProgress = now
	}
	t.InFlight++
	if k.Long {
		t.InFlightLong++
		s.inFlightLong++
	}
	t.Sent++
	s.inFlight++
	s.observeDemand(now)
}

// Release takes in the end of an attempt. Poll then serves the waiting calls.
func (s *Scheduler) Release(now time.Time, r Release) {
	s.inFlight--
	if r.Kind.Long {
		s.inFlightLong--
	}
	s.observeDemand(now)
	t := s.find(r.TargetID)
	if t == nil || t.JoinSequence != r.JoinSequence {
		// The target has left, or has left and come back.
		return
	}
	t.InFlight--
	if r.Kind.Long {
		t.InFlightLong--
	}
	if r.Load != nil {
		s.RecordLoad(now, t.ID, *r.Load)
	}
	switch r.Result {
	case AttemptSucceeded:
		s.succeed(now, t, r)
	case AttemptFailed:
		s.fail(now, t, r.Kind)
	case AttemptRefused:
		s.shed(now, t, r)
	case AttemptMisdirected:
		s.misdirected(now, t)
	case AttemptCancelled:
	}
}

// misdirected ejects a target that is no longer where the list says, until the
// list says so too.
func (s *Scheduler) misdirected(now time.Time, t *tarragonwell.TargetState) {
	t.Failed++
	t.LastProgress = now
	t.ConsecutiveFailures = max(t.ConsecutiveFailures, ejectAfter)
	t.EjectedUntil = now.Add(lastEjection)
}

// RecordPlacementProbeFailure takes in that a target did not answer a question for its load as
// itself.
func (s *Scheduler) RecordPlacementProbeFailure(id string) {
	if t := s.find(id); t != nil {
		t.FailureRate += failureSmoothing * (1 - t.FailureRate)
	}
}

func (s *Scheduler) succeed(now time.Time, t *tarragonwell.TargetState, r Release) {
	t.FailureRate *= 1 - failureSmoothing
	if t.ConsecutiveFailures >= ejectAfter {
		t.RampStart = now
	}
	t.ConsecutiveFailures = 0
	t.Ejections = 0
	if r.Kind.Long {
		return
	}
	t.LastProgress = now
	s.learn(t, r)
	s.limiter.RecordSuccess(s.inFlight, s.slots())
}

// learn takes in the latency of a short call.
func (s *Scheduler) learn(t *tarragonwell.TargetState, r Release) {
	k := s.stats(r.Kind)
	if mean := k.mean(); mean > 0 {
		ratio := min(maxObservedSlowdown, float64(r.Latency)/float64(mean))
		t.ObservedSlowdown = smooth(t.ObservedSlowdown, ratio, slowdownSmoothing)
	}
	k.take(r.Latency)
	t.Latency = time.Duration(smooth(float64(t.Latency), float64(r.Latency), latencySmoothing))
	s.shortLatency = time.Duration(smooth(float64(s.shortLatency), float64(r.Latency), latencySmoothing))
}

func (s *Scheduler) fail(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) {
	t.Failed++
	t.FailureRate += failureSmoothing * (1 - t.FailureRate)
	t.ConsecutiveFailures++
	if !k.Long {
		t.LastProgress = now
	}
	if t.ConsecutiveFailures < ejectAfter {
		return
	}
	wait := firstEjection << min(t.Ejections, 10)
	t.EjectedUntil = now.Add(min(wait, lastEjection))
	t.Ejections++
}

// shed takes in a refusal. A target that refuses though it has room fails.
func (s *Scheduler) shed(now time.Time, t *tarragonwell.TargetState, r Release) {
	t.Shed++
	t.LastProgress = now
	if r.Load != nil && r.Load.Total() < t.Slots {
		t.FailureRate += failureSmoothing * (1 - t.FailureRate)
		return
	}
	t.ExternalCalls = max(t.ExternalCalls, float64(t.Slots))
	t.LoadReportedAt = now
	s.limiter.RecordCongestion(now, s.shortLatency)
}

// RecordLoad takes in a target's own report, from an answer or a probe.
func (s *Scheduler) RecordLoad(now time.Time, id string, l tarragonwell.LoadReport) {
	t := s.find(id)
	if t == nil {
		return
	}
	if l.SlowdownPercent > 0 {
		t.ReportedSlowdown = float64(l.SlowdownPercent) / percent
		s.meanSlowness = smooth(s.meanSlowness, t.ReportedSlowdown, othersSmoothing)
	}
	t.ExternalCalls = math.Max(0, float64(l.Total()-t.InFlight))
	t.LoadReportedAt = now
	t.SmoothedExternalCalls = smooth(t.SmoothedExternalCalls, t.ExternalCalls, usualSmoothing)
	if t.Local || s.options.ServiceRule.OverflowUtilization == 0 {
		s.meanOthers = smooth(s.meanOthers, t.ExternalCalls, othersSmoothing)
	} else {
		s.meanOthersFar = smooth(s.meanOthersFar, t.ExternalCalls, othersFarSmoothing)
	}
}

// CountProbe counts a probe in the target's state.
func (s *Scheduler) CountProbe(id string) {
	if t := s.find(id); t != nil {
		t.Probes++
	}
}

// smooth moves old towards x; the first x counts whole.
func smooth(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}
