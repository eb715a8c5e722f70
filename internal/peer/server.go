package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/task"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
)

// operateGrace is how long after an operation's deadline the server still waits for
// the result.
const operateGrace = 50 * time.Millisecond

// OperationHolder runs the operations that the instance holds: those of its own
// incarnation, and those that it took over.
type OperationHolder interface {
	// DoLocal applies an operation's verb and returns the result. It never forwards the
	// operation to another instance: if this one does not hold it, NotHolder is set in
	// the response.
	DoLocal(ctx context.Context, o *tarragonwell.Operation) tarragonwell.ForwardResponse
	// TakeOver takes over the operations of another instance.
	TakeOver(ctx context.Context, h tarragonwell.OperationHandOver) error
}

// PlatformData provides the rules and the platform's list as the instance uses them,
// for peers to fetch.
type PlatformData interface {
	// Rules returns the rules in force, or nil if there are none yet.
	Rules() *tarragonwell.RuleSet
	// ChangesSince returns the changes to the platform's list after a position, with the
	// rules that belong to them if they are newer than the version. The list is nil if
	// there is none yet.
	ChangesSince(ctx context.Context, since tarragonwell.ListPosition, rules tarragonwell.RulesVersion) (tarragonwell.PlatformUpdate, error)
}

// Server serves the requests of peers.
type Server struct {
	Peers *Peers
	// Operations is nil if tickets are not enabled.
	Operations   OperationHolder
	PlatformData PlatformData
	// HolderTTL is how long the Holder record of operations that were taken over is
	// kept.
	HolderTTL time.Duration
}

var _ tarragonwellv1connect.PeerServiceHandler = (*Server)(nil)

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, service := tarragonwellv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, service)
	mux.Handle(tarragonwellv1connect.PeerServiceOperateProcedure, s.accounted(service))
	return mux
}

// operationCopies is the number of copies of an operation's body while it runs: the message
// and the decoded body.
const operationCopies = 2

// accounted returns a handler that reserves memory for a message before it is read. Only
// operations carry bodies of callers; gossip must not fail for lack of memory. The peer
// reports the outcome of an operation that is rejected here as unknown.
func (s *Server) accounted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 || size > maxMessageBytes {
			size = maxMessageBytes
		}
		budget := &s.Peers.options.Common.RequestBytes
		if !budget.Reserve(operationCopies * size) {
			http.Error(w, "no memory for the operation", http.StatusServiceUnavailable)
			return
		}
		defer budget.Release(operationCopies * size)
		next.ServeHTTP(w, r)
	})
}

