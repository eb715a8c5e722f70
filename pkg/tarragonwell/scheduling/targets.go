package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// SetTargets takes in the platform's list of the service's targets and returns
// the targets that are new and the IDs of those that are gone. A target that
// began anew, or moved, under its ID is both.
func (s *Scheduler) SetTargets(now time.Time, list []tarragonwell.ListedTarget) (joined []tarragonwell.ListedTarget, left []string) {
	listed := map[string]tarragonwell.ListedTarget{}
	for _, l := range list {
		listed[l.Identity()] = l
	}
	first := len(s.targets) == 0
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
			t = s.addTarget(now, l, first)
			joined = append(joined, l)
		}
		t.ListedLeaving = l.Leaving
		t.Expired = l.Expired
		t.WarmUpUntil = now.Add(l.WarmUpRemaining)
	}
	s.rankTargets()
	s.configurePlacementProbes()
	return joined, left
}

// addTarget adds a target. At the start of the instance all targets are taken as
// warm, for the rest of the fleet has used them before.
func (s *Scheduler) addTarget(now time.Time, l tarragonwell.ListedTarget, warm bool) *tarragonwell.TargetState {
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
	if !warm {
		t.RampStart = now
	}
	s.targets = append(s.targets, t)
	return t
}

// slotsOf is what the list says of a target, else what the rules say.
func (s *Scheduler) slotsOf(t *tarragonwell.TargetState) int {
	if t.ListedSlots > 0 {
		return t.ListedSlots
	}
	return max(1, s.options.Service.Slots)
}

// rankTargets orders the targets for long work by rendezvous hashing, which moves few
// of them when one joins or leaves.
func (s *Scheduler) rankTargets() {
	byHash := slices.Clone(s.targets)
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.Service.Name + " " + t.ID)
	}
	slices.SortFunc(byHash, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	for i, t := range byHash {
		t.LongCallRank = i
	}
	s.markPreferred(byHash)
	slices.SortFunc(s.targets, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// preferredLocalTargets is how many targets of the own data center an instance
// prefers where there are more: few enough to keep connections and news of them
// warm, enough to choose from. preferredRemoteTargets is the same for the other data
// centers together.
const (
	preferredLocalTargets  = 24
	preferredRemoteTargets = 10
)

// markPreferred marks the preferred targets by rendezvous hashing with the instance,
// so that the instances spread over all targets. It reorders the list.
func (s *Scheduler) markPreferred(list []*tarragonwell.TargetState) {
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.Instance + " " + t.ID)
	}
	slices.SortFunc(list, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	near, far := preferredLocalTargets, preferredRemoteTargets
	for _, t := range list {
		left := &far
		if t.Local {
			left = &near
		}
		t.Preferred = *left > 0 && !t.ListedLeaving && !t.Expired
		if t.Preferred {
			*left--
		}
	}
}

// MarkLeaving takes in the word of a target or peer that a target leaves. It
// reports whether this is news.
func (s *Scheduler) MarkLeaving(now time.Time, id string, until time.Time) bool {
	t := s.find(id)
	if t == nil {
		return false
	}
	news := !t.Leaving(now)
	if until.After(t.LeavingUntil) {
		t.LeavingUntil = until
	}
	return news
}

// totalSlots counts the totalSlots of all targets.
func (s *Scheduler) totalSlots() int {
	n := 0
	for _, t := range s.targets {
		n += t.Slots
	}
	return n
}

// Targets returns the states, for reports.
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
