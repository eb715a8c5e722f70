package scheduling

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// belowFairShare reports whether the instance has fewer calls in flight than its
// fair share of the slots that the kind may use.
func (s *Scheduler) belowFairShare(k *tarragonwell.Kind) bool {
	instances := max(1, s.options.ServingInstanceCount)
	if k.Long {
		return float64(s.inFlightLong*instances) < s.longShare(k)*float64(s.totalSlots())
	}
	return s.inFlight*instances < s.totalSlots()
}

// eligibleTargets returns the targets that may be sent the waiter's call. The
// slice is valid until the next call.
//
// Draining targets are never eligible, and long kinds are limited to a share of
// the targets. Targets that are expired, ejected, suspected or already tried are
// left out as well. If none remains, the conditions are relaxed in this order: a
// call that has tried some targets may go outside its kind's share; then tried,
// ejected and suspected targets are allowed; finally expired ones are.
func (s *Scheduler) eligibleTargets(now time.Time, w *admission.PendingCall) []*tarragonwell.TargetState {
	usable := func(t *tarragonwell.TargetState) bool {
		return !t.Delisted && !ejected(now, t) && !suspected(now, t) && !slices.Contains(w.Exclude, t.ID)
	}
	s.filter(func(t *tarragonwell.TargetState) bool { return s.acceptsKind(now, t, w.Kind) && usable(t) })
	if len(s.eligible) == 0 && len(w.Exclude) > 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return !t.Leaving(now) && usable(t) })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.acceptsKind(now, t, w.Kind) && !t.Delisted })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.acceptsKind(now, t, w.Kind) })
	}
	return s.eligible
}

// filter sets eligible to the targets for which keep returns true.
func (s *Scheduler) filter(keep func(*tarragonwell.TargetState) bool) {
	s.eligible = s.eligible[:0]
	for _, t := range s.targets {
		if keep(t) {
			s.eligible = append(s.eligible, t)
		}
	}
}

// acceptsKind reports whether a target accepts calls of the kind at all. Long
// kinds are limited to a share of the targets, or of the slots if there is only
// one target.
func (s *Scheduler) acceptsKind(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) bool {
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

// ejected reports whether a target is ejected for its failures. After the
// ejection time it receives one trial call at a time: a success ends the
// ejection, a failure starts another one.
func ejected(now time.Time, t *tarragonwell.TargetState) bool {
	if t.ConsecutiveFailures < ejectionThreshold {
		return false
	}
	return now.Before(t.EjectedUntil) || t.InFlight > 0
}

// suspected reports whether a target is avoided because of a peer's report.
func suspected(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Before(t.SuspectUntil)
}
