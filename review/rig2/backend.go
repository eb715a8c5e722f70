package rig2

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Slots is the number of requests that a backend runs at a time, and queue how many wait.
	Slots = 6
	queue = 12
)

// Run is one request that reached a backend. It was not run if it was refused.
type Run struct {
	ID      string
	Backend string
	Service string
	Reached time.Time
	// Refused is set if the backend said that it did not run the request.
	Refused bool
	// Cut is set if the backend ended before the answer.
	Cut bool
}

// Runs collects what reached the backends.
type Runs struct {
	mu   sync.Mutex
	list []*Run
}

func (r *Runs) add(x *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// All returns what has reached the backends so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, len(r.list))
	for n, x := range r.list {
		out[n] = *x
	}
	return out
}

// Backend is a sound backend.
type Backend struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Work is how long a request takes.
	Work time.Duration
	// BodyBytes is the size of the body of an answer.
	BodyBytes int
	// Link is that of the machine which the answers go to; nil for one without a bound.
	Link *Link

	runs   *Runs
	store  *Store
	born   int64
	server *http.Server
	ctx    context.Context
	slots  chan struct{}

	mu       sync.Mutex
	waiting  int
	sequence int
}

// smallBody is the size in bytes of the body of an answer of StartBackend's backends.
const smallBody = 320

// StartBackend starts a backend on a free loopback port and registers it as ready.
func StartBackend(ctx context.Context, s *Store, runs *Runs, id, service, zone string, work time.Duration) (*Backend, error) {
	return StartLargeBackend(ctx, s, runs, id, service, zone, work, smallBody)
}

// StartLargeBackend is StartBackend with a size of the answers' bodies in bytes.
func StartLargeBackend(ctx context.Context, s *Store, runs *Runs, id, service, zone string, work time.Duration, bodyBytes int) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	b := &Backend{
		ID:        id,
		Service:   service,
		Zone:      zone,
		Address:   l.Addr().String(),
		Work:      work,
		BodyBytes: bodyBytes,
		runs:      runs,
		store:     s,
		born:      time.Now().UnixMilli(),
		ctx:       ctx,
		slots:     make(chan struct{}, Slots),
	}
	b.server = &http.Server{
		Handler:  http.HandlerFunc(b.serve),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	b.server.RegisterOnShutdown(cancel)
	go func() { _ = b.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = b.server.Close() })
	b.Register("ready")
	return b, nil
}

// Register writes the entry with a state, which is ready or draining.
func (b *Backend) Register(state string) {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	b.store.PutJSON("servers/"+b.ID, map[string]any{
		"address": b.Address,
		"born":    b.born,
		"info": map[string]any{
			"service":  b.Service,
			"version":  "v1",
			"zone":     b.Zone,
			"capacity": Slots,
		},
		"status": map[string]any{
			"state":    state,
			"sequence": sequence,
			"coldLeft": "0ms",
		},
	})
}

// End ends the backend: its connections break and its entry is removed.
func (b *Backend) End() {
	_ = b.server.Close()
	b.store.Delete("servers/" + b.ID)
}

// Body returns the body of the answer to an attempt, of the given size.
func Body(id string, size int) string {
	unit := seal(id)
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}

func seal(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:8])
}

func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(b.slots), b.waiting, Slots)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Backend-Load", b.load())
	w.Header().Set("Backend-Id", b.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	run := &Run{
		ID:      id,
		Backend: b.ID,
		Service: b.Service,
		Reached: time.Now(),
	}
	if r.Header.Get("Expect-Backend") != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.acquire(r.Context()) {
		run.Refused = true
		b.runs.add(run)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.runs.add(run)
	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		b.runs.mu.Lock()
		run.Cut = true
		b.runs.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := Body(id, b.BodyBytes)
	w.Header().Set("Response-Seal", seal(body))
	b.write(w, body)
}

// windowBytes is how much of an answer is under way on a link at a time.
const windowBytes = 64 << 10

// write writes the body of an answer, over the link if there is one.
func (b *Backend) write(w http.ResponseWriter, body string) {
	if b.Link == nil {
		_, _ = io.WriteString(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for len(body) > 0 {
		n := min(windowBytes, len(body))
		b.Link.Pass(n)
		// The write fails if the caller has left.
		if _, err := io.WriteString(w, body[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		body = body[n:]
	}
}

// acquire waits for a slot. It returns false if the queue is full or the caller leaves.
func (b *Backend) acquire(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	if b.waiting >= queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
