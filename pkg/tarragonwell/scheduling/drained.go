package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

// setDrained sets whether a target is drained. When its drain ends, the target returns
// after a delay and with a slow start.
func (s *Scheduler) setDrained(now time.Time, t *tarragonwell.TargetState, drained bool) {
	if t.Drained && !drained {
		t.ReturnAt = now.Add(drains.ReturnDelay(s.options.InstanceName, t.ID))
		t.RampStart = t.ReturnAt
		t.MinRamp = drains.ReturnRamp
	}
	t.Drained = drained
}

// Undrained returns the number of targets that are not drained.
func (s *Scheduler) Undrained() int {
	return s.undrained
}

// undrainedInFlight returns the number of attempts in flight, without those that finish at
// drained targets.
func (s *Scheduler) undrainedInFlight() int {
	n := s.inFlight
	if s.undrained == len(s.targets) {
		return n
	}
	for _, t := range s.targets {
		if t.Drained {
			n -= t.InFlight
		}
	}
	return n
}

// undrainedInFlightLong returns the number of attempts of long calls in flight, without
// those that finish at drained targets.
func (s *Scheduler) undrainedInFlightLong() int {
	n := s.inFlightLong
	for _, t := range s.targets {
		if t.Drained {
			n -= t.InFlightLong
		}
	}
	return n
}

// returningGradually reports whether a target is in the slow start after a drain.
func returningGradually(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Sub(t.RampStart) < t.MinRamp
}
