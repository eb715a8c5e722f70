package tarragonwell

import (
	"encoding/hex"
	"time"
)

// Incarnation is a random identifier that an instance draws at each start of its
// process.
type Incarnation [16]byte

// MemberState is the stage of an instance's life cycle.
type MemberState int

const (
	// MemberUnspecified is the zero value.
	MemberUnspecified MemberState = iota
	// MemberStarting is not yet ready to accept calls.
	MemberStarting
	// MemberServing accepts calls.
	MemberServing
	// MemberLeaving is shutting down: its readiness check fails, it still accepts
	// calls until the load balancer in front of the fleet has had time to notice, and
	// then finishes those in flight.
	MemberLeaving
	// MemberGone has announced that it has stopped serving.
	MemberGone
)

// String returns the state as it appears in status output.
func (s MemberState) String() string {
	switch s {
	case MemberStarting:
		return "starting"
	case MemberServing:
		return "serving"
	case MemberLeaving:
		return "leaving"
	case MemberGone:
		return "gone"
	default:
		return "unspecified"
	}
}

// Member is the state that an instance publishes about itself.
type Member struct {
	PeerAddress string
	DataCenter  string
	Incarnation Incarnation
	// Started is the start time by the instance's wall clock. It is used only to
	// order incarnations: at one address the latest start takes precedence.
	Started time.Time
	State   MemberState
	// Heartbeat increases for as long as the incarnation runs.
	Heartbeat uint64
	// Age is the time since the instance itself sent the heartbeat. It is set in records
	// that are passed on to peers.
	Age time.Duration
}

// MemberSuspicion states that an incarnation did not respond to probes. A sign of life that
// is more recent than the suspicion refutes it.
type MemberSuspicion struct {
	Incarnation Incarnation
	// Age is the time since the first probe without a response.
	Age time.Duration
}

// Holder records which instance took over the operations of an incarnation. A
// record exists only after a hand-over: without one, the home instance holds its
// own operations.
type Holder struct {
	Incarnation Incarnation
	PeerAddress string
	// Generation is the position in the chain of hand-overs. Of two records for an
	// incarnation the one with the higher generation wins.
	Generation uint32
	// ExpiresAt is when the record can be discarded.
	ExpiresAt time.Time
}

// LeavingTarget announces to the peers that a target reported that it is leaving: it
// completes its calls and accepts no new ones.
type LeavingTarget struct {
	Service string
	// ID is the target's ListedTarget.Identity.
	ID string
	// Born is the target's ListedTarget.Born, to which the announcement is limited; 0 if
	// it is not known.
	Born uint64
	// ExpiresAt is when the announcement expires.
	ExpiresAt time.Time
	// Observed is set if the target reported it to this instance.
	Observed bool
}

// String returns the first half of the incarnation in hexadecimal, which is
// enough to tell incarnations apart in logs.
func (i Incarnation) String() string {
	return hex.EncodeToString(i[:len(i)/2])
}

// FleetView is an instance's view of the fleet. Views of different instances differ for a
// time after changes, and for as long as a partition lasts.
type FleetView struct {
	// Self is the instance's own record.
	Self Member
	// Alive holds the other instances in state starting or serving that count as alive,
	// ordered by address.
	Alive []Member
	// Known is the number of instances that may be running, itself included: those with a
	// retained record that have not stopped, the seeds and the listed instances. It is 0
	// in a view that has not been filled.
	Known int
	// SeedMajority is set if more than half of the seeds and the listed instances count as
	// alive, or if there are none. It holds on at most one side of a partition, also where
	// no instance knows how many there are.
	SeedMajority bool
}
