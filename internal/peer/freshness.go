package peer

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// minPropagationGain is how much later the word of an answer must be than what was
// passed on last to be worth passing on.
const minPropagationGain = 250 * time.Millisecond

// confirmation says that the platform answered someone at a time, and what it had
// published by then.
type confirmation struct {
	at       time.Time
	position tarragonwell.PlatformPosition
	// direct says that the platform answered this instance.
	direct bool
	// relay says that the word is to be passed on in the tree of root, or in a
	// new one where root is empty.
	relay     bool
	relayRoot string
}

// confirmationFromGossip takes the word out of a peer's news.
func confirmationFromGossip(now time.Time, n gossip) confirmation {
	return confirmation{
		at: now.Add(-n.platformAge),
		position: tarragonwell.PlatformPosition{
			Rules: n.rules.GetRevision(),
			List:  n.listRevision,
		},
		relay:     n.relay,
		relayRoot: n.relayRoot,
	}
}

// freshness keeps the latest word that the instance is up to. A later one waits
// until what it speaks of has been taken in: an instance is not current because
// somebody else is. The zero value has heard none.
type freshness struct {
	latest  confirmation
	pending confirmation
	// propagated is the word that was last passed on.
	propagated confirmation
	// propagateDue is set while latest is to be passed on.
	propagateDue bool
}

// record takes in a word.
func (c *freshness) record(seen tarragonwell.PlatformPosition, w confirmation) {
	if !w.at.After(c.latest.at) {
		return
	}
	if w.position.Rules > seen.Rules || w.position.List > seen.List {
		if w.at.After(c.pending.at) {
			c.pending = w
		}
		return
	}
	c.latest = w
	if (w.direct || w.relay) && c.shouldPropagate(w) {
		c.propagateDue = true
	}
}

// shouldPropagate reports whether a word says more than the last that was passed
// on: that there is something new, or that for some time there was not.
func (c *freshness) shouldPropagate(w confirmation) bool {
	return w.position.List > c.propagated.position.List || w.position.Rules > c.propagated.position.Rules ||
		w.at.Sub(c.propagated.at) >= minPropagationGain
}

// applyPending looks whether a word that waits has come true.
func (c *freshness) applyPending(seen tarragonwell.PlatformPosition) {
	w := c.pending
	if !w.at.IsZero() && w.position.Rules <= seen.Rules && w.position.List <= seen.List {
		c.pending = confirmation{}
		c.record(seen, w)
	}
}
