package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// minMemberFetchGap is the minimum time between two fetches of all member records. It is
	// extended by a random part, so that instances that start together do not all fetch at
	// once, from the same peer.
	minMemberFetchGap  = time.Second
	memberFetchTimeout = 2 * time.Second
)

// memberFetch is the state of fetching all member records from a peer. The zero value has
// no fetch in progress.
type memberFetch struct {
	// from is the peer address to fetch the records from; empty for none.
	from       string
	inProgress bool
	// next is the earliest time of the next fetch.
	next time.Time
}

// considerFetch chooses the sender of gossip to fetch its member records if they are needed.
func considerFetch(now time.Time, st *state, from string, g gossip) {
	f := &st.fetch
	if from != "" && !f.inProgress && !now.Before(f.next) && st.view.NeedsRecords(now, g.memberCount) {
		f.from = from
	}
}

// fetchMembers fetches all member records if a peer was chosen.
func (p *Peers) fetchMembers(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	from := st.fetch.from
	if from == "" {
		return
	}
	st.fetch.from, st.fetch.inProgress = "", true
	p.countMemberFetch()
	exchanges.Go(func() {
		var response *pb.FetchMembersResponse
		_ = p.options.Common.Isolate("fetch members", func() {
			var err error
			if response, err = p.requestMembers(ctx, from); err != nil {
				p.options.Common.Log.Debug("fetching the members failed", "peer", from, "error", err)
			}
		})
		_ = p.mailbox.Send(ctx, membersMessage{
			from:     from,
			response: response,
		})
	})
}

// requestMembers requests all member records of a peer. The error wraps ErrRequestFailed.
func (p *Peers) requestMembers(ctx context.Context, address string) (*pb.FetchMembersResponse, error) {
	response, err := p.progressClient(address, memberFetchTimeout).FetchMembers(ctx, connect.NewRequest(&pb.FetchMembersRequest{}))
	if err != nil {
		return nil, eris.Wrap(ErrRequestFailed, err.Error())
	}
	return response.Msg, nil
}

// mergeMembers merges all member records of a peer.
func (p *Peers) mergeMembers(now time.Time, st *state, m membersMessage) {
	st.fetch.inProgress = false
	st.fetch.next = now.Add(minMemberFetchGap + rand.N(2*minMemberFetchGap))
	if m.response == nil {
		return
	}
	var members []tarragonwell.Member
	for _, x := range m.response.GetMembers() {
		members = append(members, memberFromProto(x))
	}
	var suspicions []tarragonwell.MemberSuspicion
	for _, x := range m.response.GetSuspicions() {
		suspicions = append(suspicions, suspicionFromProto(x))
	}
	for _, x := range st.view.MergeRecords(now, members, suspicions) {
		p.auditMemberChange(x, m.from)
	}
}

// membersResponse returns all member records and suspicions.
func membersResponse(now time.Time, st *state) *pb.FetchMembersResponse {
	members, suspicions := st.view.Records(now)
	return &pb.FetchMembersResponse{
		Members:    membersToProto(members),
		Suspicions: suspicionsToProto(suspicions),
	}
}

// mergeMember merges a member record and records a change.
func (p *Peers) mergeMember(now time.Time, st *state, m *pb.Member, from string) {
	member := memberFromProto(m)
	if st.view.Merge(now, member) {
		p.auditMemberChange(member, from)
	}
}

// recordContact records that an exchange with a peer succeeded.
func (p *Peers) recordContact(now time.Time, st *state, m tarragonwell.Member) {
	if st.view.RecordContact(now, m) {
		p.auditMemberChange(m, m.PeerAddress)
	}
}

// auditMemberChange adds an audit record of a peer that is new, has returned or has
// changed state.
func (p *Peers) auditMemberChange(m tarragonwell.Member, from string) {
	p.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      "peer-" + m.State.String(),
		LearntFrom: from,
		Detail:     m.PeerAddress + " " + m.DataCenter,
	})
}

// logLostPeers logs the peers that are newly lost; see membership.View.DetectLost. Their
// return is recorded as a member change.
func (p *Peers) logLostPeers(st *state) {
	for _, m := range st.view.DetectLost(p.options.Common.Clock.Now()) {
		p.countLoss()
		p.options.Common.Log.Warn("dependency-lost", "dependency", "peer", "peer", m.PeerAddress, "data-center", m.DataCenter, "state", m.State.String())
	}
}
