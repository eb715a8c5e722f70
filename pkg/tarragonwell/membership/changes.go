package membership

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// sendsPerDoubling is the number of messages in which an instance sends a change of
// membership, for each doubling of the fleet.
const sendsPerDoubling = 3

const (
	// roundSuspicions and probeSuspicions bound the suspicions in a message of a gossip
	// round and in a probe, probeRecords the member records in a probe.
	roundSuspicions = 8
	probeSuspicions = 4
	probeRecords    = 3
)

// RoundGossip draws what a message of a gossip round carries: up to n member records, and
// suspicions.
func (v *View) RoundGossip(now time.Time, n int, r *rand.Rand) ([]tarragonwell.Member, []tarragonwell.MemberSuspicion) {
	suspicions := v.SampleSuspicions(now, roundSuspicions, r)
	return v.Sample(now, n, r), suspicions
}

// ProbeGossip draws what a probe and its response carry: the instance's own record and
// changes of membership only, since there are many probes.
func (v *View) ProbeGossip(now time.Time, r *rand.Rand) ([]tarragonwell.Member, []tarragonwell.MemberSuspicion) {
	suspicions := v.SampleSuspicions(now, probeSuspicions, r)
	return v.SampleChanges(now, probeRecords, r), suspicions
}

// changeSends returns the number of messages in which the instance sends a change. It is
// about the logarithm of the size of the fleet, which suffices to reach all of it.
func (v *View) changeSends() int {
	return sendsPerDoubling * bits.Len(uint(len(v.ordered)+1))
}

// refutationSends returns the number of messages in which the instance sends a sign of life
// that refutes a suspicion. It is larger than changeSends so that refutations precede the
// records of new peers: in a fleet that starts, hundreds of these wait to be sent, and the
// time to refute is short.
func (v *View) refutationSends() int {
	return 2 * v.changeSends()
}

// Sample draws up to n member records for a gossip message: the instance's own, changes of
// membership that were not sent often enough, and a random sample of the peers heard of
// lately. The bound keeps the size of messages independent of the size of the fleet.
func (v *View) Sample(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	out := v.SampleChanges(now, n, r)
	if len(out) >= n {
		return out
	}
	recent := v.entries(func(e *peerEntry) bool {
		return e.sendsLeft == 0 && e.suspectedAt.IsZero() && now.Sub(e.heard) < livenessTimeout
	})
	r.Shuffle(len(recent), func(i, j int) {
		recent[i], recent[j] = recent[j], recent[i]
	})
	for _, e := range recent[:min(len(recent), n-len(out))] {
		out = append(out, e.record(now))
	}
	return out
}

// SampleChanges draws up to n member records for a short gossip message: the instance's own
// and changes of membership that were not sent often enough.
func (v *View) SampleChanges(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	out := []tarragonwell.Member{v.Self}
	for _, e := range v.takeChanges(max(0, n-1), r, func(e *peerEntry) bool { return e.suspectedAt.IsZero() }) {
		out = append(out, e.record(now))
	}
	return out
}

// SampleSuspicions draws up to n suspicions of peers, including those that have expired,
// that were not sent often enough.
func (v *View) SampleSuspicions(now time.Time, n int, r *rand.Rand) []tarragonwell.MemberSuspicion {
	var out []tarragonwell.MemberSuspicion
	for _, e := range v.takeChanges(n, r, func(e *peerEntry) bool { return !e.suspectedAt.IsZero() }) {
		out = append(out, e.suspicion(now))
	}
	return out
}

// takeChanges draws up to n of the entries that satisfy keep and have sends left, those that
// were sent least often first, and counts the send.
func (v *View) takeChanges(n int, r *rand.Rand, keep func(*peerEntry) bool) []*peerEntry {
	out := v.entries(func(e *peerEntry) bool { return e.sendsLeft > 0 && keep(e) })
	r.Shuffle(len(out), func(i, j int) {
		out[i], out[j] = out[j], out[i]
	})
	out = smallest(out, n, func(e *peerEntry) int { return -e.sendsLeft })
	for _, e := range out {
		e.sendsLeft--
	}
	return out
}

// minMissingRecords is the number of members that a peer must know in addition to those of the
// instance, for it to fetch all records; in large fleets it is 1/32 of the members. Fewer
// reach it by gossip.
const minMissingRecords = 8

// NeedsRecords reports whether the instance is to fetch all records of a peer that counts the
// given number of members as alive: after a start, isolation or a pause, and if the peer knows
// considerably more members, as while a fleet starts. A count of 0 is that of a peer which
// does not provide them.
func (v *View) NeedsRecords(now time.Time, memberCount int) bool {
	own := v.AliveCount(now) + 1
	return memberCount > 0 && (v.outdated || memberCount > own+max(minMissingRecords, own/32))
}

// MergeRecords merges what Records returned at a peer. It returns the members that are new,
// have returned or have changed state. Peers that the instance lost only because it was
// isolated count as alive again if the other trusts them.
func (v *View) MergeRecords(now time.Time, members []tarragonwell.Member, suspicions []tarragonwell.MemberSuspicion) []tarragonwell.Member {
	var changed []tarragonwell.Member
	for _, m := range members {
		if e := v.records[m.PeerAddress]; e != nil && e.unconfirmed && e.member.Incarnation == m.Incarnation {
			e.clearSuspicion()
		}
		if v.Merge(now, m) {
			changed = append(changed, m)
		}
	}
	for _, s := range suspicions {
		v.MergeSuspicion(now, s)
	}
	v.outdated = false
	return changed
}

// Records returns the instance's own record and those of all peers that are not suspected,
// with their ages, and all suspicions, for an instance that fetches the whole view.
func (v *View) Records(now time.Time) ([]tarragonwell.Member, []tarragonwell.MemberSuspicion) {
	members := []tarragonwell.Member{v.Self}
	var suspicions []tarragonwell.MemberSuspicion
	for _, e := range v.ordered {
		switch {
		case e.suspectedAt.IsZero():
			members = append(members, e.record(now))
		case !e.unconfirmed:
			suspicions = append(suspicions, e.suspicion(now))
		}
	}
	return members, suspicions
}

// record returns the member record with its age.
func (e *peerEntry) record(now time.Time) tarragonwell.Member {
	m := e.member
	m.Age = now.Sub(e.heard)
	return m
}

// suspicion returns the suspicion of the peer.
func (e *peerEntry) suspicion(now time.Time) tarragonwell.MemberSuspicion {
	return tarragonwell.MemberSuspicion{
		Incarnation: e.member.Incarnation,
		Age:         now.Sub(e.suspectedAt),
	}
}
