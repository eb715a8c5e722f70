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
// responses carry the same data, except for brief, probe, relay and relayRoot, which only
// requests carry.
type gossip struct {
	members  []*pb.Member
	rules    *pb.RulesVersion
	holders  []*pb.Holder
	leaving  []*pb.LeavingTarget
	suspects []*pb.SuspectTarget
	// platformAge is the time since the platform last confirmed, to any instance, that
	// the sender's data is current; neverConfirmedAge if it never did.
	platformAge time.Duration
	// list is the position of the list that the sender has processed.
	list tarragonwell.ListPosition
	// brief limits members to the sender's own record, also in the response.
	brief      bool
	suspicions []*pb.MemberSuspicion
	// memberCount is the number of members that count as alive for the sender, itself
	// included; 0 for an instance of a release without FetchMembers.
	memberCount int
	// probe requests changes of membership in the response although brief is set.
	probe bool
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

// probeResult delivers the result of probing a peer through others, after an exchange with
// it failed.
type probeResult struct {
	target tarragonwell.Member
	// startedAt is when the failed exchange began.
	startedAt time.Time
	// record is the target's record if one of the others has reached it.
	record *pb.Member
	// unreachable is set if others responded and none of them reached the target, or if
	// there are no others.
	unreachable bool
}

// membersMessage delivers all member records of a peer.
type membersMessage struct {
	// from is the peer address of the responder.
	from string
	// response is nil if the peer did not respond.
	response *pb.FetchMembersResponse
}

// membersRequest asks for all member records.
type membersRequest struct {
	reply chan<- *pb.FetchMembersResponse
}

func (g gossip) request() *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		Members:       g.members,
		Rules:         g.rules,
		Holders:       g.holders,
		Leaving:       g.leaving,
		Suspects:      g.suspects,
		PlatformAgeMs: toMillis(g.platformAge),
		ListRevision:  g.list.Revision,
		ListEra:       g.list.Era,
		Brief:         g.brief,
		Relay:         g.relay,
		RelayRoot:     g.relayRoot,
		Suspicions:    g.suspicions,
		MemberCount:   uint32(g.memberCount),
		Probe:         g.probe,
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
		ListRevision:  g.list.Revision,
		ListEra:       g.list.Era,
		Suspicions:    g.suspicions,
		MemberCount:   uint32(g.memberCount),
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
	GetListEra() uint64
	GetSuspicions() []*pb.MemberSuspicion
	GetMemberCount() uint32
}

// gossipFromProto returns the part of gossip that requests and responses share.
func gossipFromProto(m gossipProto) gossip {
	return gossip{
		members:     m.GetMembers(),
		rules:       m.GetRules(),
		holders:     m.GetHolders(),
		leaving:     m.GetLeaving(),
		suspects:    m.GetSuspects(),
		platformAge: fromMillis(m.GetPlatformAgeMs()),
		list: tarragonwell.ListPosition{
			Era:      m.GetListEra(),
			Revision: m.GetListRevision(),
		},
		suspicions:  m.GetSuspicions(),
		memberCount: int(m.GetMemberCount()),
	}
}
