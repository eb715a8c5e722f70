package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// livenessTimeout is how long an instance without contact to any peer still counts the
	// others as alive after their last sign of life.
	livenessTimeout = 10 * time.Second
	// suspicionRounds is the number of gossip rounds, of a second or more, in which a
	// suspicion can be refuted. It has to reach the suspected peer and the refutation the
	// others, each in a number of rounds that is logarithmic in the size of the fleet.
	suspicionRounds = 8
	// ringSuccessors is the number of successors in the order of hashed incarnations that
	// an instance probes in turn. All live peers are thus probed by the same number of
	// others, whatever the size of the fleet.
	ringSuccessors = 3
)

// hear records a sign of life. It reports whether it refutes a suspicion.
func (e *peerEntry) hear(at time.Time) bool {
	if at.After(e.heard) {
		e.heard = at
	}
	if e.suspectedAt.IsZero() || !e.heard.After(e.suspectedAt) {
		return false
	}
	e.clearSuspicion()
	return true
}

// clearSuspicion records that the peer is not suspected.
func (e *peerEntry) clearSuspicion() {
	e.suspectedAt, e.unconfirmed = time.Time{}, false
}

// RecordContact records that an exchange with a peer has succeeded, after its record was
// merged. It reports whether the peer has returned from a loss.
func (v *View) RecordContact(now time.Time, m tarragonwell.Member) bool {
	v.outdated = v.outdated || v.isIsolated(now)
	v.lastContact = now
	e := v.records[m.PeerAddress]
	if e == nil || e.member.Incarnation != m.Incarnation {
		return false
	}
	if e.hear(now) {
		e.sendsLeft = v.refutationSends()
	}
	returned := e.reported && e.member.State != tarragonwell.MemberGone
	e.reported = false
	return returned
}

// isIsolated reports whether the instance has had no contact to any peer for
// livenessTimeout, or for several rounds if these are long.
func (v *View) isIsolated(now time.Time) bool {
	return now.Sub(v.lastContact) >= max(livenessTimeout, v.refutationTime())
}

// isExpired reports whether a suspicion of the peer has expired without a refutation.
func (v *View) isExpired(now time.Time, e *peerEntry) bool {
	return !e.suspectedAt.IsZero() && !now.Before(e.lostAt)
}

// refutationTime returns the time in which a suspicion can be refuted after it was raised.
func (v *View) refutationTime() time.Duration {
	return suspicionRounds * max(time.Second, v.GossipInterval)
}

// isLost reports whether a peer counts as lost: a suspicion has expired or, if the instance
// itself is isolated, the peer's last sign of life is older than livenessTimeout.
func (v *View) isLost(now time.Time, e *peerEntry) bool {
	return v.isExpired(now, e) || now.Sub(e.heard) >= livenessTimeout && v.isIsolated(now)
}

// isAlive reports whether a peer has neither stopped nor been lost.
func (v *View) isAlive(now time.Time, e *peerEntry) bool {
	return e.member.State != tarragonwell.MemberGone && !v.isLost(now, e)
}

// isTrusted reports whether a peer is alive and not suspected.
func (v *View) isTrusted(now time.Time, e *peerEntry) bool {
	return e.suspectedAt.IsZero() && v.isAlive(now, e)
}

// IsTrusted reports whether an incarnation counts as alive and is not suspected.
func (v *View) IsTrusted(now time.Time, m tarragonwell.Member) bool {
	e := v.records[m.PeerAddress]
	return e != nil && e.member.Incarnation == m.Incarnation && v.isTrusted(now, e)
}

// DetectLost returns the peers that are newly lost and have not announced that they
// stopped. Each loss is returned once.
func (v *View) DetectLost(now time.Time) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, e := range v.ordered {
		if e.reported || e.member.State == tarragonwell.MemberGone || !v.isLost(now, e) {
			continue
		}
		e.reported = true
		if e.suspectedAt.IsZero() {
			// A sign of life since the instance lost contact refutes this.
			e.suspectedAt, e.lostAt, e.unconfirmed = latest(v.lastContact, e.heard.Add(1)), now, true
			e.sendsLeft = 0
		}
		out = append(out, e.member)
	}
	return out
}

// Suspect records that probes of a peer have failed, the first of which began at the given
// time. It reports whether the peer was not suspected before.
func (v *View) Suspect(m tarragonwell.Member, probedAt time.Time) bool {
	e := v.records[m.PeerAddress]
	return e != nil && e.member.Incarnation == m.Incarnation && v.suspect(probedAt, e, probedAt)
}

