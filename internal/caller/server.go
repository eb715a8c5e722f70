// Package caller speaks HTTP to callers.
package caller

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// defaultRetries is the retry budget of a call that brings none.
	defaultRetries = 1
	// maxRetries bounds the budget that a caller may bring.
	maxRetries     = 3
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// operationGrace is how much longer than its deadline an operation's result
	// is waited for.
	operationGrace = 100 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Common     *common.Common
	Operations *operations.Operations
	// Routing returns what is in force, or nil before the first rules.
	Routing func() *Routing
	// Leaving reports whether connections are to be given up.
	Leaving func() bool
}

// Server answers callers.
type Server struct {
	options Options
	nextID  atomic.Uint64
	prefix  string
	// held counts the bytes of request bodies in hand.
	held atomic.Int64
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	return &Server{
		options: o,
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
	r.HandleFunc(PathTickets, s.mint).Methods(http.MethodPost)
	r.HandleFunc(PathOperations+"{ticket}", s.operation).Methods(http.MethodGet, http.MethodDelete)
	r.PathPrefix("/").HandlerFunc(s.pass)
	return r
}

// pass serves a request that the rules route.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) {
	if s.options.Leaving() {
		w.Header().Set("Connection", "close")
	}
	routing := s.options.Routing()
	if routing == nil {
		s.notNow(w, r, "no rules are in force yet")
		return
	}
	release, ok := s.reserve(r)
	if !ok {
		s.notNow(w, r, "too many requests are in hand")
		return
	}
	defer release()
	if !cleanPath(r.URL.Path) {
		s.refuse(w, r, http.StatusBadRequest, "the path has dot segments")
		return
	}
	route := routing.Match(r.Method, r.URL.Path)
	if route == nil {
		s.refuse(w, r, http.StatusNotFound, "no rule routes this request")
		return
	}
	call, status, reason := s.call(r, route)
	if call == nil {
		s.refuse(w, r, status, reason)
		return
	}
	begin := s.options.Common.Clock.Now()
	m := routing.meters[route.Kind.Name]
	outcome := tarragonwell.OutcomeUnknown
	// An answer that breaks off leaves through a panic and counts as unknown.
	defer func() {
		m.outcomes[outcome].Inc()
		m.seconds.UpdateDuration(begin)
	}()
	outcome = s.serve(w, r, routing, call)
}

// reserve makes room for a request's body, so that the memory for bodies stays
// bounded whatever callers send.
func (s *Server) reserve(r *http.Request) (release func(), ok bool) {
	size := s.options.Common.Settings.RequestBodyBytes
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	release = func() { s.held.Add(-size) }
	if s.held.Add(size) > s.options.Common.Settings.HeldRequestBytes {
		release()
		return nil, false
	}
	return release, true
}

// notNow refuses a request for now. One with a ticket may have been run by an
// earlier attempt, and may be run by a later one.
func (s *Server) notNow(w http.ResponseWriter, r *http.Request, reason string) {
	outcome := tarragonwell.OutcomeNotRun
	if r.Header.Get(HeaderTicket) != "" {
		outcome = tarragonwell.OutcomeUnknown
	}
	writeOutcome(w, outcome, http.StatusServiceUnavailable, reason, time.Second)
}

// refuse ends a request that can't be passed on. One with a ticket is settled
// by its home: not-run is told only once the ticket can never be run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	text := r.Header.Get(HeaderTicket)
	if text == "" {
		writeRefusal(w, status, reason, 0)
		return
	}
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error(), 0)
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
		writeRefusal(w, status, reason, 0)
		return
	}
	writeStored(w, result)
}

func cleanPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// call reads a request whole.
func (s *Server) call(r *http.Request, route *tarragonwell.Route) (call *tarragonwell.Call, status int, reason string) {
	limit := s.options.Common.Settings.RequestBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
	}
	if err != nil {
		return nil, http.StatusBadRequest, "the body broke off"
	}
	// The request is the call's own from here on.
	header := r.Header
	header.Set("Host", r.Host)
	if client, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", client)
	}
	return &tarragonwell.Call{
		ID:          s.prefix + "-" + strconv.FormatUint(s.nextID.Add(1), 36),
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		Header:      header,
		Body:        body,
		Route:       route,
		Deadline:    s.deadline(r, route.Kind),
		RetriesLeft: retriesLeft(r),
	}, 0, ""
}

// deadline is the kind's, or the caller's where that is earlier.
func (s *Server) deadline(r *http.Request, k *tarragonwell.Kind) time.Time {
	d := s.options.Common.Clock.Now().Add(k.Deadline)
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	if err != nil {
		return d
	}
	// Keep the monotonic reading: the wall clock may jump.
	left := time.UnixMilli(ms).Sub(s.options.Common.Clock.Now().Round(0))
	return s.options.Common.Clock.Now().Add(min(k.Deadline, left))
}

func retriesLeft(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(target.HeaderRetriesLeft))
	if err != nil {
		return defaultRetries
	}
	return max(0, min(maxRetries, n))
}

// serve brings the call to its end and tells the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call) tarragonwell.Outcome {
	if !call.Route.Kind.Repeatable {
		if text := r.Header.Get(HeaderTicket); text != "" {
			r.Header.Del(HeaderTicket)
			return s.withTicket(w, r, routing, call, text)
		}
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			return s.askForTicket(w, r, routing)
		}
	}
	result := routing.Dispatchers[call.Route.Service.Name].Dispatch(r.Context(), call)
	s.tell(w, call, result)
	return result.Outcome
}

// withTicket runs an operation at the home of its ticket.
func (s *Server) withTicket(w http.ResponseWriter, r *http.Request, routing *Routing, call *tarragonwell.Call, text string) tarragonwell.Outcome {
	ticket, err := operations.ParseTicket(text)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error(), 0)
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
	writeStored(w, result)
	return result.Outcome
}

// askForTicket refuses a request that must not repeat and whose caller means to
// repeat it, with the ticket to do so.
func (s *Server) askForTicket(w http.ResponseWriter, r *http.Request, routing *Routing) tarragonwell.Outcome {
	if !s.addTicket(w, r, routing) {
		writeRefusal(w, http.StatusServiceUnavailable, "too many operations are outstanding", time.Second)
		return tarragonwell.OutcomeNotRun
	}
	writeRefusal(w, http.StatusPreconditionRequired, "repeat the request with the ticket", 0)
	return tarragonwell.OutcomeNotRun
}

func (s *Server) addTicket(w http.ResponseWriter, r *http.Request, routing *Routing) bool {
	tickets, err := s.options.Operations.Mint(r.Context(), 1, routing.Rules.Fleet.TicketLife)
	if err != nil {
		return false
	}
	w.Header().Set(HeaderTicket, operations.TicketText(tickets[0]))
	return true
}
