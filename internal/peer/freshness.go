package peer

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// minRelayGap is the minimum time between relayed confirmations: one that covers no
// newer data is relayed only if it is at least this much later than the last relayed
// one.
const minRelayGap = 250 * time.Millisecond

// confirmation records that the platform responded to some instance of the fleet,
// and which data it had published by then.
type confirmation struct {
	// at is the time of the response by the local clock.
	at       time.Time
	position tarragonwell.PlatformPosition
	// direct is set if the platform responded to this instance.
	direct bool
	// relay is set if the confirmation is to be relayed along the tree of relayRoot,
	// or along a new tree if relayRoot is empty.
	relay     bool
	relayRoot string
}

// confirmationFromGossip returns the confirmation in a peer's gossip.
func confirmationFromGossip(now time.Time, g gossip) confirmation {
	return confirmation{
		at: now.Add(-g.platformAge),
		position: tarragonwell.PlatformPosition{
			Rules: versionFromProto(g.rules),
			List:  g.list,
		},
		relay:     g.relay,
		relayRoot: g.relayRoot,
	}
}

// freshness tracks when the platform last confirmed, to any instance, that the data
// which this instance has processed is current. A confirmation counts only once the
// instance has processed the data that it covers: that a peer is current does not make
// this instance current. The zero value has no confirmation.
type freshness struct {
	// latest is the latest confirmation whose data has been processed.
	latest confirmation
	// pending is the latest confirmation whose data has not been processed.
	pending confirmation
	// relayed is the confirmation that was last relayed.
	relayed confirmation
	// relayDue is set while latest is waiting to be relayed.
	relayDue bool
}

// record accepts a confirmation that is later than the latest one. It remains
// pending if it covers data after the processed position. One of an earlier era is ignored:
// what it covers has been replaced.
func (f *freshness) record(processed tarragonwell.PlatformPosition, c confirmation) {
	if !c.at.After(f.latest.at) || c.position.List.Era < processed.List.Era {
		return
	}
	if !covers(processed, c.position) {
		if c.at.After(f.pending.at) {
			f.pending = c
		}
		return
	}
	f.latest = c
	if (c.direct || c.relay) && f.shouldRelay(c) {
		f.relayDue = true
	}
}

// shouldRelay reports whether a confirmation covers newer data than the last relayed
// one or is later by at least minRelayGap.
func (f *freshness) shouldRelay(c confirmation) bool {
	return !covers(f.relayed.position, c.position) ||
		c.at.Sub(f.relayed.at) >= minRelayGap
}

// applyPending records the pending confirmation if all data that it covers has been
// processed.
func (f *freshness) applyPending(processed tarragonwell.PlatformPosition) {
	c := f.pending
	if !c.at.IsZero() && covers(processed, c.position) {
		f.pending = confirmation{}
		f.record(processed, c)
	}
}

// covers reports whether neither the rules nor the list of a position are later than those
// processed.
func covers(processed, p tarragonwell.PlatformPosition) bool {
	return !p.Rules.After(processed.Rules) && !p.List.After(processed.List)
}
