// Package caller serves callers over HTTP: it routes requests to services
// according to the rules file, and offers the ticket API.
package caller

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/internal/sockets"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

const (
	// resultGrace extends the wait for an operation's result beyond the deadline, so
	// that a result that arrives just at the deadline is still delivered.
	resultGrace = 100 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Common *common.Dependencies
	// Dialect translates callers' headers; nil for the native Dialect.
	Dialect tarragonwell.CallerDialect
	// Operations runs the calls with a ticket; nil if tickets are not offered.
	Operations *operations.Operations
	// CurrentRouting returns the routing in force, or nil before the first rules.
	CurrentRouting func() *Routing
	// RoutingReady is closed once CurrentRouting returns the routing in force. Early
	// requests wait for it, at most until startupWait after the start of the
	// instance. If it is nil, they wait until then.
	RoutingReady <-chan struct{}
	// HTTP2 is set if HTTP/2 without TLS is offered beside HTTP/1.1.
	HTTP2 bool
	// Context ends all calls in progress, which are then answered; nil for none.
	Context context.Context
}

// Server serves callers.
type Server struct {
	options      Options
	dialect      tarragonwell.CallerDialect
	nextCallID   atomic.Uint64
	callIDPrefix string
	headLimits   headLimits
	guard        *sockets.Guard
}

// NewServer returns a server with the given options.
func NewServer(o Options) *Server {
	if o.Dialect == nil {
		o.Dialect = Dialect{}
	}
	s := &Server{
		options:      o,
		dialect:      o.Dialect,
		callIDPrefix: hex.EncodeToString(o.Common.Incarnation[:6]),
	}
	s.guard = s.newGuard()
	return s
}

// HTTP returns an HTTP server for HTTP/1.1 and, if it is offered, HTTP/2 without TLS, to
// be run on a listener of Listen.
func (s *Server) HTTP() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(s.options.HTTP2)
	server := &http.Server{
		Handler: s.limitHTTP2Heads(s.limitBodyTime(s.Handler())),
		// That handler reads a body without a time limit, past the guard.
		DisableGeneralOptionsHandler: true,
		Protocols:                    protocols,
		ReadHeaderTimeout:            headerTimeout,
		// The guard applies the limit in force.
		MaxHeaderBytes: maxHeadBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          http2Streams,
			MaxReadFrameSize:              http2FrameBytes,
			MaxReceiveBufferPerConnection: http2ReceiveBuffer,
			MaxReceiveBufferPerStream:     http2ReceiveBuffer,
		},
		ErrorLog:    s.options.Common.Log.StandardLog(),
		BaseContext: s.baseContext,
	}
	if s.options.HTTP2 {
		// net/http has one limit for both protocols, and the guard does not see HTTP/2 heads.
		server.MaxHeaderBytes = minHeadBytes
	}
	s.guard.Attach(server)
	return server
}

// baseContext returns the context of all requests.
func (s *Server) baseContext(net.Listener) context.Context {
	if s.options.Context == nil {
		return context.Background()
	}
	return s.options.Context
}

// Handler returns the handler for all requests of callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if s.options.Operations != nil {
		r.HandleFunc(PathTickets, s.mintTickets).Methods(http.MethodPost)
		r.HandleFunc(PathOperations+"{ticket}", s.handleOperation).Methods(http.MethodGet, http.MethodDelete)
	}
	r.PathPrefix("/").HandlerFunc(s.proxy)
	return r
}

