package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// SetTargets takes in the platform's list of the service's targets and returns
// the addresses that are new and those that are gone.
func (s *Scheduler) SetTargets(now time.Time, list []tarragonwell.ListedTarget) (joined, left []string) {
	listed := map[string]tarragonwell.ListedTarget{}
	for _, l := range list {
		listed[l.Address] = l
	}
	first := len(s.targets) == 0
	s.targets = slices.DeleteFunc(s.targets, func(t *tarragonwell.TargetState) bool {
		_, keep := listed[t.Address]
		if !keep {
			left = append(left, t.Address)
		}
		return !keep
	})
	for _, l := range list {
		if s.find(l.Address) == nil {
			s.join(now, l, first)
			joined = append(joined, l.Address)
		}
		s.find(l.Address).ListedLeaving = l.Leaving
	}
	s.rank()
	return joined, left
}

// join adds a target. At the start of the instance all targets are taken as
// warm, for the rest of the fleet has used them before.
func (s *Scheduler) join(now time.Time, l tarragonwell.ListedTarget, warm bool) {
	s.joins++
	t := &tarragonwell.TargetState{
		Address:    l.Address,
		Join:       s.joins,
		DataCenter: l.DataCenter,
		Local:      l.DataCenter == s.options.DataCenter,
		Slots:      s.options.Service.Slots,
	}
	if !warm {
		t.RampFrom = now
	}
	s.targets = append(s.targets, t)
}

// rank orders the targets for long work by rendezvous hashing, which moves few
// of them when one joins or leaves.
func (s *Scheduler) rank() {
	byHash := slices.Clone(s.targets)
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.Service.Name + " " + t.Address)
	}
	slices.SortFunc(byHash, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	for i, t := range byHash {
		t.LongRank = i
	}
	slices.SortFunc(s.targets, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(a.Address, b.Address)
	})
}

// MarkLeaving takes in the word of a target or peer that a target leaves. It
// reports whether this is news.
func (s *Scheduler) MarkLeaving(now time.Time, address string, until time.Time) bool {
	t := s.find(address)
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
	return len(s.targets) * s.options.Service.Slots
}

// Targets returns the states, for reports.
func (s *Scheduler) Targets() []*tarragonwell.TargetState {
	return s.targets
}

func (s *Scheduler) find(address string) *tarragonwell.TargetState {
	for _, t := range s.targets {
		if t.Address == address {
			return t
		}
	}
	return nil
}
