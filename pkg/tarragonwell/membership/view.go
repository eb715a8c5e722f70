// Package membership joins what peers say of themselves into a view of the
// fleet. The view guides preference only: nothing that must hold rests on it.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// aliveFor is how long a peer is used after its last heartbeat.
	aliveFor = 10 * time.Second
	// remembered is how long a record is kept, so that old news of a peer that
	// has gone does not bring it back.
	remembered = 60 * time.Second
	// partnerCount is the number of peers that an instance talks to in an epoch.
	partnerCount = 6
	partnerEpoch = 30 * time.Second
)

// View is what one instance knows of the fleet. One task owns it. The zero
// value is empty.
type View struct {
	// Self is left out of Peers and always part of Sample.
	Self tarragonwell.Member
	// Seeds are addresses on the settings' and the platform's lists. One that
	// was never heard of is tried now and then.
	Seeds []string
	// Started is when the instance began to look for others; zero for long ago.
	Started time.Time
	records map[string]*record
	holders map[tarragonwell.Incarnation]tarragonwell.Holder
	leaving map[TargetKey]time.Time
	// suspects are believed for a short time only.
	suspects map[TargetKey]time.Time
}

// TargetKey names a target of a service.
type TargetKey struct {
	Service string
	Address string
}

type record struct {
	member tarragonwell.Member
	// heard is when the heartbeat last grew.
	heard time.Time
	// silent is set once the peer counted as lost.
	silent bool
}

// Merge takes in a record and reports whether the peer is new, is back or has
// changed state.
func (v *View) Merge(now time.Time, m tarragonwell.Member) bool {
	if m.PeerAddress == v.Self.PeerAddress || m.PeerAddress == "" {
		return false
	}
	if v.records == nil {
		v.records = map[string]*record{}
	}
	old := v.records[m.PeerAddress]
	if old == nil {
		v.records[m.PeerAddress] = &record{
			member: m,
			heard:  now,
		}
		return true
	}
	if !supersedes(m, old.member) {
		return false
	}
	changed := m.State != old.member.State || m.Incarnation != old.member.Incarnation || old.silent
	old.member = m
	old.heard = now
	old.silent = false
	return changed
}

// supersedes reports whether m is later news than old.
func supersedes(m, old tarragonwell.Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Started.After(old.Started)
	}
	if m.Heartbeat != old.Heartbeat {
		return m.Heartbeat > old.Heartbeat
	}
	return m.State > old.State
}

// Alive lists the peers heard of lately that have not gone, ordered by address.
func (v *View) Alive(now time.Time) []tarragonwell.Member {
	return v.list(func(r *record) bool {
		return r.member.State != tarragonwell.MemberGone && now.Sub(r.heard) < aliveFor
	})
}

// All lists every record that is kept, ordered by address.
func (v *View) All() []tarragonwell.Member {
	return v.list(func(*record) bool { return true })
}

func (v *View) list(keep func(*record) bool) []tarragonwell.Member {
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

// DetectLost returns the peers that have not been heard of for some time, without their
// own word that they go, each once.
func (v *View) DetectLost(now time.Time) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, r := range v.records {
		if r.silent || r.member.State == tarragonwell.MemberGone || now.Sub(r.heard) < aliveFor {
			continue
		}
		r.silent = true
		out = append(out, r.member)
	}
	return out
}

// Expire forgets what is too old to be of use.
func (v *View) Expire(now time.Time) {
	for a, r := range v.records {
		if now.Sub(r.heard) > remembered {
			delete(v.records, a)
		}
	}
	for i, h := range v.holders {
		if now.After(h.ExpiresAt) {
			delete(v.holders, i)
		}
	}
	for _, m := range []map[TargetKey]time.Time{v.leaving, v.suspects} {
		for k, until := range m {
			if now.After(until) {
				delete(m, k)
			}
		}
	}
}

// Sample draws up to n records, the instance's own always among them, so that
// a message stays the same size as the fleet grows.
func (v *View) Sample(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	recent := v.list(func(x *record) bool { return now.Sub(x.heard) < aliveFor })
	r.Shuffle(len(recent), func(i, j int) {
		recent[i], recent[j] = recent[j], recent[i]
	})
	out := []tarragonwell.Member{v.Self}
	return append(out, recent[:min(len(recent), max(0, n-1))]...)
}

