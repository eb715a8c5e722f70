// Package operator serves operators, the people who run the fleet: health and
// readiness checks, metrics, an HTML page and a read-only administration API.
package operator

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/tarragonwell/tarragonwell/internal/audit"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// InstanceState provides the state of an instance that operators may read.
type InstanceState interface {
	Status(ctx context.Context) *pb.StatusResponse
	// Rules returns the rules in force, or nil.
	Rules() *tarragonwell.RuleSet
	// Drains returns the data centres that are out of service.
	Drains() []*pb.DrainStatus
	// Ready reports whether the instance should receive calls.
	Ready() bool
}

// Server handles the requests of operators.
type Server struct {
	metrics *metrics.Set
	trail   *audit.Trail
	state   InstanceState
}

var _ tarragonwellv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a server of the given metrics, audit trail and state.
func NewServer(m *metrics.Set, t *audit.Trail, s InstanceState) *Server {
	return &Server{
		metrics: m,
		trail:   t,
		state:   s,
	}
}

// Handler returns the handler for all requests of operators.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	prefix, handler := tarragonwellv1connect.NewOperatorServiceHandler(s)
	r.PathPrefix(prefix).Handler(handler)
	r.HandleFunc("/healthz", s.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.serveReadiness).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	r.HandleFunc("/", s.servePage).Methods(http.MethodGet)
	return r
}

// ReadinessHandler returns a handler that serves the readiness check on every path
// and nothing else.
func ReadinessHandler(s InstanceState) http.Handler {
	return http.HandlerFunc((&Server{
		state: s,
	}).serveReadiness)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.state.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Status returns the status of the instance.
func (s *Server) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(s.state.Status(ctx)), nil
}

// Rules returns the rules file in force.
func (s *Server) Rules(context.Context, *connect.Request[pb.RulesRequest]) (*connect.Response[pb.RulesResponse], error) {
	set := s.state.Rules()
	if set == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	return connect.NewResponse(&pb.RulesResponse{
		Revision: set.Version.Revision,
		Digest:   formatDigest(set.Version),
		Content:  set.Content,
	}), nil
}

// Explain returns the rules that apply to a request.
func (s *Server) Explain(_ context.Context, r *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	set := s.state.Rules()
	if set == nil {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	response := NewExplainResponse(set, r.Msg)
	response.Drains = s.state.Drains()
	return connect.NewResponse(response), nil
}

// NewExplainResponse returns the rules that apply to a request, and the drains that the
// rules contain, as an API response. The command explain also uses it, on a rules file
// without an instance.
func NewExplainResponse(set *tarragonwell.RuleSet, r *pb.ExplainRequest) *pb.ExplainResponse {
	lines := rules.Explain(set, r.GetHost(), r.GetMethod(), r.GetPath())
	response := &pb.ExplainResponse{
		Found:    len(lines) > 0,
		Revision: set.Version.Revision,
		Drains:   DrainsToProto(drains.Combine(nil, set.DataCenters), nil),
	}
	for _, l := range lines {
		response.Rules = append(response.Rules, &pb.RuleInForce{
			Line:    uint32(l.Number),
			Text:    l.Text,
			AskedBy: l.AskedBy,
		})
	}
	return response
}

// Audit sends the retained audit records and, if the request follows the trail, each
// new one until the client disconnects. If the client lags too far behind, the stream
// ends without an error.
func (s *Server) Audit(ctx context.Context, r *connect.Request[pb.AuditRequest], stream *connect.ServerStream[pb.AuditResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	retained, updates, err := s.trail.Follow(ctx)
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	for _, x := range retained {
		if err := stream.Send(auditResponse(x)); err != nil {
			return err
		}
	}
	if !r.Msg.GetFollow() {
		return nil
	}
	for x := range updates {
		if err := stream.Send(auditResponse(x)); err != nil {
			return err
		}
	}
	return nil
}

func auditResponse(r tarragonwell.AuditRecord) *pb.AuditResponse {
	return &pb.AuditResponse{
		Record: &pb.AuditRecord{
			Sequence:   r.Sequence,
			TimeUnixMs: r.Time.UnixMilli(),
			Instance:   r.Instance,
			Event:      r.Event,
			Revision:   r.Revision,
			AskedBy:    r.AskedBy,
			LearntFrom: r.LearntFrom,
			Detail:     r.Detail,
		},
	}
}