// proxy routes a request to a service according to the rules file. It handles all
// requests outside the ticket API.
func (s *Server) proxy(w http.ResponseWriter, r *http.Request) {
	if s.options.Common.Drain.Begun() {
		// The caller opens its next connection to another instance.
		w.Header().Set("Connection", "close")
	}
	arrived := s.options.Common.Clock.Now()
	routing := s.awaitRouting(r.Context(), arrived)
	if routing == nil {
		s.rejectTemporarily(w, r, "no rules are in force yet")
		return
	}
	if !isCleanPath(r.URL.Path) {
		s.reject(w, r, tarragonwell.CauseMalformed, "the path has dot segments")
		return
	}
	route := routing.Match(r.Host, r.Method, r.URL.Path)
	if route == nil {
		s.reject(w, r, tarragonwell.CauseNoRoute, "no rule routes this request")
		return
	}
	call, cause, err := s.readCall(w, r, route, s.bodyLimit(routing), arrived)
	if errors.Is(err, errNoMemory) {
		s.rejectTemporarily(w, r, err.Error())
		return
	}
	if err != nil {
		s.reject(w, r, cause, err.Error())
		return
	}
	m := routing.metricsByKind[route.Kind.Name]
	outcome := tarragonwell.OutcomeUnknown
	// A truncated response ends in a panic and is counted as unknown.
	defer func() {
		m.outcomes[outcome].Inc()
		m.seconds.UpdateDuration(arrived)
	}()
	outcome = s.serveCall(w, r, routing, call, arrived)
}

// startupWait is how long after the start of the instance requests wait for the
// first rules. A request that waited longer would probably miss its deadline.
const startupWait = 600 * time.Millisecond

// awaitRouting returns the routing in force. Shortly after the start of the instance
// it waits for the first rules, and returns nil if they don't arrive in time.
func (s *Server) awaitRouting(ctx context.Context, now time.Time) *Routing {
	remaining := startupWait - now.Sub(s.options.Common.Started)
	if r := s.options.CurrentRouting(); r != nil || remaining <= 0 {
		return r
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-s.options.RoutingReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.options.CurrentRouting()
}

// bodyLimit returns the limit on a request's body: that of the rules or, if they set none,
// that of the settings.
func (s *Server) bodyLimit(routing *Routing) int64 {
	if limit := routing.Rules.Limits.RequestBodyBytes; limit > 0 {
		return limit
	}
	return s.options.Common.Settings.MaxRequestBodyBytes
}

// rejectTemporarily rejects a request that may succeed later. The outcome of a
// request with a ticket is reported as unknown: an earlier attempt may have run it,
// and a later one may still run it. The status is 503 in either case, as the request may
// be repeated.
func (s *Server) rejectTemporarily(w http.ResponseWriter, r *http.Request, reason string) {
	defer s.discardBody(w, r)
	s.logRejected(r, reason)
	response := &tarragonwell.LocalResponse{
		Outcome:    tarragonwell.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: rejectRetryAfter,
	}
	if s.ticketText(r) == "" {
		s.writeLocalResponse(w, response)
		return
	}
	response.Outcome = tarragonwell.OutcomeUnknown
	encoded := s.dialect.EncodeLocalResponse(response)
	encoded.Status = http.StatusServiceUnavailable
	writeEncoded(w, encoded)
}

// rejectRetryAfter is the delay after which callers may retry a request that the
// instance couldn't accept.
const rejectRetryAfter = 250 * time.Millisecond

// ticketText returns the ticket in a request's header, or "" if there is none or
// tickets are not offered.
func (s *Server) ticketText(r *http.Request) string {
	if s.options.Operations == nil {
		return ""
	}
	return r.Header.Get(HeaderTicket)
}

// reject ends a request that can't be dispatched. A ticket is first voided at its
// holder: not-run is reported only once the operation can never be run.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, cause tarragonwell.FailureCause, reason string) {
	defer s.discardBody(w, r)
	s.logRejected(r, reason)
	text := s.ticketText(r)
	if text == "" {
		s.writeNotRun(w, cause, reason, 0)
		return
	}
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		s.writeNotRun(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationQueryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:   ticket,
		Verb:     tarragonwell.OperationVoid,
		Deadline: deadline,
	})
	if result.Outcome == tarragonwell.OutcomeNotRun {
		s.writeNotRun(w, cause, reason, 0)
		return
	}
	s.writeStoredResult(w, result)
}

