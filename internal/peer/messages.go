package peer

import (
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// gossipMessage is news of a peer; the reply is what the peer is told.
type gossipMessage struct {
	from   string
	gossip gossip
	reply  chan<- gossip
}

// gossip is what one instance tells another in a round of exchange. Requests and
// responses carry the same.
type gossip struct {
	members      []*pb.Member
	rules        *pb.RulesVersion
	holders      []*pb.Holder
	leaving      []*pb.LeavingTarget
	suspects     []*pb.SuspectTarget
	platformAge  time.Duration
	listRevision uint64
	// brief leaves out the sample of members and wants the same in return.
	brief bool
	// relay asks to pass the word of the platform's answer on, in the tree of
	// relayRoot.
	relay     bool
	relayRoot string
}

// stateMessage changes the instance's own state.
type stateMessage struct {
	state tarragonwell.MemberState
}

// holderAnnouncement records where operations went and passes it on.
type holderAnnouncement struct {
	holder tarragonwell.Holder
}

// leavingAnnouncement records that a target said it leaves and passes it on.
type leavingAnnouncement struct {
	service   string
	address   string
	expiresAt time.Time
}

// suspectAnnouncement records that a target has fallen silent or fails, and passes it on.
type suspectAnnouncement struct {
	service   string
	address   string
	expiresAt time.Time
}

// versionsMessage is what the instance has in force.
type versionsMessage struct {
	rules tarragonwell.RulesVersion
	// processed is what was taken in, refused rules included.
	processed tarragonwell.PlatformPosition
	// push passes the news on at once.
	push bool
}

// listedAddressesMessage replaces the addresses on the platform's list.
type listedAddressesMessage struct {
	addresses []string
}

// seedsMessage replaces the addresses in the settings.
type seedsMessage struct {
	addresses []string
}

// confirmationMessage says that the platform has answered, and what it had published by
// then.
type confirmationMessage struct {
	position tarragonwell.PlatformPosition
}

func (n gossip) request() *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		Members:       n.members,
		Rules:         n.rules,
		Holders:       n.holders,
		Leaving:       n.leaving,
		Suspects:      n.suspects,
		PlatformAgeMs: toMillis(n.platformAge),
		ListRevision:  n.listRevision,
		Brief:         n.brief,
		Relay:         n.relay,
		RelayRoot:     n.relayRoot,
	}
}

func (n gossip) response() *pb.ExchangeResponse {
	return &pb.ExchangeResponse{
		Members:       n.members,
		Rules:         n.rules,
		Holders:       n.holders,
		Leaving:       n.leaving,
		Suspects:      n.suspects,
		PlatformAgeMs: toMillis(n.platformAge),
		ListRevision:  n.listRevision,
	}
}

// gossipProto is what requests and responses have in common.
type gossipProto interface {
	GetMembers() []*pb.Member
	GetRules() *pb.RulesVersion
	GetHolders() []*pb.Holder
	GetLeaving() []*pb.LeavingTarget
	GetSuspects() []*pb.SuspectTarget
	GetPlatformAgeMs() uint32
	GetListRevision() uint64
}

func gossipFromProto(c gossipProto) gossip {
	return gossip{
		members:      c.GetMembers(),
		rules:        c.GetRules(),
		holders:      c.GetHolders(),
		leaving:      c.GetLeaving(),
		suspects:     c.GetSuspects(),
		platformAge:  fromMillis(c.GetPlatformAgeMs()),
		listRevision: c.GetListRevision(),
	}
}
