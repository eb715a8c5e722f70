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

// operateGrace is how much longer than its deadline an operation is waited for.
const operateGrace = 50 * time.Millisecond

// OperationHolder is what the server needs of the operations' task.
type OperationHolder interface {
	DoLocal(ctx context.Context, o *tarragonwell.Operation) tarragonwell.ForwardResponse
	TakeOver(ctx context.Context, h tarragonwell.OperationHandOver) error
}

// PlatformData returns what the instance has in force, for peers to fetch.
type PlatformData interface {
	Rules() *tarragonwell.RuleSet
	// ListSince returns what has changed after a revision, or nil before the
	// first list.
	ListSince(ctx context.Context, revision uint64) (*tarragonwell.ListChange, error)
}

// Server answers peers.
type Server struct {
	Peers *Peers
	// Operations is nil where callers know no tickets.
	Operations   OperationHolder
	PlatformData PlatformData
	// HolderTTL is how long the word that operations were taken over is kept.
	HolderTTL time.Duration
}

var _ tarragonwellv1connect.PeerServiceHandler = (*Server)(nil)

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tarragonwellv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessage)))
	return mux
}

// Exchange takes in a peer's news and answers with the instance's own.
func (s *Server) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	from := ""
	if len(r.Msg.GetMembers()) > 0 {
		from = r.Msg.GetMembers()[0].GetPeerAddress()
	}
	heard := newsOf(r.Msg)
	heard.brief = r.Msg.GetBrief()
	heard.relay = r.Msg.GetRelay()
	heard.relayRoot = r.Msg.GetRelayRoot()
	answer, err := task.Ask(ctx, s.Peers.mailbox, func(reply chan<- news) any {
		return heardMessage{
			from:  from,
			news:  heard,
			reply: reply,
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer.response()), nil
}

// FetchRules returns the rules in force.
func (s *Server) FetchRules(context.Context, *connect.Request[pb.FetchRulesRequest]) (*connect.Response[pb.FetchRulesResponse], error) {
	rules := s.PlatformData.Rules()
	if rules == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	return connect.NewResponse(&pb.FetchRulesResponse{
		Version: versionMessage(rules.Version),
		Content: rules.Content,
	}), nil
}

// FetchList returns what has changed on the platform's list as last read.
func (s *Server) FetchList(ctx context.Context, r *connect.Request[pb.FetchListRequest]) (*connect.Response[pb.FetchListResponse], error) {
	change, err := s.PlatformData.ListSince(ctx, r.Msg.GetSince())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if change == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	return connect.NewResponse(&pb.FetchListResponse{
		Change: listMessage(change),
	}), nil
}

// Operate answers for a ticket that the instance holds.
func (s *Server) Operate(ctx context.Context, r *connect.Request[pb.OperateRequest]) (*connect.Response[pb.OperateResponse], error) {
	if s.Operations == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoOperations)
	}
	o, err := operationOf(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline.Add(operateGrace))
	defer cancel()
	return connect.NewResponse(resultMessage(s.Operations.DoLocal(ctx, o))), nil
}

// HandOver takes over a leaving peer's operations, if the hand-over is meant
// for this incarnation: a copy that reached a former life of this address may
// have been acted on.
func (s *Server) HandOver(ctx context.Context, r *connect.Request[pb.HandOverRequest]) (*connect.Response[pb.HandOverResponse], error) {
	if s.Operations == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoOperations)
	}
	c := s.Peers.options.Common
	if incarnationOf(r.Msg.GetSuccessor()) != c.Incarnation {
		return nil, connect.NewError(connect.CodeAborted, operation.ErrWrongSuccessor)
	}
	h := handOverOf(r.Msg)
	if err := s.Operations.TakeOver(ctx, h); err != nil {
		return nil, connect.NewError(adoptCode(err), err)
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

// errNoOperations means that the instance holds no operations.
var errNoOperations = eris.New("no operations are held here")

// adoptCode tells a refusal, after which the sender may turn to another peer,
// from a failure that leaves open whether the operations were taken over.
func adoptCode(err error) connect.Code {
	if errors.Is(err, operation.ErrClosed) {
		return connect.CodeFailedPrecondition
	}
	return connect.CodeUnknown
}
