package peer

import (
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// gossipMessage delivers the gossip of a peer. An empty gossip field asks for the
// instance's own gossip and merges nothing.
type gossipMessage struct {
	// from is the peer address of the sender, or "" if it is not known.
	from   string
	gossip gossip
	// reply receives the instance's own gossip; nil if none is wanted.
	reply chan<- gossip
}

// gossip is the data that two instances exchange in a gossip round. Requests and
// responses carry the same data, except for brief, relay and relayRoot, which only
// requests carry.
type gossip struct {
	members  []*pb.Member
	rules    *pb.RulesVersion
	holders  []*pb.Holder
	leaving  []*pb.LeavingTarget
	suspects []*pb.SuspectTarget
	// platformAge is the time since the platform last confirmed, to any instance, that
	// the sender's data is current; neverConfirmedAge if it never did.
	platformAge  time.Duration
	listRevision uint64
	// brief limits members to the sender's own record, also in the response.
	brief bool
	// relay requests that the receiver relays the platform's confirmation along the
	// tree of relayRoot, or along a new tree if relayRoot is empty.
	relay     bool
	relayRoot string
}

// stateMessage sets the instance's own state.
type stateMessage struct {
	state tarragonwell.MemberState
}

// holderAnnouncement announces which instance took over an incarnation's
// operations.
type holderAnnouncement struct {
	holder tarragonwell.Holder
}

// leavingAnnouncement announces that a target is draining.
type leavingAnnouncement struct {
	leaving tarragonwell.LeavingTarget
}

// suspectAnnouncement announces that a target is unresponsive or failing. The target is
// suspected until the announcement expires.
type suspectAnnouncement struct {
	service   string
	id        string
	expiresAt time.Time
}

// versionsMessage sets the versions of the data that the instance uses.
type versionsMessage struct {
	// rules is the version of the rules in force.
	rules tarragonwell.RulesVersion
	// processed is the position up to which the platform's data was processed. It
	// includes rules that were refused.
	processed tarragonwell.PlatformPosition
	// push starts a gossip round at once.
	push bool
}

// listedAddressesMessage replaces the peer addresses from the platform's list.
type listedAddressesMessage struct {
	addresses []string
}

// seedsMessage replaces the peer addresses from the settings.
type seedsMessage struct {
	addresses []string
}

// confirmationMessage reports that the platform has just responded to this instance.
type confirmationMessage struct {
	// position is that of the data that the platform had published by then.
	position tarragonwell.PlatformPosition
}

func (g gossip) request() *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		Members:       g.members,
		Rules:         g.rules,
		Holders:       g.holders,
		Leaving:       g.leaving,
		Suspects:      g.suspects,
		PlatformAgeMs: toMillis(g.platformAge),
		ListRevision:  g.listRevision,
		Brief:         g.brief,
		Relay:         g.relay,
		RelayRoot:     g.relayRoot,
	}
}

func (g gossip) response() *pb.ExchangeResponse {
	return &pb.ExchangeResponse{
		Members:       g.members,
		Rules:         g.rules,
		Holders:       g.holders,
		Leaving:       g.leaving,
		Suspects:      g.suspects,
		PlatformAgeMs: toMillis(g.platformAge),
		ListRevision:  g.listRevision,
	}
}

// gossipProto is implemented by ExchangeRequest and ExchangeResponse.
type gossipProto interface {
	GetMembers() []*pb.Member
	GetRules() *pb.RulesVersion
	GetHolders() []*pb.Holder
	GetLeaving() []*pb.LeavingTarget
	GetSuspects() []*pb.SuspectTarget
	GetPlatformAgeMs() uint32
	GetListRevision() uint64
}

// gossipFromProto returns the part of gossip that requests and responses share.
func gossipFromProto(m gossipProto) gossip {
	return gossip{
		members:      m.GetMembers(),
		rules:        m.GetRules(),
		holders:      m.GetHolders(),
		leaving:      m.GetLeaving(),
		suspects:     m.GetSuspects(),
		platformAge:  fromMillis(m.GetPlatformAgeMs()),
		listRevision: m.GetListRevision(),
	}
}
