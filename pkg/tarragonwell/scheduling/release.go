package scheduling

import (
	"math"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a target.
	ejectionThreshold = 3
	// minEjection is the duration of the first ejection. It doubles with each further
	// ejection, up to maxEjection.
	minEjection = 200 * time.Millisecond
	maxEjection = 5 * time.Second

	// The smoothing constants are weights of the latest value in exponential moving
	// averages.

	failureSmoothing = 0.1
	latencySmoothing = 0.1
	// observedSlowdownSmoothing is higher than latencySmoothing, as a target's speed
	// changes within milliseconds.
	observedSlowdownSmoothing = 0.25
	// meanReportSmoothing is for means over the reports of all targets.
	meanReportSmoothing = 0.05
	// meanRemoteReportSmoothing is higher than meanReportSmoothing, as there are few
	// reports of remote targets.
	meanRemoteReportSmoothing = 0.15
	// externalCallsSmoothing is for the reports of one target.
	externalCallsSmoothing = 0.15
	// percent is the divisor of reported slowdowns, which are in percent.
	percent = 100
	// maxObservedSlowdown limits the effect of a single call.
	maxObservedSlowdown = 50
)

// AttemptResult is how an attempt at a target ended.
type AttemptResult int

const (
	// AttemptSucceeded means that a response was received that is not a server error.
	// It is complete.
	AttemptSucceeded AttemptResult = iota
	// AttemptFailed means that the connection failed, the response came too late or
	// was a server error.
	AttemptFailed
	// AttemptRefused means that the target reported that it did not run the call.
	AttemptRefused
	// AttemptMisdirected means that the response came from another target, which now
	// has the address.
	AttemptMisdirected
	// AttemptCancelled means that the instance cancelled the attempt, or that the caller
	// did not read the response to its end, which is no evidence of the target's health.
	AttemptCancelled
)

// Release reports the end of the attempt that a Grant allowed, so that its slot at
// the target counts as free.
type Release struct {
	// TargetID is the target's ID.
	TargetID string
	// JoinSequence is copied from the Grant.
	JoinSequence uint64
	// Trial is copied from the Grant.
	Trial   bool
	Kind    *tarragonwell.Kind
	Result  AttemptResult
	Latency time.Duration
	// Load is the load report in the target's response, or nil.
	Load *tarragonwell.LoadReport
}

