package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// hedgeQuantile is the share of calls that end before a hedge is sent.
	hedgeQuantile = 0.92
	// quantileStep is the step of the estimate, in parts of the mean.
	quantileStep = 0.05
	// broughtQuantile is below the few callers that wait for much longer than the
	// others.
	broughtQuantile = 0.9
	broughtStep     = 0.005
	// broughtSpread is the part of that which every caller brings that was not
	// refused before.
	broughtSpread = 0.85
	minHedgeDelay = 2 * time.Millisecond
	// soonestHedge is in parts of the mean latency: before that most calls are
	// still at work in the usual way.
	soonestHedge = 1.3
	// rateWindow is the time over which the rate of grants is measured.
	rateWindow = 100 * time.Millisecond
)

// kindStats is what the scheduler has learnt of one kind.
type kindStats struct {
	// latency is smoothed, in nanoseconds; 0 before the first call.
	latency float64
	// late estimates the hedgeQuantile of the latency, in nanoseconds.
	late quantile
	// brought estimates the broughtQuantile of the time that callers bring, in
	// nanoseconds.
	brought quantile
}

// quantile estimates a quantile of what it takes in, in nanoseconds. The zero
// value has taken in nothing.
type quantile struct {
	value float64
}

// take moves the estimate up by a part of step for a larger value and down by
// the rest of it for any other, which balances where the given share is smaller.
func (q *quantile) take(x, share, step float64) {
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
	return time.Duration(k.latency)
}

// take takes in the latency of a call.
func (k *kindStats) take(latency time.Duration) {
	x := float64(latency)
	k.latency = smooth(k.latency, x, latencySmoothing)
	if k.late.value == 0 {
		k.late.value = 2 * x
	}
	k.late.take(x, hedgeQuantile, quantileStep*k.latency)
}

// waited takes in the time that a caller brings and returns how long it has
// waited at least. Those that come for the first time bring more than those that
// were refused before; callers differ by the spread all the same.
func (k *kindStats) waited(left time.Duration) time.Duration {
	x := float64(left)
	if k.brought.value == 0 {
		k.brought.value = x
	}
	k.brought.take(x, broughtQuantile, broughtStep*k.brought.value)
	return max(0, time.Duration(broughtSpread*k.brought.value)-left)
}

// hedgeDelay is the time after which a call that is granted now is sent to a
// second target: when nearly all calls have ended, or earlier where the second
// attempt would come too late for the objective. It is 0 before anything was
// learnt.
func (s *Scheduler) hedgeDelay(now time.Time, w *admission.PendingCall) time.Duration {
	k := s.stats(w.Kind)
	if k.latency == 0 {
		return 0
	}
	delay := time.Duration(k.late.value)
	if !w.QueueDeadline.IsZero() && !w.Late {
		delay = min(delay, max(w.QueueDeadline.Sub(now), time.Duration(soonestHedge*k.latency)))
	}
	return max(minHedgeDelay, delay)
}

// longReserve is the part of a long kind's deadline that must be left for the
// first byte when a call leaves the queue.
const longReserve = 4

// expected is the time within which nearly all calls of a kind end at a target.
// A call with less time left would most likely be run in vain.
func (s *Scheduler) expected(k *tarragonwell.Kind) time.Duration {
	if k.Long {
		return k.Timeout / longReserve
	}
	return time.Duration(s.stats(k).late.value)
}

// estimatedWait is the time that a new call would wait.
func (s *Scheduler) estimatedWait(w *admission.PendingCall) time.Duration {
	rate := s.grants.perSecond()
	if rate == 0 {
		return 0
	}
	return time.Duration(s.queue.GrantsAhead(w) / rate * float64(time.Second))
}

// rateMeter measures events a second over windows. The zero value has measured
// nothing.
type rateMeter struct {
	begin  time.Time
	events float64
	// rate is of the last whole windows, smoothed.
	rate float64
}

const rateSmoothing = 0.3

func (m *rateMeter) count(now time.Time) {
	age := now.Sub(m.begin)
	switch {
	case m.begin.IsZero() || age > 10*rateWindow:
		// A long pause says nothing of the rate under load.
		m.begin = now
		m.events = 0
	case age >= rateWindow:
		m.rate = smooth(m.rate, m.events/age.Seconds(), rateSmoothing)
		m.begin = now
		m.events = 0
	}
	m.events++
}

func (m *rateMeter) perSecond() float64 {
	return m.rate
}