// isCleanPath reports whether a path has neither dot segments nor empty segments; a
// trailing slash is allowed.
func isCleanPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// readCall reads a whole request into a call; its deadline counts from arrived. The
// cause is only valid with an error.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, route *tarragonwell.Route, limit int64, arrived time.Time) (*tarragonwell.Call, tarragonwell.FailureCause, error) {
	// The call owns the request's header from here on, so there is no copy.
	header := r.Header
	header.Set("Host", r.Host)
	call := &tarragonwell.Call{
		ID:         s.callIDPrefix + "-" + strconv.FormatUint(s.nextCallID.Add(1), 36),
		Method:     r.Method,
		RequestURI: r.URL.RequestURI(),
		Header:     header,
		Route:      route,
		Service:    rules.ChooseService(route, rand.Float64()),
		Deadline:   arrived.Add(callTimeout(route)),
	}
	callerIP, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		callerIP = ""
	}
	if err := s.dialect.ParseCallHeader(arrived, callerIP, call); err != nil {
		return nil, tarragonwell.CauseMalformed, err
	}
	body, cause, err := s.readBody(w, r, limit, call.Deadline)
	if err != nil {
		return nil, cause, err
	}
	call.Body = body
	return call, 0, nil
}

// callTimeout returns the time limit of calls on a route: for the whole call or, for
// long kinds, until the first byte of the response.
func callTimeout(r *tarragonwell.Route) time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, r.Kind.Timeout)
	}
	return r.Kind.Timeout
}

// serveCall runs a call to its end, writes the response and returns the outcome. It closes
// the call's body.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call, arrived time.Time) tarragonwell.Outcome {
	closeBody := sync.OnceFunc(call.Body.Close)
	defer closeBody()
	if !call.Route.Kind.Repeatable && s.options.Operations != nil {
		if text := r.Header.Get(HeaderTicket); text != "" {
			r.Header.Del(HeaderTicket)
			return s.runWithTicket(w, r, routing, call, text)
		}
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			return s.requireTicket(w, r, routing)
		}
	}
	result := routing.Dispatchers[call.Service.Name].Dispatch(r.Context(), call)
	s.logCallEnd(r, call, routing, &result, arrived)
	if !call.Route.Kind.Long {
		// No further attempt follows, and a slow reader may take long to read the response.
		closeBody()
	}
	s.writeResult(w, call, result)
	return result.Outcome
}

// runWithTicket runs a call as an operation, at the holder of its ticket.
func (s *Server) runWithTicket(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call, text string) tarragonwell.Outcome {
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		s.writeNotRun(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return tarragonwell.OutcomeNotRun
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline.Add(resultGrace))
	defer cancel()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:      ticket,
		Method:      call.Method,
		RequestURI:  call.RequestURI,
		Header:      call.Header,
		Body:        call.Body,
		Deadline:    call.Deadline,
		RetriesLeft: call.RetriesLeft,
	})
	w.Header().Set(HeaderTicket, text)
	if result.Outcome == tarragonwell.OutcomeNotRun {
		// The ticket is used up, so the response carries a new one if
		// one can be minted.
		s.setNewTicket(w, r, routing)
	}
	s.writeStoredResult(w, result)
	return result.Outcome
}

// requireTicket rejects a request that must not be run twice but that its caller
// intends to repeat. The response, with status 428, carries a ticket
// for repeating it. If no ticket can be minted, the status is 503.
func (s *Server) requireTicket(w http.ResponseWriter, r *http.Request, routing *Routing) tarragonwell.Outcome {
	if !s.setNewTicket(w, r, routing) {
		s.writeNotRun(w, tarragonwell.CauseUnavailable, "too many operations are outstanding", time.Second)
		return tarragonwell.OutcomeNotRun
	}
	encoded := s.dialect.EncodeLocalResponse(&tarragonwell.LocalResponse{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  "repeat the request with the ticket",
	})
	encoded.Status = http.StatusPreconditionRequired
	writeEncoded(w, encoded)
	return tarragonwell.OutcomeNotRun
}

// setNewTicket mints a ticket and sets it in the response's header. It returns false
// if no ticket could be minted.
func (s *Server) setNewTicket(w http.ResponseWriter, r *http.Request, routing *Routing) bool {
	tickets, err := s.options.Operations.Mint(r.Context(), 1, routing.Rules.Fleet.TicketLife)
	if err != nil {
		return false
	}
	w.Header().Set(HeaderTicket, operations.FormatTicket(tickets[0]))
	return true
}