// recordStart counts an attempt that is about to be sent to a target. It reports whether
// it is a trial call.
func (s *Scheduler) recordStart(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) (trial bool) {
	if t.InFlight == t.InFlightLong {
		// No short calls were in flight: the time without a response starts now.
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
	trial = t.BackoffTrial || t.ConsecutiveFailures >= ejectionThreshold
	if trial {
		t.TrialInFlight++
	}
	return trial
}

// Release records the end of an attempt. Call Poll afterwards to grant the freed
// slot to a queued call.
func (s *Scheduler) Release(now time.Time, r Release) {
	s.inFlight--
	if r.Kind.Long {
		s.inFlightLong--
	}
	s.observeDemand(now)
	t := s.find(r.TargetID)
	if t == nil || t.JoinSequence != r.JoinSequence {
		// The target was removed, or removed and added again, during the call.
		return
	}
	t.InFlight--
	if r.Trial {
		t.TrialInFlight--
	}
	if r.Kind.Long {
		t.InFlightLong--
	}
	if r.Load != nil {
		s.RecordLoad(now, t.ID, *r.Load)
	}
	switch r.Result {
	case AttemptSucceeded:
		s.recordSuccess(now, t, r)
	case AttemptFailed:
		s.recordFailure(now, t, r.Kind)
	case AttemptRefused:
		s.recordRefusal(now, t, r)
	case AttemptMisdirected:
		s.recordMisdirected(now, t)
	case AttemptCancelled:
	}
}

// recordMisdirected ejects a target that is no longer at its listed address.
// Until the platform's list is updated, it receives at most a trial call every
// maxEjection.
func (s *Scheduler) recordMisdirected(now time.Time, t *tarragonwell.TargetState) {
	t.Failed++
	t.LastProgress = now
	t.ConsecutiveFailures = max(t.ConsecutiveFailures, ejectionThreshold)
	t.EjectedUntil = now.Add(maxEjection)
}

// RecordPlacementProbeFailure records that a placement probe of a target failed or
// that the response came from another target.
func (s *Scheduler) RecordPlacementProbeFailure(id string) {
	if t := s.find(id); t != nil {
		t.FailureRate += failureSmoothing * (1 - t.FailureRate)
	}
}

func (s *Scheduler) recordSuccess(now time.Time, t *tarragonwell.TargetState, r Release) {
	t.FailureRate *= 1 - failureSmoothing
	if t.ConsecutiveFailures >= ejectionThreshold || t.BackoffTrial {
		if now.Sub(t.RampStart) >= t.MinRamp {
			// The slow start after a drain was complete.
			t.MinRamp = 0
		}
		t.RampStart = now
	}
	t.BackoffTrial = now.Before(t.BackoffUntil)
	t.EjectedUntil = time.Time{}
	t.ConsecutiveFailures = 0
	t.Ejections = 0
	if r.Kind.Long {
		return
	}
	t.LastProgress = now
	s.recordLatency(t, r)
	s.limiter.RecordSuccess(s.undrainedInFlight(), s.totalSlots())
}

// recordLatency records the latency of a short call.
func (s *Scheduler) recordLatency(t *tarragonwell.TargetState, r Release) {
	k := s.stats(r.Kind)
	if mean := k.mean(); mean > 0 {
		ratio := min(maxObservedSlowdown, float64(r.Latency)/float64(mean))
		t.ObservedSlowdown = smooth(t.ObservedSlowdown, ratio, observedSlowdownSmoothing)
	}
	k.recordLatency(r.Latency)
	t.Latency = time.Duration(smooth(float64(t.Latency), float64(r.Latency), latencySmoothing))
	s.meanShortLatency = time.Duration(smooth(float64(s.meanShortLatency), float64(r.Latency), latencySmoothing))
}

func (s *Scheduler) recordFailure(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) {
	t.Failed++
	t.FailureRate += failureSmoothing * (1 - t.FailureRate)
	t.ConsecutiveFailures++
	if !k.Long {
		t.LastProgress = now
	}
	if t.ConsecutiveFailures < ejectionThreshold {
		return
	}
	ejection := minEjection << min(t.Ejections, 10)
	t.EjectedUntil = now.Add(min(ejection, maxEjection))
	t.Ejections++
}

// recordRefusal records that a target refused a call. If the target's own report
// shows free slots, the refusal counts towards its failure rate. Otherwise the target
// is taken to be full, and the concurrency limit is lowered.
func (s *Scheduler) recordRefusal(now time.Time, t *tarragonwell.TargetState, r Release) {
	t.Shed++
	t.LastProgress = now
	if r.Load != nil && r.Load.Total() < t.Slots {
		t.FailureRate += failureSmoothing * (1 - t.FailureRate)
		return
	}
	// The refusal is as good as a report that all slots are in use.
	t.ExternalCalls = max(t.ExternalCalls, float64(t.Slots))
	t.LoadReportedAt = now
	s.limiter.RecordCongestion(now, s.meanShortLatency)
}

// RecordLoad records a target's load report from a response or a probe.
func (s *Scheduler) RecordLoad(now time.Time, id string, load tarragonwell.LoadReport) {
	t := s.find(id)
	if t == nil {
		return
	}
	if load.SlowdownPercent > 0 {
		t.ReportedSlowdown = float64(load.SlowdownPercent) / percent
	}
	if s.options.ServiceRule.PlacementProbes == 0 {
		s.recordMeanSlowdown(load)
	}
	t.ExternalCalls = math.Max(0, float64(load.Total()-t.InFlight))
	t.LoadReportedAt = now
	t.SmoothedExternalCalls = smooth(t.SmoothedExternalCalls, t.ExternalCalls, externalCallsSmoothing)
	if t.Local || s.options.ServiceRule.OverflowUtilization == 0 {
		s.meanExternalCalls = smooth(s.meanExternalCalls, t.ExternalCalls, meanReportSmoothing)
	} else {
		s.meanRemoteExternalCalls = smooth(s.meanRemoteExternalCalls, t.ExternalCalls, meanRemoteReportSmoothing)
	}
}

// recordMeanSlowdown adds a report to the mean of all reported slowdowns.
func (s *Scheduler) recordMeanSlowdown(load tarragonwell.LoadReport) {
	if load.SlowdownPercent > 0 {
		s.meanReportedSlowdown = smooth(s.meanReportedSlowdown, float64(load.SlowdownPercent)/percent, meanReportSmoothing)
	}
}

// CountProbe counts a load probe of a target.
func (s *Scheduler) CountProbe(id string) {
	if t := s.find(id); t != nil {
		t.Probes++
	}
}

// smooth returns the exponential moving average after x, where old is the average
// before it. An old average of 0 counts as none and is replaced by x.
func smooth(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}
