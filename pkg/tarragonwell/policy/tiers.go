package policy

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// tier is a set of targets that a call is placed among.
type tier struct {
	keep func(*tarragonwell.TargetState) bool
	// least is the number of targets without which the next tier is used; at least
	// 1.
	least int
}

// tiersOf lists the tiers in the order of preference: targets of the own data
// centre, those that the instance keeps connections to first, then all.
//
// Targets of other data centres that have told just now how busy they are count
// among those near: they are asked where those near are nearly full, and what it
// costs decides. Old news would not do: among many far targets there are always
// some that seem better than those near.
func tiersOf(now time.Time, in tarragonwell.ChoiceInput) []tier {
	room := func(t *tarragonwell.TargetState) bool { return hasRoom(now, t, in) }
	spills := func(t *tarragonwell.TargetState) bool {
		return in.Kind.CrossDataCenter && !t.Local && now.Sub(t.PlacementProbedAt) <= askedLately
	}
	return []tier{
		{
			keep:  func(t *tarragonwell.TargetState) bool { return (t.Local && t.Preferred || spills(t)) && room(t) },
			least: enoughPreferred,
		},
		{
			keep:  func(t *tarragonwell.TargetState) bool { return (t.Local || spills(t)) && room(t) },
			least: enoughOf(in.Kind),
		},
		{
			keep:  room,
			least: 1,
		},
	}
}

// enoughOf is the number of targets of the own data centre that will do for a
// kind. Kinds that are not kept near use the others besides a few.
func enoughOf(k *tarragonwell.Kind) int {
	if k.CrossDataCenter {
		return enoughNear
	}
	return 1
}

// NearestTargets returns the targets that a call of a kind is placed on by preference.
func NearestTargets(targets []*tarragonwell.TargetState, k *tarragonwell.Kind) []*tarragonwell.TargetState {
	near := only(targets, func(t *tarragonwell.TargetState) bool { return t.Local })
	preferred := only(near, func(t *tarragonwell.TargetState) bool { return t.Preferred })
	switch {
	case len(preferred) >= enoughPreferred:
		return preferred
	case len(near) >= enoughOf(k):
		return near
	default:
		return targets
	}
}

// RemoteTargets returns the targets of other data centres that a call goes to by
// preference where it leaves its own.
func RemoteTargets(targets []*tarragonwell.TargetState) []*tarragonwell.TargetState {
	far := only(targets, func(t *tarragonwell.TargetState) bool { return !t.Local })
	preferred := only(far, func(t *tarragonwell.TargetState) bool { return t.Preferred })
	if len(preferred) >= enoughFar {
		return preferred
	}
	return far
}

func only(targets []*tarragonwell.TargetState, keep func(*tarragonwell.TargetState) bool) []*tarragonwell.TargetState {
	var out []*tarragonwell.TargetState
	for _, t := range targets {
		if keep(t) {
			out = append(out, t)
		}
	}
	return out
}
