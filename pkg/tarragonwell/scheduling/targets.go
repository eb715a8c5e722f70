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
			t = s.join(now, l, first)
			joined = append(joined, l)
		}
		t.ListedLeaving = l.Leaving
		t.Delisted = l.Delisted
		t.WarmUpUntil = now.Add(l.WarmUpRemaining)
	}
	s.rank()
	s.configureSurveys()
	return joined, left
}

// join adds a target. At the start of the instance all targets are taken as
// warm, for the rest of the fleet has used them before.
func (s *Scheduler) join(now time.Time, l tarragonwell.ListedTarget, warm bool) *tarragonwell.TargetState {
	s.joins++
	t := &tarragonwell.TargetState{
		ID:           l.ID,
		Address:      l.Address,
		Born:         l.Born,
		JoinSequence: s.joins,
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
	return max(1, s.options.ServiceRule.Slots)
}

// rank orders the targets for long work by rendezvous hashing, which moves few
// of them when one joins or leaves.
func (s *Scheduler) rank() {
	byHash := slices.Clone(s.targets)
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.ServiceRule.Name + " " + t.ID)
	}
	slices.SortFunc(byHash, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	for i, t := range byHash {
		t.LongCallRank = i
	}
	s.prefer(byHash)
	slices.SortFunc(s.targets, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// preferredTargets is how many targets of the own data center an instance
// prefers where there are more: few enough to keep connections and news of them
// warm, enough to choose from. preferredFar is the same for the other data
// centers together.
const (
	preferredTargets = 24
	preferredFar     = 10
)

// prefer marks the preferred targets by rendezvous hashing with the instance,
// so that the instances spread over all targets. It reorders the list.
func (s *Scheduler) prefer(list []*tarragonwell.TargetState) {
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.InstanceName + " " + t.ID)
	}
	slices.SortFunc(list, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	near, far := preferredTargets, preferredFar
	for _, t := range list {
		left := &far
		if t.Local {
			left = &near
		}
		t.Preferred = *left > 0 && !t.ListedLeaving && !t.Delisted
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

// slots counts the slots of all targets.
func (s *Scheduler) slots() int {
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
