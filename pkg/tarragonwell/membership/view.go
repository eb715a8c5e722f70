// Package membership merges the member records that peers gossip about themselves into
// a view of the fleet. The view is only used for preferences, such as whom to
// contact: correctness never depends on it. It also selects the readers, the few
// instances that watch the platform on behalf of the fleet.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// livenessTimeout is how long a peer counts as alive after its last heartbeat.
	livenessTimeout = 10 * time.Second
	// recordRetention is how long a member record is kept after its last update. The
	// record of a stopped peer serves as its tombstone: it keeps outdated gossip from
	// adding the peer again.
	recordRetention = 60 * time.Second
	// gossipPeerCount is the number of peers that an instance gossips with during one
	// epoch.
	gossipPeerCount = 6
	// gossipPeerEpoch is how long an instance keeps the same gossip peers.
	gossipPeerEpoch = 30 * time.Second
)

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

// TargetKey identifies a target of a service.
type TargetKey struct {
	Service string
	// ID is the target's tarragonwell.ListedTarget.Identity.
	ID string
	// Born is the target's tarragonwell.ListedTarget.Born; 0 if it is not known or the
	// key does not tell the starts of a target apart.
	Born uint64
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

// Alive lists the peers whose records advanced within livenessTimeout and that have
// not stopped, ordered by address.
func (v *View) Alive(now time.Time) []tarragonwell.Member {
	return v.list(func(r *peerEntry) bool {
		return r.member.State != tarragonwell.MemberGone && now.Sub(r.updated) < livenessTimeout
	})
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

// DetectLost returns the peers whose records have not advanced for livenessTimeout
// and that have not announced that they stopped. Each loss is returned once.
func (v *View) DetectLost(now time.Time) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, r := range v.records {
		if r.lost || r.member.State == tarragonwell.MemberGone || now.Sub(r.updated) < livenessTimeout {
			continue
		}
		r.lost = true
		out = append(out, r.member)
	}
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
	for i, h := range v.holders {
		if now.After(h.ExpiresAt) {
			delete(v.holders, i)
		}
	}
	for k, l := range v.leaving {
		if now.After(l.ExpiresAt) {
			delete(v.leaving, k)
		}
	}
	for k, expiresAt := range v.suspects {
		if now.After(expiresAt) {
			delete(v.suspects, k)
		}
	}
}

// Sample draws up to n member records for a gossip message, the instance's own always
// included. The bound keeps the size of messages independent of the size of the
// fleet.
func (v *View) Sample(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	recent := v.list(func(x *peerEntry) bool { return now.Sub(x.updated) < livenessTimeout })
	r.Shuffle(len(recent), func(i, j int) {
		recent[i], recent[j] = recent[j], recent[i]
	})
	out := []tarragonwell.Member{v.Self}
	return append(out, recent[:min(len(recent), max(0, n-1))]...)
}

// SelectPeers draws up to n of the instance's gossip peers for a gossip round. It
// adds one lost or stopped peer and one bootstrap address without a member record, if
// there are any, because they may be reachable again. The latter have only a peer
// address.
func (v *View) SelectPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.drawGossipPeers(now, n, r)
	inactive := v.list(func(x *peerEntry) bool { return now.Sub(x.updated) >= livenessTimeout })
	if len(inactive) > 0 {
		peers = append(peers, inactive[r.IntN(len(inactive))])
	}
	if unseen := v.unseenAddresses(); len(unseen) > 0 {
		peers = append(peers, tarragonwell.Member{
			PeerAddress: unseen[r.IntN(len(unseen))],
		})
	}
	return peers
}

// remoteDrawInterval sets the share of remote gossip peers: on average, one in
// remoteDrawInterval draws ignores data centres. The others include remote gossip peers
// only if there are too few local ones.
const remoteDrawInterval = 4

// drawGossipPeers draws up to n gossip peers, most of them in the local data centre,
// because traffic between data centres is expensive.
func (v *View) drawGossipPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.gossipPeers(now)
	r.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	distance := func(m tarragonwell.Member) int {
		if m.DataCenter == v.Self.DataCenter {
			return 0
		}
		return 1
	}
	if r.IntN(remoteDrawInterval) > 0 {
		slices.SortStableFunc(peers, func(a, b tarragonwell.Member) int {
			return cmp.Compare(distance(a), distance(b))
		})
	}
	return peers[:min(len(peers), n)]
}

