package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// minQueueTimeoutDivisor determines the minimum queue timeout, which is the latency
	// objective divided by it. Even a call that is late already may be queued for that
	// time, so that it can take a slot that is freed in it.
	minQueueTimeoutDivisor = 8
	// lateUtilizationFactor reduces the maximum utilization for calls that can no
	// longer meet their latency objective.
	lateUtilizationFactor = 0.65
	// hedgeMaxUtilization is the maximum ratio of calls to slots for hedges: at peak
	// load, hedges would make first attempts late.
	hedgeMaxUtilization = 0.67
	// retryAfterShare is the retry delay as a share of the caller's remaining time:
	// long enough for a load peak to pass, short enough to retry more than once.
	retryAfterShare = 0.3
	// minRetryAfter prevents callers that have little time left from retrying at
	// once.
	minRetryAfter = 50 * time.Millisecond
)

// setQueueTimeout sets QueueDeadline, Late and CallerTimeLeft. It limits the time
// for which a call may be queued to the time in which it can still meet its latency
// objective. A caller that retries after a rejection is recognised by having less
// time left than others; the time that it has spent is subtracted from the
// objective. setQueueTimeout has no effect for kinds without a latency objective and
// for services without MaxUtilization.
func (s *Scheduler) setQueueTimeout(now time.Time, p *admission.PendingCall, callerTimeLeft time.Duration) {
	objective := p.Kind.LatencyObjective
	if objective == 0 || s.options.ServiceRule.MaxUtilization == 0 {
		return
	}
	k := s.stats(p.Kind)
	p.CallerTimeLeft = callerTimeLeft
	waited := time.Duration(0)
	if callerTimeLeft > 0 {
		waited = k.observeTimeLeft(callerTimeLeft)
	}
	maxWait := objective - waited - k.mean()
	p.Late = maxWait <= 0
	p.QueueDeadline = now.Add(max(maxWait, objective/minQueueTimeoutDivisor))
}

// maxUtilization returns the ratio of calls to slots up to which a target may
// receive the call; 0, for services without MaxUtilization, selects the policy's
// default. Late calls leave room for those that can still meet their
// latency objective: if late calls were served first, the others would become late
// as well.
func (s *Scheduler) maxUtilization(p *admission.PendingCall) float64 {
	utilization := s.options.ServiceRule.MaxUtilization
	switch {
	case p.SpareCapacityOnly:
		if utilization == 0 {
			return hedgeMaxUtilization
		}
		return min(utilization, hedgeMaxUtilization)
	case p.Late:
		return utilization * lateUtilizationFactor
	default:
		return utilization
	}
}

// retryAfter returns the delay after which a rejected caller should retry. If
// setQueueTimeout has not set CallerTimeLeft, it is the estimated queueing time, which
// is 0 if it is not known.
func (s *Scheduler) retryAfter(now time.Time, p *admission.PendingCall) time.Duration {
	if p.CallerTimeLeft == 0 {
		return s.estimatedWait(p)
	}
	return max(minRetryAfter, time.Duration(retryAfterShare*float64(p.CallerTimeLeft)))
}
