package membership

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// joinPatience is how long an instance that has rules still waits for a peer to
// answer, where peers are known.
const joinPatience = 3 * time.Second

// BootstrapState is what a new instance has learnt since it started. The zero value has
// learnt nothing.
type BootstrapState struct {
	// AppliedRules is the version in force; zero for none.
	AppliedRules tarragonwell.RulesVersion
	// ListRevision is the revision of the list of targets that was taken in; 0 for none.
	ListRevision uint64
	// PlatformPosition is what the platform had published when it answered the instance
	// itself; zero before, and where the platform may show earlier revisions.
	PlatformPosition tarragonwell.PlatformPosition
	// NewestRules is the newest version of the rules that a peer told of.
	NewestRules tarragonwell.RulesVersion
	// PeersListRevision is the revision of the list by which the peers of the latest round
	// were drawn; 0 where there was none, so that some may be unknown.
	PeersListRevision uint64
	// PeersContacted and Answered count peers in the latest round.
	PeersContacted int
	PeersAnswered  int
	// Elapsed is the time since the start.
	Elapsed time.Duration
}

// Ready reports whether the instance may take calls: nothing that it has learnt
// of is newer than its rules, and it has learnt from the platform itself or from
// a peer what is in force. So it serves no older rules than it could have learnt,
// also where the platform is stale.
func (l *BootstrapState) Ready() bool {
	if l.AppliedRules.Equal(tarragonwell.RulesVersion{}) || l.NewestRules.After(l.AppliedRules) {
		return false
	}
	if l.Elapsed > joinPatience {
		return true
	}
	if l.ListRevision == 0 {
		return false
	}
	nobody := l.PeersListRevision > 0 && l.PeersContacted == 0
	return l.read() || l.PeersAnswered > 0 || nobody
}

// read reports whether the instance has taken in what it read from a platform
// that always shows the latest.
func (l *BootstrapState) read() bool {
	return l.PlatformPosition.List > 0 && l.ListRevision >= l.PlatformPosition.List && l.AppliedRules.Revision >= l.PlatformPosition.Rules
}
