package scheduling

import (
	"math"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// shortHeadroom is what short work is left, in parts of its demand.
	shortHeadroom = 1.5
	// maxLongShare is left to long work where there is no short work at all.
	maxLongShare = 0.8
	// demandLife is the time over which the demand of short work is averaged.
	demandLife = time.Second
)

// demandMeter averages the calls of short kinds in flight over time. The zero
// value has seen none.
type demandMeter struct {
	level float64
	// calls is the number since at.
	calls int
	at    time.Time
}

func (m *demandMeter) observe(now time.Time, calls int) {
	if !m.at.IsZero() {
		past := 1 - math.Exp(-float64(now.Sub(m.at))/float64(demandLife))
		m.level += past * (float64(m.calls) - m.level)
	}
	m.at = now
	m.calls = calls
}

// longShare is the share of the slots that a long kind may use now: what the
// rules say, or more while short work demands little.
func (s *Scheduler) longShare(k *tarragonwell.Kind) float64 {
	if s.slots() == 0 {
		return k.SlotShare
	}
	short := s.shortDemand.level * float64(max(1, s.options.ServingInstanceCount)) / float64(s.slots())
	return max(k.SlotShare, min(maxLongShare, 1-shortHeadroom*short))
}

// observeDemand takes in the calls of short kinds in flight.
func (s *Scheduler) observeDemand(now time.Time) {
	s.shortDemand.observe(now, s.inFlight-s.inFlightLong)
}
