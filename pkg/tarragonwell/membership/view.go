// Package membership merges the member records that peers gossip about themselves into
// a view of the fleet, and decides which peers count as lost. The view is only used for
// preferences, such as whom to contact: correctness never depends on it. It also selects
// the readers, the few instances that watch the platform on behalf of the fleet.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// recordRetention is how long the record of a stopped or lost peer is kept after its last
// sign of life. It serves as a tombstone: it keeps outdated gossip from adding the peer
// again.
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
	// GossipInterval is the time between two gossip rounds. It extends the time to refute
	// a suspicion if it is longer than a second.
	GossipInterval time.Duration
	// records holds the latest member record of each peer by peer address.
	records map[string]*peerEntry
	// ordered holds the entries of records ordered by peer address.
	ordered []*peerEntry
	// lastContact is when an exchange with a peer last succeeded.
	lastContact time.Time
	// outdated is set after isolation or a pause until all records of a peer were merged.
	outdated bool
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
	// member is the record; its Age is always 0.
	member tarragonwell.Member
	// heard is when the peer itself gave its latest known sign of life, by the local clock.
	heard time.Time
	// suspectedAt is when the first probe without a response began; zero if the peer is not
	// suspected. It is later than heard.
	suspectedAt time.Time
	// lostAt is when the suspicion expires; it has no meaning if the peer is not suspected.
	lostAt time.Time
	// unconfirmed is set if the suspicion was raised only because the instance itself was
	// isolated. Others are not told of it.
	unconfirmed bool
	// reported is set once DetectLost has returned the peer, until it is heard of again.
	reported bool
	// sendsLeft is the number of messages in which the latest change of the entry is still
	// sent ahead of the random sample.
	sendsLeft int
}

// Merge merges a member record of a peer. It reports whether the peer is new, has returned
// or has changed state.
func (v *View) Merge(now time.Time, m tarragonwell.Member) bool {
	if m.PeerAddress == v.Self.PeerAddress || m.PeerAddress == "" {
		return false
	}
	heard := now.Add(-m.Age)
	m.Age = 0
	e := v.records[m.PeerAddress]
	if e == nil && now.Sub(heard) > recordRetention {
		// The tombstone of a lost peer has expired here, and not yet elsewhere.
		return false
	}
	if e == nil {
		v.insert(&peerEntry{
			member:    m,
			heard:     heard,
			sendsLeft: v.changeSends(),
		})
		return true
	}
	if !v.supersedes(now, m, heard, e) {
		return false
	}
	changed := m.State != e.member.State
	if m.Incarnation != e.member.Incarnation {
		changed = true
		e.heard = heard
		e.clearSuspicion()
	}
	e.member = m
	refuted := e.hear(heard)
	if m.State == tarragonwell.MemberGone {
		e.clearSuspicion()
	}
	if e.reported && !v.isLost(now, e) {
		e.reported = false
		changed = true
	}
	switch {
	case refuted:
		e.sendsLeft = v.refutationSends()
	case changed:
		e.sendsLeft = v.changeSends()
	}
	return changed
}

// insert adds the entry of a new peer.
func (v *View) insert(e *peerEntry) {
	if v.records == nil {
		v.records = map[string]*peerEntry{}
	}
	v.records[e.member.PeerAddress] = e
	i, _ := slices.BinarySearchFunc(v.ordered, e.member.PeerAddress, func(x *peerEntry, address string) int {
		return strings.Compare(x.member.PeerAddress, address)
	})
	v.ordered = slices.Insert(v.ordered, i, e)
}

// supersedes reports whether a record is newer than an entry. Different incarnations are
// ordered by their start, records of one incarnation by heartbeat and then by state. An
// incarnation that was heard of after another one at its address was lost also replaces it,
// as the clock of the machine may have been set back in between.
func (v *View) supersedes(now time.Time, m tarragonwell.Member, heard time.Time, e *peerEntry) bool {
	if m.Incarnation != e.member.Incarnation {
		return m.Started.After(e.member.Started) || v.isExpired(now, e) && heard.After(e.suspectedAt)
	}
	if m.Heartbeat != e.member.Heartbeat {
		return m.Heartbeat > e.member.Heartbeat
	}
	return m.State > e.member.State
}

// Alive lists the peers that have neither stopped nor been lost, ordered by address.
func (v *View) Alive(now time.Time) []tarragonwell.Member {
	return v.list(func(e *peerEntry) bool { return v.isAlive(now, e) })
}

// AliveCount returns the number of peers that Alive lists.
func (v *View) AliveCount(now time.Time) int {
	n := 0
	for _, e := range v.ordered {
		if v.isAlive(now, e) {
			n++
		}
	}
	return n
}

// All lists the member records of all retained peers, ordered by address.
func (v *View) All() []tarragonwell.Member {
	return v.list(func(*peerEntry) bool { return true })
}

// list returns the member records of the entries that satisfy keep, ordered by address.
func (v *View) list(keep func(*peerEntry) bool) []tarragonwell.Member {
	return members(v.entries(keep))
}

// members returns the member records of entries.
func members(entries []*peerEntry) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, e := range entries {
		out = append(out, e.member)
	}
	return out
}

// entries returns the entries that satisfy keep, ordered by address.
func (v *View) entries(keep func(*peerEntry) bool) []*peerEntry {
	out := make([]*peerEntry, 0, len(v.ordered))
	for _, e := range v.ordered {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}

// IsMember reports whether a peer address belongs to the fleet: there is a member record
// with it or it is a bootstrap address.
func (v *View) IsMember(address string) bool {
	return v.records[address] != nil || slices.Contains(v.BootstrapAddresses, address)
}

// Expire removes the records of stopped and lost peers after recordRetention, and holders,
// draining notices and suspicions of targets at the expiry of each.
func (v *View) Expire(now time.Time) {
	v.ordered = slices.DeleteFunc(v.ordered, func(e *peerEntry) bool {
		if v.isAlive(now, e) || now.Sub(v.lastSign(now, e)) <= recordRetention {
			return false
		}
		delete(v.records, e.member.PeerAddress)
		return true
	})
	v.expireAnnouncements(now)
}

// lastSign returns the time from which the retention of a record counts. While the instance
// itself is cut off, records are kept from its last contact on, since it can't hear of them.
func (v *View) lastSign(now time.Time, e *peerEntry) time.Time {
	sign := latest(e.heard, e.suspectedAt)
	if v.isIsolated(now) {
		sign = latest(sign, v.lastContact)
	}
	return sign
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
