package tarragonwell

import (
	"encoding/hex"
	"time"
)

// Incarnation is the random name of one life of one process.
type Incarnation [16]byte

// MemberState is the part of its life that an instance is in.
type MemberState int

const (
	// MemberUnspecified is the zero value.
	MemberUnspecified MemberState = iota
	// MemberStarting has no accepted rules yet.
	MemberStarting
	// MemberServing takes calls.
	MemberServing
	// MemberLeaving finishes what it has.
	MemberLeaving
	// MemberGone has stopped, by its own word.
	MemberGone
)

// String returns the form used in reports.
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

// Member is what an instance says of itself.
type Member struct {
	PeerAddress string
	DataCenter  string
	Incarnation Incarnation
	// Started is by the instance's wall clock; it only orders preference.
	Started time.Time
	State   MemberState
	// Heartbeat grows while the incarnation lives.
	Heartbeat uint64
}

// Holder says which instance took over the operations of an incarnation.
type Holder struct {
	Incarnation Incarnation
	PeerAddress string
	// Generation is the position in the chain of hand-overs; the higher wins.
	Generation uint32
	// ExpiresAt is when the record is of no more use.
	ExpiresAt time.Time
}

// String returns the first half in hexadecimal, enough for logs.
func (i Incarnation) String() string {
	return hex.EncodeToString(i[:len(i)/2])
}
