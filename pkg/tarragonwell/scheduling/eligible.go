package scheduling

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// belowFairShare reports whether the instance's calls in flight are below its fair
// share of the slots that the kind may use. For a long kind, only long calls are
// counted. Drained targets and the calls in flight there do not count.
func (s *Scheduler) belowFairShare(k *tarragonwell.Kind) bool {
	instances := max(1, s.options.ServingInstanceCount)
	if k.Long {
		return float64(s.undrainedInFlightLong()*instances) < s.longShare(k)*float64(s.totalSlots())
	}
	return s.undrainedInFlight()*instances < s.totalSlots()
}

// eligibleTargets returns the targets to which the call may be sent. The slice is
// valid until the next call of this method.
//
// A target is eligible only if all of these hold, from the strongest condition on:
//
//   - inService: it is neither drained nor leaving;
//   - accepts: nor in backoff;
//   - admits: nor warming up without a token for it;
//   - mayServe: it is within the share of the targets to which a long kind is limited;
//   - usable: it is not delisted, ejected, suspected, returning after a drain or tried.
//
// If no target remains, the last two conditions are relaxed, one step after the other:
//
//  1. outside the kind's share, if the call has tried some targets or some are returning;
//  2. within the share, tried, ejected, suspected and returning targets too;
//  3. within the share, delisted ones too.
func (s *Scheduler) eligibleTargets(now time.Time, p *admission.PendingCall) []*tarragonwell.TargetState {
	usable := func(t *tarragonwell.TargetState) bool {
		return !t.Delisted && !ejected(now, t) && !suspected(now, t) && !now.Before(t.ReturnAt) && !slices.Contains(p.Exclude, t.ID)
	}
	s.filter(func(t *tarragonwell.TargetState) bool { return s.mayServe(now, t, p.Kind) && usable(t) })
	if len(s.eligible) == 0 && (len(p.Exclude) > 0 || s.anyReturning(now)) {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.admits(now, t) && usable(t) })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.mayServe(now, t, p.Kind) && !t.Delisted })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.mayServe(now, t, p.Kind) })
	}
	return s.eligible
}

// anyReturning reports whether a target awaits its return after a drain.
func (s *Scheduler) anyReturning(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *tarragonwell.TargetState) bool {
		return !t.Drained && now.Before(t.ReturnAt)
	})
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

// admits reports whether a target may be sent a call now: it accepts calls and, if it is
// warming up, there is a token for it.
func (s *Scheduler) admits(now time.Time, t *tarragonwell.TargetState) bool {
	return accepts(now, t) && s.warmUpAdmits(now, t)
}

// mayServe reports whether a target may be sent calls of the kind at all: it admits
// calls, and is within the share of the targets to which a long kind is limited.
// With only one target that is not drained, the limit is a share of its slots.
func (s *Scheduler) mayServe(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) bool {
	if !s.admits(now, t) {
		return false
	}
	if !k.Long || k.SlotShare >= 1 {
		return true
	}
	share := s.longShare(k)
	if s.undrained == 1 {
		return t.InFlightLong < max(1, int(share*float64(t.Slots)))
	}
	return t.LongCallRank < max(1, int(share*float64(s.undrained)))
}

// ejected reports whether a target is ejected for its failures. After the ejection
// time it receives one trial call at a time, also while calls from before the ejection
// are still in flight: a success ends the ejection, a failure starts another one.
func ejected(now time.Time, t *tarragonwell.TargetState) bool {
	if t.ConsecutiveFailures < ejectionThreshold {
		return false
	}
	return now.Before(t.EjectedUntil) || t.TrialInFlight > 0
}

// suspected reports whether a target is avoided because of a peer's announcement.
func suspected(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Before(t.SuspectUntil)
}
