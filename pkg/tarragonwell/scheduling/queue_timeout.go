package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// minQueueTimeoutDivisor sets the shortest queue timeout, the latency objective
	// divided by it, so that a call can take the slot of one that ends.
	minQueueTimeoutDivisor = 8
	// lateUtilizationFactor reduces the maximum utilization for calls that can no
	// longer meet their latency objective.
	lateUtilizationFactor = 0.65
	// hedgeMaxUtilization is the share of its slots up to which a target is given
	// hedges: at peak load they would make first attempts late.
	hedgeMaxUtilization = 0.67
	// retryAfterShare is the share of a caller's remaining time after which it is
	// told to retry: late enough for a load peak to pass, early enough to retry more
	// than once.
	retryAfterShare = 0.3
	// minRetryAfter prevents callers that have little time left from retrying at
	// once.
	minRetryAfter = 50 * time.Millisecond
)

// setQueueTimeout limits the time that a call may wait for a target to the time
// in which it can still meet its latency objective. Retrying callers have less
// time left than others; the time that they have already waited counts towards
// the objective.
func (s *Scheduler) setQueueTimeout(now time.Time, w *admission.PendingCall, callerTimeLeft time.Duration) {
	objective := w.Kind.LatencyObjective
	if objective == 0 || s.options.ServiceRule.MaxUtilization == 0 {
		return
	}
	k := s.stats(w.Kind)
	w.CallerTimeLeft = callerTimeLeft
	waited := time.Duration(0)
	if callerTimeLeft > 0 {
		waited = k.estimateTimeWaited(callerTimeLeft)
	}
	maxWait := objective - waited - k.mean()
	w.Late = maxWait <= 0
	w.QueueDeadline = now.Add(max(maxWait, objective/minQueueTimeoutDivisor))
}

// maxUtilization returns the share of its slots up to which a target is given a
// call; 0 selects the default. Calls that can no longer meet their latency
// objective leave room for those that can: served first, they would make these
// late as well.
func (s *Scheduler) maxUtilization(w *admission.PendingCall) float64 {
	utilization := s.options.ServiceRule.MaxUtilization
	switch {
	case w.SpareCapacityOnly:
		return min(utilization, hedgeMaxUtilization)
	case w.Late:
		return utilization * lateUtilizationFactor
	default:
		return utilization
	}
}

// retryAfter returns the delay after which a rejected caller is told to retry.
func (s *Scheduler) retryAfter(now time.Time, w *admission.PendingCall) time.Duration {
	if w.CallerTimeLeft == 0 {
		return s.estimatedWait(w)
	}
	return max(minRetryAfter, time.Duration(retryAfterShare*float64(w.CallerTimeLeft)))
}