// MergeSuspicion merges a suspicion that a peer has passed on. It reports whether the
// suspected peer was not suspected before. A suspicion of the instance itself is refuted by
// its next heartbeat, and one that is older than the latest sign of life by sending that to
// others.
func (v *View) MergeSuspicion(now time.Time, s tarragonwell.MemberSuspicion) bool {
	if s.Incarnation == v.Self.Incarnation {
		v.Self.Heartbeat++
		return false
	}
	i := slices.IndexFunc(v.ordered, func(e *peerEntry) bool { return e.member.Incarnation == s.Incarnation })
	if i < 0 {
		return false
	}
	return v.suspect(now, v.ordered[i], now.Add(-s.Age))
}

// suspect records a suspicion. The earliest one that is not refuted counts, so that it
// expires at the same time everywhere. One that arrives late, as after a partition, leaves
// half of the refutation time, since sources of a refutation may not have been heard yet.
func (v *View) suspect(now time.Time, e *peerEntry, at time.Time) bool {
	if !at.After(e.heard) || e.member.State == tarragonwell.MemberGone {
		e.sendsLeft = max(e.sendsLeft, v.refutationSends())
		return false
	}
	isNew := e.suspectedAt.IsZero()
	e.unconfirmed = false
	if isNew || at.Before(e.suspectedAt) {
		lostAt := latest(at.Add(v.refutationTime()), now.Add(v.refutationTime()/2))
		if isNew || lostAt.Before(e.lostAt) {
			e.lostAt = lostAt
		}
		e.suspectedAt = at
		e.sendsLeft = v.changeSends()
	}
	return isNew
}

// Resume is called after the process was paused. The instance starts no loss of its own
// accord until it has heard from others: suspicions that have not expired are dropped, and
// what it had to announce is outdated. uncounted is the part of the pause that the
// clock did not count.
func (v *View) Resume(now time.Time, uncounted time.Duration) {
	v.lastContact, v.outdated = now, true
	for _, e := range v.ordered {
		e.heard = e.heard.Add(-uncounted)
		e.sendsLeft = 0
		if !e.reported {
			e.clearSuspicion()
		}
	}
}

// probeTarget returns the peer to probe in the current round: in turn each of the next
// ringSuccessors trusted peers in the order of hashed incarnations, and then a suspected one
// before the last of these, which may refute it, or else the peer that was not heard of for
// the longest time, in case a suspicion of it was missed.
func (v *View) probeTarget(now time.Time) (tarragonwell.Member, bool) {
	trusted := v.entries(func(e *peerEntry) bool { return v.isTrusted(now, e) })
	if len(trusted) == 0 {
		return tarragonwell.Member{}, false
	}
	successors := smallest(trusted, ringSuccessors, v.ringDistance)
	turn := int(v.Self.Heartbeat % (ringSuccessors + 1))
	if turn < ringSuccessors {
		return successors[turn%len(successors)].member, true
	}
	end := v.ringDistance(successors[len(successors)-1])
	suspected := v.entries(func(e *peerEntry) bool {
		return !e.suspectedAt.IsZero() && v.isAlive(now, e) && v.ringDistance(e) < end
	})
	if len(suspected) > 0 {
		return smallest(suspected, 1, v.ringDistance)[0].member, true
	}
	return smallest(trusted, 1, func(e *peerEntry) int64 { return e.heard.UnixNano() })[0].member, true
}

// ringDistance returns the distance from the instance to a peer in the order of hashed
// incarnations. It wraps around at the end.
func (v *View) ringDistance(e *peerEntry) uint64 {
	return xxhash.Sum64(e.member.Incarnation[:]) - xxhash.Sum64(v.Self.Incarnation[:])
}

// ProbeHelpers returns the up to n trusted peers other than the target that were heard of
// last, through which the target can be probed. In a partition these are on the same side.
func (v *View) ProbeHelpers(now time.Time, target tarragonwell.Member, n int) []tarragonwell.Member {
	helpers := v.entries(func(e *peerEntry) bool {
		return v.isTrusted(now, e) && e.member.PeerAddress != target.PeerAddress
	})
	return members(smallest(helpers, n, func(e *peerEntry) int64 { return -e.heard.UnixNano() }))
}
