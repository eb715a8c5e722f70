package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// SetTargets applies the platform's list of the service's targets. It returns the
// targets that joined, with ID set to Identity(), and the IDs of those that left. A
// target that restarted or changed its address under the same ID is in both.
func (s *Scheduler) SetTargets(now time.Time, list []tarragonwell.ListedTarget) (joined []tarragonwell.ListedTarget, left []string) {
	listed := map[string]tarragonwell.ListedTarget{}
	for _, l := range list {
		listed[l.Identity()] = l
	}
	wasEmpty := len(s.targets) == 0
	s.targets = slices.DeleteFunc(s.targets, func(t *tarragonwell.TargetState) bool {
		l, keep := listed[t.ID]
		keep = keep && l.Address == t.Address && l.Born == t.Born
		if !keep {
			left = append(left, t.ID)
		}
		return !keep
	})
	for _, l := range list {
		l.ID = l.Identity()
		t := s.find(l.ID)
		if t == nil {
			t = s.addTarget(now, l, wasEmpty)
			joined = append(joined, l)
		}
		s.setDrained(now, t, l.Drained)
		t.ListedLeaving = l.Leaving
		t.Delisted = l.Delisted
		applyListedWarmUp(now, t, l.WarmUpUntil)
	}
	s.warmUp.Retain(now, func(id string) bool { return s.find(id) != nil })
	s.undrained = 0
	for _, t := range s.targets {
		if !t.Drained {
			s.undrained++
		}
	}
	s.orderTargets()
	s.configurePlacementProbes()
	s.applyPlacementProbeLimits(now)
	return joined, left
}

// addTarget adds a target. Targets that are added to an empty list skip the slow start:
// normally the instance has just started, and the other instances have already sent
// them calls. The slow start, which begins at RampStart, is tarragonwell's own; the
// warm-up is stated on the platform's list.
func (s *Scheduler) addTarget(now time.Time, l tarragonwell.ListedTarget, skipSlowStart bool) *tarragonwell.TargetState {
	s.lastJoinSequence++
	t := &tarragonwell.TargetState{
		ID:           l.ID,
		Address:      l.Address,
		Born:         l.Born,
		JoinSequence: s.lastJoinSequence,
		DataCenter:   l.DataCenter,
		Local:        l.DataCenter == s.options.DataCenter,
		ListedSlots:  l.Slots,
	}
	t.Slots = s.slotsOf(t)
	t.LeavingReported = s.leavers.contains(t)
	if !skipSlowStart {
		t.RampStart = now
	}
	s.targets = append(s.targets, t)
	return t
}

// slotsOf returns the number of slots on the platform's list when the target joined,
// or the number in the rules if the list had none.
func (s *Scheduler) slotsOf(t *tarragonwell.TargetState) int {
	if t.ListedSlots > 0 {
		return t.ListedSlots
	}
	return max(1, s.options.ServiceRule.Slots)
}

// orderTargets sets the order of the targets for long calls by rendezvous hashing, drained
// ones last. When a target joins or leaves, the order of the others is unchanged, so the
// first n targets change by at most one. orderTargets also updates the preferred targets and
// sorts the targets by ID.
func (s *Scheduler) orderTargets() {
	byHash := slices.Clone(s.targets)
	hash := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.ServiceRule.Name + " " + t.ID)
	}
	slices.SortFunc(byHash, func(a, b *tarragonwell.TargetState) int {
		if a.Drained != b.Drained {
			if b.Drained {
				return -1
			}
			return 1
		}
		return cmp.Compare(hash(a), hash(b))
	})
	for i, t := range byHash {
		t.LongCallRank = i
	}
	s.markPreferred(byHash)
	slices.SortFunc(s.targets, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

const (
	// maxPreferredLocalTargets is the maximum number of preferred targets, to which the
	// instance keeps connections, in the local data centre: few enough to keep the
	// connections open and the load reports fresh, enough to choose from.
	maxPreferredLocalTargets = 24
	// maxPreferredRemoteTargets is the same for all other data centres together.
	maxPreferredRemoteTargets = 10
)

// markPreferred marks the preferred targets by rendezvous hashing with the
// instance's name, so that the instances spread over all targets. It reorders
// the list.
func (s *Scheduler) markPreferred(list []*tarragonwell.TargetState) {
	hash := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.InstanceName + " " + t.ID)
	}
	slices.SortFunc(list, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(hash(a), hash(b))
	})
	localLeft, remoteLeft := maxPreferredLocalTargets, maxPreferredRemoteTargets
	for _, t := range list {
		remaining := &remoteLeft
		if t.Local {
			remaining = &localLeft
		}
		t.Preferred = *remaining > 0 && !t.ListedLeaving && !t.Delisted && !t.Drained
		if t.Preferred {
			*remaining--
		}
	}
}

// totalSlots returns the number of slots of all targets together that are not drained.
func (s *Scheduler) totalSlots() int {
	n := 0
	for _, t := range s.targets {
		if !t.Drained {
			n += t.Slots
		}
	}
	return n
}

// Targets returns the states of all targets, ordered by ID. The result must not be
// modified.
func (s *Scheduler) Targets() []*tarragonwell.TargetState {
	return s.targets
}

func (s *Scheduler) find(id string) *tarragonwell.TargetState {
	for _, t := range s.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}
