package membership

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// joinTimeout is the longest that a new instance with rules waits for the initial
// sync with its peers or the platform.
const joinTimeout = 3 * time.Second

// BootstrapState is the progress of a new instance's initial sync with the
// platform and its peers. The zero value is the state at the start.
type BootstrapState struct {
	// RulesInForce is the version of the rules in force; zero for none.
	RulesInForce tarragonwell.RulesVersion
	// ListRevision is the revision of the applied list of targets; 0 for none.
	ListRevision uint64
	// PlatformPosition is what the platform had published when the instance itself
	// read from it; zero before that, and where reads from the platform may be
	// stale.
	PlatformPosition tarragonwell.PlatformPosition
	// NewestRules is the newest version of the rules that any peer has reported.
	NewestRules tarragonwell.RulesVersion
	// PeersDrawnFromRevision is the revision of the list from which the peers of the
	// latest sync round were drawn; 0 where there was no list yet, so that peers
	// may exist that the instance does not know.
	PeersDrawnFromRevision uint64
	// PeersContacted counts the peers contacted in the latest sync round.
	PeersContacted int
	// PeersResponded counts those of PeersContacted that answered.
	PeersResponded int
	// Elapsed is the time since the start.
	Elapsed time.Duration
}

// Ready reports whether the instance may accept calls: it has rules, none newer
// have been reported, and the platform or a peer has confirmed them. An instance
// thus never serves rules older than those it could have obtained, even where
// the platform is stale. After joinTimeout the confirmation is no longer required.
func (b *BootstrapState) Ready() bool {
	if b.RulesInForce.Equal(tarragonwell.RulesVersion{}) || b.NewestRules.After(b.RulesInForce) {
		return false
	}
	if b.Elapsed > joinTimeout {
		return true
	}
	if b.ListRevision == 0 {
		return false
	}
	noPeers := b.PeersDrawnFromRevision > 0 && b.PeersContacted == 0
	return b.caughtUpWithPlatform() || b.PeersResponded > 0 || noPeers
}

// caughtUpWithPlatform reports whether the instance has applied everything that it
// read from a platform whose reads are always current.
func (b *BootstrapState) caughtUpWithPlatform() bool {
	return b.PlatformPosition.List > 0 && b.ListRevision >= b.PlatformPosition.List && b.RulesInForce.Revision >= b.PlatformPosition.Rules
}
