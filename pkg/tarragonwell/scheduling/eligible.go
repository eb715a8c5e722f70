package scheduling

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// entitled reports whether the instance has fewer calls in flight than its share
// of the slots that the kind may use.
func (s *Scheduler) entitled(k *tarragonwell.Kind) bool {
	sharers := max(1, s.options.ServingInstanceCount)
	if k.Long {
		return float64(s.inFlightLong*sharers) < s.longShare(k)*float64(s.slots())
	}
	return s.inFlight*sharers < s.slots()
}

// usable lists the targets that may take a call of the waiter's kind. A call
// that has tried some goes to another one, if need be outside of the kind's
// share; where nothing is left, the exclusions and ejections do not count, and
// at last not even that a target's entry is gone.
func (s *Scheduler) usable(now time.Time, w *admission.PendingCall) []*tarragonwell.TargetState {
	fresh := func(t *tarragonwell.TargetState) bool {
		return !t.Delisted && !ejected(now, t) && !suspect(now, t) && !slices.Contains(w.Exclude, t.ID)
	}
	s.filter(func(t *tarragonwell.TargetState) bool { return s.mayTake(now, t, w.Kind) && fresh(t) })
	if len(s.eligible) == 0 && len(w.Exclude) > 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return !t.Leaving(now) && fresh(t) })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.mayTake(now, t, w.Kind) && !t.Delisted })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.mayTake(now, t, w.Kind) })
	}
	return s.eligible
}

// filter sets eligible to the targets that keep returns true for.
func (s *Scheduler) filter(keep func(*tarragonwell.TargetState) bool) {
	s.eligible = s.eligible[:0]
	for _, t := range s.targets {
		if keep(t) {
			s.eligible = append(s.eligible, t)
		}
	}
}

// mayTake reports whether a target takes work of the kind at all. Long kinds
// are kept to a share of the targets.
func (s *Scheduler) mayTake(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) bool {
	if t.Leaving(now) {
		return false
	}
	if !k.Long || k.SlotShare >= 1 {
		return true
	}
	share := s.longShare(k)
	if len(s.targets) == 1 {
		return t.InFlightLong < max(1, int(share*float64(t.Slots)))
	}
	return t.LongCallRank < max(1, int(share*float64(len(s.targets))))
}

// ejected reports whether a target is out for its failures. After the ejection
// one trial call at a time decides.
func ejected(now time.Time, t *tarragonwell.TargetState) bool {
	if t.ConsecutiveFailures < ejectAfter {
		return false
	}
	return now.Before(t.EjectedUntil) || t.InFlight > 0
}

// suspect reports whether a peer's word keeps a target out.
func suspect(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Before(t.SuspectUntil)
}