// SelectPeers draws up to n of the instance's partners. One that has been silent, or
// was never heard of, is drawn besides, for it may be back.
func (v *View) SelectPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.drawPartners(now, n, r)
	silent := v.list(func(x *record) bool { return now.Sub(x.heard) >= aliveFor })
	if len(silent) > 0 {
		peers = append(peers, silent[r.IntN(len(silent))])
	}
	if unheard := v.unheard(); len(unheard) > 0 {
		peers = append(peers, tarragonwell.Member{
			PeerAddress: unheard[r.IntN(len(unheard))],
		})
	}
	return peers
}

// farEvery is how many draws there are to one that goes to another data center,
// while there are partners enough in the own.
const farEvery = 4

// drawPartners draws up to n partners, most of them of the own data center:
// traffic between data centers is dear.
func (v *View) drawPartners(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.partners(now)
	r.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	near := func(m tarragonwell.Member) int {
		if m.DataCenter == v.Self.DataCenter {
			return 0
		}
		return 1
	}
	if r.IntN(farEvery) > 0 {
		slices.SortStableFunc(peers, func(a, b tarragonwell.Member) int {
			return cmp.Compare(near(a), near(b))
		})
	}
	return peers[:min(len(peers), n)]
}

// partners are the few peers that the instance talks to for a time, so that its
// connections stay as few as the fleet grows. Who they are changes with the
// epoch, and differs between instances, so that news reaches all in few steps.
func (v *View) partners(now time.Time) []tarragonwell.Member {
	peers := v.Alive(now)
	if len(peers) == 0 {
		peers = v.All()
	}
	epoch := byte(now.Unix() / int64(partnerEpoch/time.Second))
	weight := func(m tarragonwell.Member) uint64 {
		key := append(v.Self.Incarnation[:], m.Incarnation[:]...)
		return xxhash.Sum64(append(key, epoch))
	}
	slices.SortFunc(peers, func(a, b tarragonwell.Member) int {
		return cmp.Compare(weight(a), weight(b))
	})
	return peers[:min(len(peers), partnerCount)]
}

// unheard lists the seeds of which there is no record.
func (v *View) unheard() []string {
	var out []string
	for _, a := range v.Seeds {
		if a != v.Self.PeerAddress && v.records[a] == nil {
			out = append(out, a)
		}
	}
	return out
}

// IsMember reports whether an address belongs to the fleet.
func (v *View) IsMember(address string) bool {
	return v.records[address] != nil || slices.Contains(v.Seeds, address)
}

// lonelyFor is how long a new instance that has heard of nobody takes itself for
// one of many.
const lonelyFor = 3 * time.Second

// IsReader reports whether the instance is one of the n that watch the
// platform for the others. Two instances with different views may both be.
// Those that start count: else all would be readers when a fleet starts.
func (v *View) IsReader(now time.Time, n int) bool {
	alive := v.Alive(now)
	if len(alive) == 0 && len(v.unheard()) > 0 && now.Sub(v.Started) < lonelyFor {
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

// MergeHolder takes in where an incarnation's operations went and reports
// whether this is news.
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

// Holders lists where operations went.
func (v *View) Holders() []tarragonwell.Holder {
	var out []tarragonwell.Holder
	for _, h := range v.holders {
		out = append(out, h)
	}
	return out
}

// MergeLeaving takes in that a target leaves and reports whether this is news.
func (v *View) MergeLeaving(now time.Time, k TargetKey, until time.Time) bool {
	if v.leaving == nil {
		v.leaving = map[TargetKey]time.Time{}
	}
	return mergeUntil(v.leaving, now, k, until)
}

// MergeSuspect takes in that a target is suspect and reports whether this is
// news.
func (v *View) MergeSuspect(now time.Time, k TargetKey, until time.Time) bool {
	if v.suspects == nil {
		v.suspects = map[TargetKey]time.Time{}
	}
	return mergeUntil(v.suspects, now, k, until)
}

// mergeUntil keeps the later end and reports whether nothing was believed before.
func mergeUntil(m map[TargetKey]time.Time, now time.Time, k TargetKey, until time.Time) bool {
	old := m[k]
	if until.After(old) {
		m[k] = until
	}
	return !now.Before(old) && until.After(now)
}

// Suspects lists the targets that are suspect and until when.
func (v *View) Suspects() map[TargetKey]time.Time {
	return v.suspects
}

// Leaving lists the targets that leave and until when this is believed.
func (v *View) Leaving() map[TargetKey]time.Time {
	return v.leaving
}
