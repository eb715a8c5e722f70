package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// tailQuantile is the quantile of the latency that is used as the hedge delay and
	// as the time that a short call needs: within it, nearly all calls end.
	tailQuantile = 0.92
	// tailLatencyStep is the step of the tail latency estimate, in mean latencies.
	tailLatencyStep = 0.05
	// callerTimeoutQuantile is the quantile of the callers' time left on arrival that
	// stands for a caller's full timeout. It is low enough to leave out the few
	// callers that wait for much longer than the others.
	callerTimeoutQuantile = 0.9
	// callerTimeoutStep is the step of the caller timeout estimate, as a share of it.
	callerTimeoutStep = 0.005
	// firstAttemptTimeShare is a share of the caller timeout estimate. A caller with
	// less time left is taken to be retrying after a rejection.
	firstAttemptTimeShare = 0.85
	minHedgeDelay         = 2 * time.Millisecond
	// minHedgeDelayLatencies is the lower bound, in mean latencies, of a hedge delay
	// that is shortened for the latency objective: before that, most calls are still
	// running normally.
	minHedgeDelayLatencies = 1.3
	// rateWindow is the time over which the rate of grants is measured.
	rateWindow = 100 * time.Millisecond
)

// kindStats holds the statistics of one kind.
type kindStats struct {
	// meanLatency is smoothed, in nanoseconds; 0 before the first call.
	meanLatency float64
	// tailLatency estimates the tailQuantile of the latency, in nanoseconds.
	tailLatency quantileEstimator
	// callerTimeout estimates the callerTimeoutQuantile of the time that callers have
	// left when their call arrives, in nanoseconds.
	callerTimeout quantileEstimator
}

// quantileEstimator estimates a quantile of a series of times in nanoseconds. The
// zero value has no estimate.
type quantileEstimator struct {
	value float64
}

// update raises the estimate by step*share if x is larger and lowers it by
// step*(1-share) otherwise. The two balance when the given share of the values
// is below the estimate.
func (q *quantileEstimator) update(x, share, step float64) {
	if x > q.value {
		q.value += step * share
	} else {
		q.value -= step * (1 - share)
	}
}

// stats returns the statistics of a kind.
func (s *Scheduler) stats(k *tarragonwell.Kind) *kindStats {
	stats := s.kinds[k.Name]
	if stats == nil {
		stats = &kindStats{}
		s.kinds[k.Name] = stats
	}
	return stats
}

// mean returns the mean latency; 0 before the first call.
func (k *kindStats) mean() time.Duration {
	return time.Duration(k.meanLatency)
}

// recordLatency records the latency of a call.
func (k *kindStats) recordLatency(latency time.Duration) {
	x := float64(latency)
	k.meanLatency = smooth(k.meanLatency, x, latencySmoothing)
	if k.tailLatency.value == 0 {
		k.tailLatency.value = 2 * x
	}
	k.tailLatency.update(x, tailQuantile, tailLatencyStep*k.meanLatency)
}

// observeTimeLeft records the time that a caller has left and returns an estimate of
// the time that it has spent since its first request; 0 if this is the first. Callers
// that were rejected before have less time left than others, but the others differ
// from each other too: firstAttemptTimeShare allows for this, and the estimate is low
// accordingly.
func (k *kindStats) observeTimeLeft(callerTimeLeft time.Duration) time.Duration {
	x := float64(callerTimeLeft)
	if k.callerTimeout.value == 0 {
		k.callerTimeout.value = x
	}
	k.callerTimeout.update(x, callerTimeoutQuantile, callerTimeoutStep*k.callerTimeout.value)
	return max(0, time.Duration(firstAttemptTimeShare*k.callerTimeout.value)-callerTimeLeft)
}

// hedgeDelay returns the delay after which a call that is granted now is hedged
// to a second target: when nearly all calls have ended, or earlier if the hedge
// would otherwise be too late for the latency objective. It is 0 before the
// first call.
func (s *Scheduler) hedgeDelay(now time.Time, p *admission.PendingCall) time.Duration {
	k := s.stats(p.Kind)
	if k.meanLatency == 0 {
		return 0
	}
	delay := time.Duration(k.tailLatency.value)
	// QueueDeadline is the latest start that meets the objective, or later if the
	// minimum queue timeout applies.
	if !p.QueueDeadline.IsZero() && !p.Late {
		delay = min(delay, max(p.QueueDeadline.Sub(now), time.Duration(minHedgeDelayLatencies*k.meanLatency)))
	}
	return max(minHedgeDelay, delay)
}

// minTimeLeftDivisor determines the time that a long call must have left for the first
// byte when it is sent to a target: the kind's timeout divided by it.
const minTimeLeftDivisor = 4

// requiredTime returns the time that a call must have left when it is sent to a
// target. For short kinds it is the time within which nearly all calls end: a call
// with less time left would most likely miss its deadline.
func (s *Scheduler) requiredTime(k *tarragonwell.Kind) time.Duration {
	if k.Long {
		return k.Timeout / minTimeLeftDivisor
	}
	return time.Duration(s.stats(k).tailLatency.value)
}

// expectedTime returns the requiredTime of a kind or, before its first call, its latency
// objective.
func (s *Scheduler) expectedTime(k *tarragonwell.Kind) time.Duration {
	if t := s.requiredTime(k); t > 0 {
		return t
	}
	return k.LatencyObjective
}

// estimatedWait returns the estimated queueing time of a new call; 0 if the rate of
// grants to queued calls is not known yet.
func (s *Scheduler) estimatedWait(p *admission.PendingCall) time.Duration {
	rate := s.grantRate.perSecond()
	if rate == 0 {
		return 0
	}
	return time.Duration(s.queue.CallsAhead(p) / rate * float64(time.Second))
}

// rateMeter measures the rate of events over windows of rateWindow. The zero
// value has a rate of 0.
type rateMeter struct {
	windowStart time.Time
	// windowEvents is the number of events since windowStart.
	windowEvents float64
	// rate is the smoothed rate of the last complete windows, in events per second.
	rate float64
}

// rateSmoothing is the weight of the latest window in the rate.
const rateSmoothing = 0.3

// count counts an event.
func (m *rateMeter) count(now time.Time) {
	age := now.Sub(m.windowStart)
	switch {
	case m.windowStart.IsZero() || age > 10*rateWindow:
		// A window with a long pause would not reflect the rate under load.
		m.windowStart = now
		m.windowEvents = 0
	case age >= rateWindow:
		m.rate = smooth(m.rate, m.windowEvents/age.Seconds(), rateSmoothing)
		m.windowStart = now
		m.windowEvents = 0
	}
	m.windowEvents++
}

// perSecond returns the smoothed rate in events per second.
func (m *rateMeter) perSecond() float64 {
	return m.rate
}
