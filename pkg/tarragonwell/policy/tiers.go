package policy

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// tier is a set of targets from which one is chosen for a call.
type tier struct {
	matches func(*tarragonwell.TargetState) bool
	// minTargets is the number of matching targets below which the next tier is used;
	// at least 1.
	minTargets int
}

// preferenceTiers returns the tiers in order of preference: the preferred targets of
// the local data centre, all targets of the local data centre, and all targets. Each
// contains only targets that have room.
//
// For kinds with CrossDataCenter, remote targets that have responded to a placement
// probe within maxPlacementProbeAge count as local ones. They are probed when the local
// targets are nearly full, and the cost function then decides between both. Older load
// reports would not be suitable: among many remote targets some always appear to be
// less loaded than the local ones.
func preferenceTiers(now time.Time, in tarragonwell.ChoiceInput) []tier {
	withRoom := func(t *tarragonwell.TargetState) bool { return hasRoom(now, t, in) }
	overflow := func(t *tarragonwell.TargetState) bool {
		return in.Kind.CrossDataCenter && !t.Local && now.Sub(t.PlacementProbedAt) <= maxPlacementProbeAge
	}
	return []tier{
		{
			matches:    func(t *tarragonwell.TargetState) bool { return (t.Local && t.Preferred || overflow(t)) && withRoom(t) },
			minTargets: minPreferredTargets,
		},
		{
			matches:    func(t *tarragonwell.TargetState) bool { return (t.Local || overflow(t)) && withRoom(t) },
			minTargets: minLocalTargetsFor(in.Kind),
		},
		{
			matches:    withRoom,
			minTargets: 1,
		},
	}
}

// minLocalTargetsFor returns the number of local targets below which calls of a kind
// also use remote targets. Kinds without CrossDataCenter do so only if there is none.
func minLocalTargetsFor(k *tarragonwell.Kind) int {
	if k.CrossDataCenter {
		return minLocalTargets
	}
	return 1
}

// NearestTargets returns the targets to try first for calls of a kind: the preferred
// local targets; all local targets if there are fewer than minPreferredTargets of
// these; or all targets, remote ones included, if there are too few local ones for the
// kind.
func NearestTargets(targets []*tarragonwell.TargetState, k *tarragonwell.Kind) []*tarragonwell.TargetState {
	local := filter(targets, func(t *tarragonwell.TargetState) bool { return t.Local })
	preferred := filter(local, func(t *tarragonwell.TargetState) bool { return t.Preferred })
	switch {
	case len(preferred) >= minPreferredTargets:
		return preferred
	case len(local) >= minLocalTargetsFor(k):
		return local
	default:
		return targets
	}
}

// OverflowProbeTargets returns the remote targets to probe on overflow: the preferred ones, or
// all if there are fewer than minPreferredRemoteTargets of these.
func OverflowProbeTargets(targets []*tarragonwell.TargetState) []*tarragonwell.TargetState {
	remote := filter(targets, func(t *tarragonwell.TargetState) bool { return !t.Local })
	preferred := filter(remote, func(t *tarragonwell.TargetState) bool { return t.Preferred })
	if len(preferred) >= minPreferredRemoteTargets {
		return preferred
	}
	return remote
}

func filter(targets []*tarragonwell.TargetState, matches func(*tarragonwell.TargetState) bool) []*tarragonwell.TargetState {
	var out []*tarragonwell.TargetState
	for _, t := range targets {
		if matches(t) {
			out = append(out, t)
		}
	}
	return out
}