// Exchange merges a peer's gossip and responds with the instance's own.
func (s *Server) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	// The sender's own record comes first.
	from := ""
	if len(r.Msg.GetMembers()) > 0 {
		from = r.Msg.GetMembers()[0].GetPeerAddress()
	}
	received := gossipFromProto(r.Msg)
	received.brief = r.Msg.GetBrief()
	received.probe = r.Msg.GetProbe()
	received.relay = r.Msg.GetRelay()
	received.relayRoot = r.Msg.GetRelayRoot()
	response, err := task.Ask(ctx, s.Peers.mailbox, func(reply chan<- gossip) any {
		return gossipMessage{
			from:   from,
			gossip: received,
			reply:  reply,
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response.response()), nil
}

// FetchRules responds with the rules in force.
func (s *Server) FetchRules(context.Context, *connect.Request[pb.FetchRulesRequest]) (*connect.Response[pb.FetchRulesResponse], error) {
	rules := s.PlatformData.Rules()
	if rules == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	return connect.NewResponse(&pb.FetchRulesResponse{
		Version: versionToProto(rules.Version),
		Content: rules.Content,
	}), nil
}

// FetchList responds with the changes after a position, from the latest list that the
// instance has, and with the rules in force if the peer has older ones.
func (s *Server) FetchList(ctx context.Context, r *connect.Request[pb.FetchListRequest]) (*connect.Response[pb.FetchListResponse], error) {
	since := tarragonwell.ListPosition{
		Era:      r.Msg.GetEra(),
		Revision: r.Msg.GetSince(),
	}
	update, err := s.PlatformData.ChangesSince(ctx, since, versionFromProto(r.Msg.GetRules()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if update.List == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	response := &pb.FetchListResponse{
		Change:       listChangeToProto(update.List),
		CoversDrains: true,
	}
	if r.Msg.GetRules() != nil {
		response.CoversRules = true
		response.Rules = rulesToProto(update.Rules)
	}
	return connect.NewResponse(response), nil
}

// Operate applies an operation's verb and responds with the result, or with the holder
// of the operation if this instance does not hold it.
func (s *Server) Operate(ctx context.Context, r *connect.Request[pb.OperateRequest]) (*connect.Response[pb.OperateResponse], error) {
	if s.Operations == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errTicketsDisabled)
	}
	o, err := operationFromProto(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline.Add(operateGrace))
	defer cancel()
	return connect.NewResponse(forwardResponseToProto(s.Operations.DoLocal(ctx, o))), nil
}

// HandOver takes over the operations of a leaving peer if the hand-over is addressed
// to this incarnation. Otherwise it fails with CodeAborted, which leaves open whether
// the operations were taken over: an earlier incarnation at the same address may have
// received a copy of the hand-over and acted on it.
func (s *Server) HandOver(ctx context.Context, r *connect.Request[pb.HandOverRequest]) (*connect.Response[pb.HandOverResponse], error) {
	if s.Operations == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errTicketsDisabled)
	}
	c := s.Peers.options.Common
	if incarnationFromProto(r.Msg.GetSuccessor()) != c.Incarnation {
		return nil, connect.NewError(connect.CodeAborted, operation.ErrWrongSuccessor)
	}
	h := handOverFromProto(r.Msg)
	if err := s.Operations.TakeOver(ctx, h); err != nil {
		return nil, connect.NewError(takeOverErrorCode(err), err)
	}
	c.RecordChange(tarragonwell.AuditRecord{
		Event:      "operations-taken-over",
		LearntFrom: "peer",
		Detail:     h.Incarnation.String(),
	})
	s.Peers.AnnounceHolder(tarragonwell.Holder{
		Incarnation: h.Incarnation,
		PeerAddress: c.Settings.PeerAddress,
		Generation:  h.Generation,
		ExpiresAt:   c.Clock.Now().Add(s.HolderTTL),
	})
	return connect.NewResponse(&pb.HandOverResponse{}), nil
}

// ProbeMember exchanges gossip with another instance on behalf of a peer, within the traffic
// limit of rounds.
func (s *Server) ProbeMember(ctx context.Context, r *connect.Request[pb.ProbeMemberRequest]) (*connect.Response[pb.ProbeMemberResponse], error) {
	if !s.Peers.IsMember(r.Msg.GetPeerAddress()) {
		return nil, connect.NewError(connect.CodeNotFound, errUnknownMember)
	}
	member, err := s.Peers.probeFor(ctx, r.Msg.GetPeerAddress(), incarnationFromProto(r.Msg.GetIncarnation()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pb.ProbeMemberResponse{
		Member: member,
	}), nil
}

// errUnknownMember means that no member with a peer address is known.
var errUnknownMember = eris.New("no such member is known")

// FetchMembers responds with all member records.
func (s *Server) FetchMembers(ctx context.Context, _ *connect.Request[pb.FetchMembersRequest]) (*connect.Response[pb.FetchMembersResponse], error) {
	response, err := task.Ask(ctx, s.Peers.mailbox, func(reply chan<- *pb.FetchMembersResponse) any {
		return membersRequest{
			reply: reply,
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// errTicketsDisabled means that tickets are not enabled on this instance.
var errTicketsDisabled = eris.New("no operations are held here")

// takeOverErrorCode distinguishes a declined hand-over, after which the sender may try
// another peer, from a failure that leaves open whether the operations were taken
// over.
func takeOverErrorCode(err error) connect.Code {
	if errors.Is(err, operation.ErrClosed) {
		return connect.CodeFailedPrecondition
	}
	return connect.CodeUnknown
}
