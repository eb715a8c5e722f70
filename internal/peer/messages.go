package peer

import (
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// heardMessage is news of a peer; the reply is what the peer is told.
type heardMessage struct {
	from  string
	news  news
	reply chan<- news
}

// news is what one instance tells another in a round of exchange. Requests and
// responses carry the same.
type news struct {
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

// holderNews records where operations went and passes it on.
type holderNews struct {
	holder tarragonwell.Holder
}

// leavingNews records that a target said it leaves and passes it on.
type leavingNews struct {
	service string
	address string
	until   time.Time
}

// suspectNews records that a target has fallen silent or fails, and passes it on.
type suspectNews struct {
	service string
	address string
	until   time.Time
}

// versionsNews is what the instance has in force.
type versionsNews struct {
	rules tarragonwell.RulesVersion
	// seen is what was taken in, refused rules included.
	seen tarragonwell.PlatformPosition
	// push passes the news on at once.
	push bool
}

// seedsNews replaces the addresses on the platform's list.
type seedsNews struct {
	addresses []string
}

// settingsSeeds replaces the addresses in the settings.
type settingsSeeds struct {
	addresses []string
}

// contactNews says that the platform has answered, and what it had published by
// then.
type contactNews struct {
	position tarragonwell.PlatformPosition
}

func (n news) request() *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		Members:       n.members,
		Rules:         n.rules,
		Holders:       n.holders,
		Leaving:       n.leaving,
		Suspects:      n.suspects,
		PlatformAgeMs: millis(n.platformAge),
		ListRevision:  n.listRevision,
		Brief:         n.brief,
		Relay:         n.relay,
		RelayRoot:     n.relayRoot,
	}
}

func (n news) response() *pb.ExchangeResponse {
	return &pb.ExchangeResponse{
		Members:       n.members,
		Rules:         n.rules,
		Holders:       n.holders,
		Leaving:       n.leaving,
		Suspects:      n.suspects,
		PlatformAgeMs: millis(n.platformAge),
		ListRevision:  n.listRevision,
	}
}

// carrier is what requests and responses have in common.
type carrier interface {
	GetMembers() []*pb.Member
	GetRules() *pb.RulesVersion
	GetHolders() []*pb.Holder
	GetLeaving() []*pb.LeavingTarget
	GetSuspects() []*pb.SuspectTarget
	GetPlatformAgeMs() uint32
	GetListRevision() uint64
}

func newsOf(c carrier) news {
	return news{
		members:      c.GetMembers(),
		rules:        c.GetRules(),
		holders:      c.GetHolders(),
		leaving:      c.GetLeaving(),
		suspects:     c.GetSuspects(),
		platformAge:  duration(c.GetPlatformAgeMs()),
		listRevision: c.GetListRevision(),
	}
}
