package membership

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// bootstrapTimeout is the longest that a new instance with rules waits for a list and for
// the rules to be corroborated; see BootstrapState.Ready.
const bootstrapTimeout = 3 * time.Second

// BootstrapState is the progress of a new instance's bootstrap: it obtains the rules
// and the list from the platform or its peers. The zero value is the state at the
// start.
type BootstrapState struct {
	// RulesInForce is the version of the rules in force; zero for none.
	RulesInForce tarragonwell.RulesVersion
	// List is the position of the applied list of targets; zero for none.
	List tarragonwell.ListPosition
	// PlatformPosition is the position up to which the instance itself has read the
	// platform. It stays zero if the platform's data may regress; see
	// tarragonwell.Feed.
	PlatformPosition tarragonwell.PlatformPosition
	// NewestRules is the newest version of the rules that any peer has reported.
	NewestRules tarragonwell.RulesVersion
	// PeersDrawnFrom is the position of the list from which the peers of the latest gossip
	// round were drawn. It is zero if there was no list yet: peers may then exist even if
	// PeersContacted is 0.
	PeersDrawnFrom tarragonwell.ListPosition
	// PeersContacted counts the peers contacted in the latest gossip round.
	PeersContacted int
	// PeersResponded counts those of PeersContacted that responded.
	PeersResponded int
	// Elapsed is the time since the start.
	Elapsed time.Duration
}

// Ready reports whether the instance may accept calls: it has rules and a list, no peer
// has reported newer rules, and the rules are corroborated. They are if the instance has
// caught up with the platform, if a peer has responded, or if the list names no peers.
// This keeps an instance from serving outdated rules, even if the platform's data has
// regressed. After bootstrapTimeout neither the corroboration nor a list is required;
// the rules may then be outdated.
func (b *BootstrapState) Ready() bool {
	if b.RulesInForce.Equal(tarragonwell.RulesVersion{}) || b.NewestRules.After(b.RulesInForce) {
		return false
	}
	if b.Elapsed > bootstrapTimeout {
		return true
	}
	if b.List == (tarragonwell.ListPosition{}) {
		return false
	}
	noPeers := b.PeersDrawnFrom != (tarragonwell.ListPosition{}) && b.PeersContacted == 0
	return b.caughtUpWithPlatform() || b.PeersResponded > 0 || noPeers
}

// caughtUpWithPlatform reports whether the instance has applied everything that it
// read from the platform. It returns false if the platform's data may regress.
func (b *BootstrapState) caughtUpWithPlatform() bool {
	read := b.PlatformPosition
	return read.List != (tarragonwell.ListPosition{}) && !read.List.After(b.List) && !read.Rules.After(b.RulesInForce)
}
