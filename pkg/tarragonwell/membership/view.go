// Package membership merges the member records that peers gossip about themselves into
// a view of the fleet. The view is only used for preferences, such as whom to
// contact: correctness never depends on it. It also selects the readers, the few
// instances that watch the platform on behalf of the fleet.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// recordRetention is how long a member record is kept after its last update. The
// record of a stopped peer serves as its tombstone: it keeps outdated gossip from
// adding the peer again.
const recordRetention = 60 * time.Second

// View is an instance's view of the fleet. It is not safe for concurrent use: one
// goroutine owns it. The zero value is empty.
type View struct {
	// Self is the instance's own member record. It is never merged or listed as a peer,
	// and always part of Sample.
	Self tarragonwell.Member
	// BootstrapAddresses are the peer addresses in the settings (the seeds) and on the
	// platform's list. Those without a member record are contacted from time to time.
	BootstrapAddresses []string
	// SearchStarted is when the instance began to look for peers. The zero value counts
	// as longer ago than isolationTimeout.
	SearchStarted time.Time
	// records holds the latest member record of each peer by peer address.
	records map[string]*peerEntry
	// holders holds the latest holder record of each incarnation whose operations were
	// handed over.
	holders map[tarragonwell.Incarnation]tarragonwell.Holder
	// leaving holds the announcements of targets that are draining.
	leaving map[TargetKey]tarragonwell.LeavingTarget
	// leavingVersion is incremented when leaving gains or extends an announcement.
	leavingVersion uint64
	// suspects holds the suspected targets and when the suspicion expires, which is
	// after a short time.
	suspects map[TargetKey]time.Time
}

// peerEntry holds the latest member record of a peer.
type peerEntry struct {
	member tarragonwell.Member
	// updated is when the member record last advanced.
	updated time.Time
	// lost is set once DetectLost has returned the peer.
	lost bool
}

// Merge merges a member record of a peer. It reports whether the peer is new, has returned
// or has changed state.
func (v *View) Merge(now time.Time, m tarragonwell.Member) bool {
	if m.PeerAddress == v.Self.PeerAddress || m.PeerAddress == "" {
		return false
	}
	if v.records == nil {
		v.records = map[string]*peerEntry{}
	}
	old := v.records[m.PeerAddress]
	if old == nil {
		v.records[m.PeerAddress] = &peerEntry{
			member:  m,
			updated: now,
		}
		return true
	}
	if !supersedes(m, old.member) {
		return false
	}
	changed := m.State != old.member.State || m.Incarnation != old.member.Incarnation || old.lost
	old.member = m
	old.updated = now
	old.lost = false
	return changed
}

// supersedes reports whether m is newer than old. Different incarnations are ordered
// by their start, records of one incarnation by heartbeat and then by state.
func supersedes(m, old tarragonwell.Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Started.After(old.Started)
	}
	if m.Heartbeat != old.Heartbeat {
		return m.Heartbeat > old.Heartbeat
	}
	return m.State > old.State
}

// All lists the member records of all retained peers, ordered by address.
func (v *View) All() []tarragonwell.Member {
	return v.list(func(*peerEntry) bool { return true })
}

// list returns the member records of the entries that satisfy keep, ordered by address.
func (v *View) list(keep func(*peerEntry) bool) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, r := range v.records {
		if keep(r) {
			out = append(out, r.member)
		}
	}
	slices.SortFunc(out, func(a, b tarragonwell.Member) int {
		return cmp.Compare(a.PeerAddress, b.PeerAddress)
	})
	return out
}

// Expire removes member records after recordRetention, and holders, draining notices
// and suspicions at the expiry of each.
func (v *View) Expire(now time.Time) {
	for a, r := range v.records {
		if now.Sub(r.updated) > recordRetention {
			delete(v.records, a)
		}
	}
	v.expireAnnouncements(now)
}

// IsMember reports whether a peer address belongs to the fleet: there is a member record
// with it or it is a bootstrap address.
func (v *View) IsMember(address string) bool {
	return v.records[address] != nil || slices.Contains(v.BootstrapAddresses, address)
}
