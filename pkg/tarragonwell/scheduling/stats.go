package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// tailQuantile is the share of calls that end before a hedge is sent.
	tailQuantile = 0.92
	// tailLatencyStep is the step of the estimate, in parts of the mean.
	tailLatencyStep = 0.05
	// callerTimeQuantile is below the few callers that wait for much longer than the
	// others.
	callerTimeQuantile = 0.9
	callerTimeStep     = 0.005
	// callerTimeSpread is the part of that which every caller brings that was not
	// refused before.
	callerTimeSpread = 0.85
	minHedgeDelay    = 2 * time.Millisecond
	// minHedgeDelayLatencies is in parts of the mean latency: before that most calls are
	// still at work in the usual way.
	minHedgeDelayLatencies = 1.3
	// rateWindow is the time over which the rate of grants is measured.
	rateWindow = 100 * time.Millisecond
)

// kindStats is what the scheduler has learnt of one kind.
type kindStats struct {
	// meanLatency is smoothed, in nanoseconds; 0 before the first call.
	meanLatency float64
	// tailLatency estimates the hedgeQuantile of the latency, in nanoseconds.
	tailLatency quantileEstimator
	// callerTime estimates the broughtQuantile of the time that callers bring, in
	// nanoseconds.
	callerTime quantileEstimator
}

// quantileEstimator estimates a quantileEstimator of what it takes in, in nanoseconds. The zero
// value has taken in nothing.
type quantileEstimator struct {
	value float64
}

// update moves the estimate up by a part of step for a larger value and down by
// the rest of it for any other, which balances where the given share is smaller.
func (q *quantileEstimator) update(x, share, step float64) {
	if x > q.value {
		q.value += step * share
	} else {
		q.value -= step * (1 - share)
	}
}

func (s *Scheduler) stats(k *tarragonwell.Kind) *kindStats {
	x := s.kinds[k.Name]
	if x == nil {
		x = &kindStats{}
		s.kinds[k.Name] = x
	}
	return x
}

func (k *kindStats) mean() time.Duration {
	return time.Duration(k.meanLatency)
}

// recordLatency takes in the latency of a call.
func (k *kindStats) recordLatency(latency time.Duration) {
	x := float64(latency)
	k.meanLatency = smooth(k.meanLatency, x, latencySmoothing)
	if k.tailLatency.value == 0 {
		k.tailLatency.value = 2 * x
	}
	k.tailLatency.update(x, tailQuantile, tailLatencyStep*k.meanLatency)
}

// estimateTimeWaited takes in the time that a caller brings and returns how long it has
// estimateTimeWaited at least. Those that come for the first time bring more than those that
// were refused before; callers differ by the spread all the same.
func (k *kindStats) estimateTimeWaited(left time.Duration) time.Duration {
	x := float64(left)
	if k.callerTime.value == 0 {
		k.callerTime.value = x
	}
	k.callerTime.update(x, callerTimeQuantile, callerTimeStep*k.callerTime.value)
	return max(0, time.Duration(callerTimeSpread*k.callerTime.value)-left)
}

// hedgeDelay is the time after which a call that is granted now is sent to a
// second target: when nearly all calls have ended, or earlier where the second
// attempt would come too late for the objective. It is 0 before anything was
// learnt.
func (s *Scheduler) hedgeDelay(now time.Time, w *admission.Waiter) time.Duration {
	k := s.stats(w.Kind)
	if k.meanLatency == 0 {
		return 0
	}
	delay := time.Duration(k.tailLatency.value)
	if !w.GiveUp.IsZero() && !w.Late {
		delay = min(delay, max(w.GiveUp.Sub(now), time.Duration(minHedgeDelayLatencies*k.meanLatency)))
	}
	return max(minHedgeDelay, delay)
}

// longReserveDivisor is the part of a long kind's deadline that must be left for the
// first byte when a call leaves the queue.
const longReserveDivisor = 4

// requiredTime is the time within which nearly all calls of a kind end at a target.
// A call with less time left would most likely be run in vain.
func (s *Scheduler) requiredTime(k *tarragonwell.Kind) time.Duration {
	if k.Long {
		return k.Deadline / longReserveDivisor
	}
	return time.Duration(s.stats(k).tailLatency.value)
}

// estimatedWait is the time that a new call would wait.
func (s *Scheduler) estimatedWait(w *admission.Waiter) time.Duration {
	rate := s.grantRate.perSecond()
	if rate == 0 {
		return 0
	}
	return time.Duration(s.queue.Ahead(w) / rate * float64(time.Second))
}

// rateMeter measures events a second over windows. The zero value has measured
// nothing.
type rateMeter struct {
	windowStart  time.Time
	windowEvents float64
	// rate is of the last whole windows, smoothed.
	rate float64
}

const rateSmoothing = 0.3

func (m *rateMeter) count(now time.Time) {
	age := now.Sub(m.windowStart)
	switch {
	case m.windowStart.IsZero() || age > 10*rateWindow:
		// A long pause says nothing of the rate under load.
		m.windowStart = now
		m.windowEvents = 0
	case age >= rateWindow:
		m.rate = smooth(m.rate, m.windowEvents/age.Seconds(), rateSmoothing)
		m.windowStart = now
		m.windowEvents = 0
	}
	m.windowEvents++
}

func (m *rateMeter) perSecond() float64 {
	return m.rate
}
