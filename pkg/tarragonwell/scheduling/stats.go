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
	quantileStep  = 0.05
	minHedgeDelay = 2 * time.Millisecond
	// rateWindow is the time over which the rate of grants is measured.
	rateWindow = 100 * time.Millisecond
)

// kindStats is what the scheduler has learnt of one kind.
type kindStats struct {
	// latency is smoothed, in nanoseconds; 0 before the first call.
	latency float64
	// late estimates the hedgeQuantile of the latency, in nanoseconds.
	late float64
	// longest is the most time that a caller has brought, with which first
	// attempts come.
	longest time.Duration
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

// take moves the estimate of the quantile up by a large step for a late call and
// down by a small one for any other, which balances at the quantile.
func (k *kindStats) take(latency time.Duration) {
	x := float64(latency)
	k.latency = smooth(k.latency, x, latencySmoothing)
	if k.late == 0 {
		k.late = 2 * x
	}
	step := quantileStep * k.latency
	if x > k.late {
		k.late += step * hedgeQuantile
	} else {
		k.late -= step * (1 - hedgeQuantile)
	}
}

// hedgeDelay is 0 before anything was learnt.
func (k *kindStats) hedgeDelay() time.Duration {
	if k.latency == 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(k.late))
}

// longReserve is the part of a long kind's deadline that must be left for the
// first byte when a call leaves the queue.
const longReserve = 4

// expected is the time within which nearly all calls of a kind end at a target.
// A call with less time left would most likely be run in vain.
func (s *Scheduler) expected(k *tarragonwell.Kind) time.Duration {
	if k.Long {
		return k.Deadline / longReserve
	}
	return time.Duration(s.stats(k).late)
}

// estimatedWait is the time that a new call would wait.
func (s *Scheduler) estimatedWait(w *admission.Waiter) time.Duration {
	rate := s.grants.perSecond()
	if rate == 0 {
		return 0
	}
	return time.Duration(s.queue.Ahead(w) / rate * float64(time.Second))
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
