// Package caller speaks HTTP to callers.
package caller

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// operationGrace is how much longer than its deadline an operation's result
	// is waited for.
	operationGrace = 100 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Common *common.Dependencies
	// Dialect is how callers are spoken to; nil for the system's own.
	Dialect tarragonwell.CallerDialect
	// Operations is nil where callers know no tickets.
	Operations *operations.Operations
	// Routing returns what is in force, or nil before the first rules.
	Routing func() *Routing
	// RoutingReady is closed once Routing returns what is in force. Requests that come
	// shortly after the start wait for it; nil for none.
	RoutingReady <-chan struct{}
	// Leaving reports whether connections are to be given up.
	Leaving func() bool
}

// Server answers callers.
type Server struct {
	options Options
	dialect tarragonwell.CallerDialect
	nextID  atomic.Uint64
	prefix  string
	// held counts the bytes of request bodies in hand.
	held atomic.Int64
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	if o.Dialect == nil {
		o.Dialect = Dialect{}
	}
	return &Server{
		options: o,
		dialect: o.Dialect,
		prefix:  hex.EncodeToString(o.Common.Incarnation[:6]),
	}
}

// HTTP returns the HTTP server for a listener, for HTTP/1.1 and HTTP/2 without
// TLS.
func (s *Server) HTTP() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.options.Common.Log.StandardLog(),
	}
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if s.options.Operations != nil {
		r.HandleFunc(PathTickets, s.mint).Methods(http.MethodPost)
		r.HandleFunc(PathOperations+"{ticket}", s.operation).Methods(http.MethodGet, http.MethodDelete)
	}
	r.PathPrefix("/").HandlerFunc(s.pass)
	return r
}

// pass serves a request that the rules route.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) {
	if s.options.Leaving() {
		w.Header().Set("Connection", "close")
	}
	arrived := s.options.Common.Clock.Now()
	routing := s.routing(r.Context(), arrived)
	if routing == nil {
		s.notNow(w, r, "no rules are in force yet")
		return
	}
	limit := s.bodyLimit(routing, r)
	release, ok := s.reserve(r, limit)
	if !ok {
		s.notNow(w, r, "too many requests are in hand")
		return
	}
	defer release()
	if !cleanPath(r.URL.Path) {
		s.refuse(w, r, tarragonwell.CauseMalformed, "the path has dot segments")
		return
	}
	route := routing.Match(r.Host, r.Method, r.URL.Path)
	if route == nil {
		s.refuse(w, r, tarragonwell.CauseNoRoute, "no rule routes this request")
		return
	}
	call, cause, err := s.call(r, route, limit, arrived)
	if err != nil {
		s.refuse(w, r, cause, err.Error())
		return
	}
	m := routing.meters[route.Kind.Name]
	outcome := tarragonwell.OutcomeUnknown
	// An answer that breaks off leaves through a panic and counts as unknown.
	defer func() {
		m.outcomes[outcome].Inc()
		m.seconds.UpdateDuration(arrived)
	}()
	outcome = s.serve(w, r, routing, call, arrived)
}

// startWait is how long after the start of the instance requests wait for it to
// learn what is in force. After that it is unlikely that they could be served in
// time.
const startWait = 600 * time.Millisecond

// routing returns what is in force. It waits for the first rules where the
// instance has only just started, and returns nil where they do not come.
func (s *Server) routing(ctx context.Context, now time.Time) *Routing {
	left := startWait - now.Sub(s.options.Common.Started)
	if r := s.options.Routing(); r != nil || left <= 0 {
		return r
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.options.RoutingReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.options.Routing()
}

// reserve makes room for a request's body, so that the memory for bodies stays
// bounded whatever callers send.
func (s *Server) reserve(r *http.Request, limit int64) (release func(), ok bool) {
	size := limit
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	release = func() { s.held.Add(-size) }
	if s.held.Add(size) > s.options.Common.Settings.MaxBufferedRequestBytes {
		release()
		return nil, false
	}
	return release, true
}

// bodyLimit is the rules' limit on a request's body, or else the settings'. Room
// is reserved ahead, so a body without a length gets the lower of the two.
func (s *Server) bodyLimit(routing *Routing, r *http.Request) int64 {
	usual := s.options.Common.Settings.MaxRequestBodyBytes
	limit := routing.Rules.Limits.RequestBodyBytes
	switch {
	case limit <= 0:
		return usual
	case r.ContentLength < 0:
		return min(limit, usual)
	default:
		return limit
	}
}

// notNow refuses a request for now. One with a ticket may have been run by an
// earlier attempt, and may be run by a later one.
func (s *Server) notNow(w http.ResponseWriter, r *http.Request, reason string) {
	s.logTurnedAway(r, reason)
	refusal := &tarragonwell.LocalResponse{
		Outcome:    tarragonwell.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: notReadyRetryAfter,
	}
	if s.ticketOf(r) == "" {
		s.write(w, refusal)
		return
	}
	refusal.Outcome = tarragonwell.OutcomeUnknown
	encoded := s.dialect.EncodeLocalResponse(refusal)
	encoded.Status = http.StatusServiceUnavailable
	writeEncoded(w, encoded)
}

// notReadyRetryAfter is when an instance that can't take a request may be able
// to.
const notReadyRetryAfter = 250 * time.Millisecond

// ticketOf returns the ticket that a request brings, or "".
func (s *Server) ticketOf(r *http.Request) string {
	if s.options.Operations == nil {
		return ""
	}
	return r.Header.Get(HeaderTicket)
}

// refuse ends a request that can't be passed on. One with a ticket is settled
// by its home: not-run is told only once the ticket can never be run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, cause tarragonwell.FailureCause, reason string) {
	s.logTurnedAway(r, reason)
	text := s.ticketOf(r)
	if text == "" {
		s.writeRefusal(w, cause, reason, 0)
		return
	}
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		s.writeRefusal(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:   ticket,
		Verb:     tarragonwell.OperationVoid,
		Deadline: deadline,
	})
	if result.Outcome == tarragonwell.OutcomeNotRun {
		s.writeRefusal(w, cause, reason, 0)
		return
	}
	s.writeStored(w, result)
}

func cleanPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// call reads a request whole that arrived at a time. The cause is set with an
// error.
func (s *Server) call(r *http.Request, route *tarragonwell.Route, limit int64, arrived time.Time) (*tarragonwell.Call, tarragonwell.FailureCause, error) {
	// The request is the call's own from here on.
	header := r.Header
	header.Set("Host", r.Host)
	call := &tarragonwell.Call{
		ID:       s.prefix + "-" + strconv.FormatUint(s.nextID.Add(1), 36),
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Header:   header,
		Route:    route,
		Service:  rules.ChooseService(route, rand.Float64()),
		Deadline: arrived.Add(bound(route)),
	}
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = ""
	}
	if err := s.dialect.ReadCall(arrived, client, call); err != nil {
		return nil, tarragonwell.CauseMalformed, err
	}
	call.Body, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, tarragonwell.CauseTooLarge, eris.Errorf("the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, tarragonwell.CauseMalformed, eris.New("the body broke off")
	}
	return call, 0, nil
}

// bound is the longest time that a call on a route may take.
func bound(r *tarragonwell.Route) time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, r.Kind.Deadline)
	}
	return r.Kind.Deadline
}

// serve brings the call to its end and tells the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call, begin time.Time) tarragonwell.Outcome {
	if !call.Route.Kind.Repeatable && s.options.Operations != nil {
		if text := r.Header.Get(HeaderTicket); text != "" {
			r.Header.Del(HeaderTicket)
			return s.withTicket(w, r, routing, call, text)
		}
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			return s.askForTicket(w, r, routing)
		}
	}
	result := routing.Dispatchers[call.Service.Name].Dispatch(r.Context(), call)
	s.logEnd(r, call, routing, &result, begin)
	s.tell(w, call, result)
	return result.Outcome
}

// withTicket runs an operation at the home of its ticket.
func (s *Server) withTicket(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call, text string) tarragonwell.Outcome {
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		s.writeRefusal(w, tarragonwell.CauseMalformed, err.Error(), 0)
		return tarragonwell.OutcomeNotRun
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline.Add(operationGrace))
	defer cancel()
	result := s.options.Operations.Do(ctx, &tarragonwell.Operation{
		Ticket:      ticket,
		Method:      call.Method,
		Path:        call.Path,
		Header:      call.Header,
		Body:        call.Body,
		Deadline:    call.Deadline,
		RetriesLeft: call.RetriesLeft,
	})
	w.Header().Set(HeaderTicket, text)
	if result.Outcome == tarragonwell.OutcomeNotRun {
		// The ticket is spent; here is the next.
		s.addTicket(w, r, routing)
	}
	s.writeStored(w, result)
	return result.Outcome
}

// askForTicket refuses a request that must not repeat and whose caller means to
// repeat it, with the ticket to do so.
func (s *Server) askForTicket(w http.ResponseWriter, r *http.Request, routing *Routing) tarragonwell.Outcome {
	if !s.addTicket(w, r, routing) {
		s.writeRefusal(w, tarragonwell.CauseUnavailable, "too many operations are outstanding", time.Second)
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

func (s *Server) addTicket(w http.ResponseWriter, r *http.Request, routing *Routing) bool {
	tickets, err := s.options.Operations.Mint(r.Context(), 1, routing.Rules.Fleet.TicketLife)
	if err != nil {
		return false
	}
	w.Header().Set(HeaderTicket, operations.FormatTicket(tickets[0]))
	return true
}
