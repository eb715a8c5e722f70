package peer

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// relayGain is how much later the word of an answer must be than what was
// passed on last to be worth passing on.
const relayGain = 250 * time.Millisecond

// word says that the platform answered someone at a time, and what it had
// published by then.
type word struct {
	at       time.Time
	position tarragonwell.PlatformPosition
	// own says that the platform answered this instance.
	own bool
	// relay says that the word is to be passed on in the tree of root, or in a
	// new one where root is empty.
	relay bool
	root  string
}

// wordOf takes the word out of a peer's news.
func wordOf(now time.Time, n news) word {
	return word{
		at: now.Add(-n.platformAge),
		position: tarragonwell.PlatformPosition{
			Rules: n.rules.GetRevision(),
			List:  n.listRevision,
		},
		relay: n.relay,
		root:  n.relayRoot,
	}
}

// contacts keeps the latest word that the instance is up to. A later one waits
// until what it speaks of has been taken in: an instance is not current because
// somebody else is. The zero value has heard none.
type contacts struct {
	latest  word
	pending word
	// told is the word that was last passed on.
	told word
	// due is set while latest is to be passed on.
	due bool
}

// hear takes in a word.
func (c *contacts) hear(seen tarragonwell.PlatformPosition, w word) {
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
	if (w.own || w.relay) && c.worthTelling(w) {
		c.due = true
	}
}

// worthTelling reports whether a word says more than the last that was passed
// on: that there is something new, or that for some time there was not.
func (c *contacts) worthTelling(w word) bool {
	return w.position.List > c.told.position.List || w.position.Rules > c.told.position.Rules ||
		w.at.Sub(c.told.at) >= relayGain
}

// settle looks whether a word that waits has come true.
func (c *contacts) settle(seen tarragonwell.PlatformPosition) {
	w := c.pending
	if !w.at.IsZero() && w.position.Rules <= seen.Rules && w.position.List <= seen.List {
		c.pending = word{}
		c.hear(seen, w)
	}
}
