package scheduling

import (
	"math"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// shortHeadroom is the share of the slots that is kept for short calls, as a
	// multiple of their demand.
	shortHeadroom = 1.5
	// maxLongShare is the share of the slots that long calls may use if there are no
	// short calls at all.
	maxLongShare = 0.8
	// demandTimeConstant is the time constant of the average demand of short calls.
	demandTimeConstant = time.Second
)

// demandMeter is an exponential moving average of the number of short calls in
// flight. The zero value has an average of 0.
type demandMeter struct {
	average float64
	// calls is the number of short calls in flight since observedAt.
	calls      int
	observedAt time.Time
}

func (m *demandMeter) observe(now time.Time, calls int) {
	if !m.observedAt.IsZero() {
		weight := 1 - math.Exp(-float64(now.Sub(m.observedAt))/float64(demandTimeConstant))
		m.average += weight * (float64(m.calls) - m.average)
	}
	m.observedAt = now
	m.calls = calls
}

// longShare returns the share of the slots that a long kind may currently use:
// the share in the rules, or more while there are few short calls.
func (s *Scheduler) longShare(k *tarragonwell.Kind) float64 {
	if s.totalSlots() == 0 {
		return k.SlotShare
	}
	shortShare := s.shortDemand.average * float64(max(1, s.options.ServingInstanceCount)) / float64(s.totalSlots())
	return max(k.SlotShare, min(maxLongShare, 1-shortHeadroom*shortShare))
}

// observeDemand updates the average of the short calls in flight.
func (s *Scheduler) observeDemand(now time.Time) {
	s.shortDemand.observe(now, s.inFlight-s.inFlightLong)
}