// gossipPeers returns the gossip peers of the current epoch, in pseudo-random order. If
// no peer is alive, they are drawn from all retained ones. Their fixed number keeps the
// connections of an instance independent of the size of the fleet. The selection changes
// with each epoch and differs between instances, so that updates reach the whole fleet
// in few hops.
func (v *View) gossipPeers(now time.Time) []tarragonwell.Member {
	peers := v.Alive(now)
	if len(peers) == 0 {
		peers = v.All()
	}
	epoch := byte(now.Unix() / int64(gossipPeerEpoch/time.Second))
	weight := func(m tarragonwell.Member) uint64 {
		key := append(v.Self.Incarnation[:], m.Incarnation[:]...)
		return xxhash.Sum64(append(key, epoch))
	}
	slices.SortFunc(peers, func(a, b tarragonwell.Member) int {
		return cmp.Compare(weight(a), weight(b))
	})
	return peers[:min(len(peers), gossipPeerCount)]
}

// unseenAddresses lists the bootstrap addresses without a member record, except the
// instance's own.
func (v *View) unseenAddresses() []string {
	var out []string
	for _, a := range v.BootstrapAddresses {
		if a != v.Self.PeerAddress && v.records[a] == nil {
			out = append(out, a)
		}
	}
	return out
}

// IsMember reports whether a peer address belongs to the fleet: there is a member record
// with it or it is a bootstrap address.
func (v *View) IsMember(address string) bool {
	return v.records[address] != nil || slices.Contains(v.BootstrapAddresses, address)
}

// isolationTimeout is how long a new instance with bootstrap addresses but no live peers
// assumes that it is one of many. After that it counts itself as the only one.
const isolationTimeout = 3 * time.Second

// IsReader reports whether the instance is one of the n readers, which watch the
// platform on behalf of the fleet. It is one if fewer than n live peers in state
// starting or serving have a lower hash of their incarnation. There may be more than n
// readers where views differ. Starting peers count, since otherwise all instances would
// be readers while a fleet starts.
func (v *View) IsReader(now time.Time, n int) bool {
	alive := v.Alive(now)
	if len(alive) == 0 && len(v.unseenAddresses()) > 0 && now.Sub(v.SearchStarted) < isolationTimeout {
		return false
	}
	rank := 0
	own := xxhash.Sum64(v.Self.Incarnation[:])
	for _, m := range alive {
		if m.State <= tarragonwell.MemberServing && xxhash.Sum64(m.Incarnation[:]) < own {
			rank++
		}
	}
	return rank < n
}

// MergeHolder records which instance took over an incarnation's operations. It reports
// whether the record is newer than the stored one.
func (v *View) MergeHolder(h tarragonwell.Holder) bool {
	if v.holders == nil {
		v.holders = map[tarragonwell.Incarnation]tarragonwell.Holder{}
	}
	old, known := v.holders[h.Incarnation]
	if known && old.Generation >= h.Generation {
		return false
	}
	v.holders[h.Incarnation] = h
	return true
}

// Holders lists the latest holder records, in no particular order.
func (v *View) Holders() []tarragonwell.Holder {
	var out []tarragonwell.Holder
	for _, h := range v.holders {
		out = append(out, h)
	}
	return out
}

// MergeLeaving records the announcement of a draining target. It reports whether the
// target was not draining before.
func (v *View) MergeLeaving(now time.Time, l tarragonwell.LeavingTarget) bool {
	if v.leaving == nil {
		v.leaving = map[TargetKey]tarragonwell.LeavingTarget{}
	}
	k := TargetKey{
		Service: l.Service,
		ID:      l.ID,
		Born:    l.Born,
	}
	old := v.leaving[k]
	isNew := !now.Before(old.ExpiresAt) && l.ExpiresAt.After(now)
	if !l.ExpiresAt.After(old.ExpiresAt) {
		l.ExpiresAt = old.ExpiresAt
	}
	l.Observed = l.Observed || old.Observed
	if l != old {
		v.leaving[k] = l
	}
	if isNew || l.Observed != old.Observed {
		v.leavingVersion++
	}
	return isNew
}

// LeavingVersion changes when there is a new announcement of a draining target.
func (v *View) LeavingVersion() uint64 {
	return v.leavingVersion
}

// MergeSuspect records until when a target is suspected. It reports whether the
// target was not suspected before.
func (v *View) MergeSuspect(now time.Time, k TargetKey, expiresAt time.Time) bool {
	if v.suspects == nil {
		v.suspects = map[TargetKey]time.Time{}
	}
	old := v.suspects[k]
	if expiresAt.After(old) {
		v.suspects[k] = expiresAt
	}
	return !now.Before(old) && expiresAt.After(now)
}

// Suspects returns the suspected targets and when each suspicion expires. The map
// belongs to the view.
func (v *View) Suspects() map[TargetKey]time.Time {
	return v.suspects
}

// Leaving lists the announcements of draining targets, those that expire last first.
func (v *View) Leaving() []tarragonwell.LeavingTarget {
	out := slices.Collect(maps.Values(v.leaving))
	slices.SortFunc(out, func(a, b tarragonwell.LeavingTarget) int {
		return b.ExpiresAt.Compare(a.ExpiresAt)
	})
	return out
}
