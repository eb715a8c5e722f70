// Package target is a stand-in for a target, with slots, a bounded queue, load
// reports and injected faults. It records each run, so that a history of calls
// can be checked against the runs.
package target

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request headers of the tests, besides those of the system.
const (
	// HeaderTestOperation identifies an operation independently of any ticket.
	HeaderTestOperation = "Test-Operation"
	// HeaderTestRequest is echoed in the body, so that a caller can verify that
	// the response belongs to its request.
	HeaderTestRequest = "Test-Request"
)

// Behaviour configures a stand-in and its faults. It can be changed at run time.
type Behaviour struct {
	// Slots is the number of calls that run at the same time.
	Slots int `json:"slots"`
	// Queue is the number of calls that may wait; the target sheds those above.
	Queue int `json:"queue"`
	// Connections is the maximum of open connections; 0 is no limit.
	Connections int `json:"connections"`
	// ServiceMs is the mean service time of a short call.
	ServiceMs float64 `json:"service-ms"`
	// LongBytes and LongMs are the size and the duration of a long response.
	LongBytes int     `json:"long-bytes"`
	LongMs    float64 `json:"long-ms"`
	// ProbeMs is the duration of a load probe.
	ProbeMs float64 `json:"probe-ms"`
	// DelayMs is the simulated one-way network delay.
	DelayMs float64 `json:"delay-ms"`
	// Slowdown is a factor on the times of short and long responses; values below
	// 1 count as 1.
	Slowdown float64 `json:"slow"`
	// Noisy simulates a noisy neighbour, which slows the target down by several
	// times for some tens of milliseconds, at random intervals.
	Noisy bool `json:"noisy"`
	// ColdMs is how long the target is slow after its start.
	ColdMs float64 `json:"cold-ms"`
	// Draining rejects every call and reports the state as draining.
	Draining bool `json:"draining"`
	// Shedding rejects every call.
	Shedding bool `json:"shedding"`
	// FailFast responds with status 500 immediately.
	FailFast bool `json:"fail-fast"`
	// UnderreportLoad reports no running and no waiting calls.
	UnderreportLoad bool `json:"lie"`
	// Frozen delays all responses until the flag is cleared.
	Frozen bool `json:"frozen"`
	// CloseAfterRun is the share of short calls that run and whose connection is
	// then closed without a response.
	CloseAfterRun float64 `json:"close-after-run"`
	// TruncatedResponses is the share of responses whose connection is closed
	// halfway through the body.
	TruncatedResponses float64 `json:"truncate"`
	// MismatchedResponses is the share of short responses that carry the ID and
	// the body of another request.
	MismatchedResponses float64 `json:"swap"`
	// Chunked omits the Content-Length of responses.
	Chunked bool `json:"chunked"`
}

// Run is one call that the target ran.
type Run struct {
	Target string `json:"target"`
	// Operation is the value of HeaderTestOperation.
	Operation string `json:"operation"`
	// RequestID is the value of the Tarragonwell-Request-Id header.
	RequestID string `json:"request"`
	// Kind is "short" or "long".
	Kind      string `json:"kind"`
	UnixMicro int64  `json:"unix-micro"`
}

// Target is one stand-in, created by New.
type Target struct {
	// Address is the listening address; a port of 0 is replaced by Start.
	Address string
	started time.Time

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	// waiting is the queue for slots; a call's channel is closed when it is
	// granted one.
	waiting []chan struct{}
	runs    []Run
	// probes holds the times of all load probes, in Unix microseconds.
	probes []int64
	// arrivals holds the times of all calls without load probes, in Unix
	// microseconds.
	arrivals []int64
	// thaw is closed when a frozen target resumes; nil if it is not frozen.
	thaw   chan struct{}
	random *rand.Rand
	noise  noiseProcess
	server *http.Server
}

// New returns a stand-in that is not yet listening.
func New(address string, b Behaviour, seed uint64) *Target {
	return &Target{
		Address:   address,
		started:   time.Now(),
		behaviour: b,
		random:    rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Start listens and serves until ctx ends.
func (t *Target) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	t.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /standin/runs", t.listRuns)
	mux.HandleFunc("GET /standin/probes", t.listProbes)
	mux.HandleFunc("POST /standin/behaviour", t.setBehaviour)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	limited := &limitedListener{
		Listener: l,
		limit:    func() int { return t.Behaviour().Connections },
	}
	go func() { _ = t.server.Serve(limited) }()
	context.AfterFunc(ctx, func() { _ = t.server.Close() })
	return nil
}

// Stop closes the listener and all connections.
func (t *Target) Stop() {
	_ = t.server.Close()
}

// Behaviour returns a copy of the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// UpdateBehaviour changes the behaviour in place.
func (t *Target) UpdateBehaviour(update func(*Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.behaviour)
	if t.behaviour.Frozen && t.thaw == nil {
		t.thaw = make(chan struct{})
	}
	if !t.behaviour.Frozen && t.thaw != nil {
		close(t.thaw)
		t.thaw = nil
	}
}

// Runs returns a copy of the runs so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Probes returns the times of the load probes so far.
func (t *Target) Probes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]time.Time, 0, len(t.probes))
	for _, p := range t.probes {
		out = append(out, time.UnixMicro(p))
	}
	return out
}

// CountArrivalsAfter returns the number of calls that arrived after a time.
func (t *Target) CountArrivalsAfter(limit time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.arrivals {
		if a > limit.UnixMicro() {
			n++
		}
	}
	return n
}

// waitWhileFrozen waits until the target is no longer frozen or ctx ends.
func (t *Target) waitWhileFrozen(ctx context.Context) {
	t.mu.Lock()
	thaw := t.thaw
	t.mu.Unlock()
	if thaw == nil {
		return
	}
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}

// serveLoad responds to a load probe.
func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.probes = append(t.probes, time.Now().UnixMicro())
	b := t.behaviour
	t.mu.Unlock()
	t.waitWhileFrozen(r.Context())
	sleep(r.Context(), ms(b.ProbeMs+2*b.DelayMs))
	t.mu.Lock()
	running, waiting := t.running, len(t.waiting)
	t.mu.Unlock()
	if b.UnderreportLoad {
		running, waiting = 0, 0
	}
	state := "serving"
	if b.Draining {
		state = "draining"
	}
	writeJSON(w, map[string]any{
		"running": running,
		"waiting": waiting,
		"slots":   b.Slots,
		"state":   state,
	})
}

func (t *Target) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Runs())
}

func (t *Target) listProbes(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	probes := append([]int64(nil), t.probes...)
	t.mu.Unlock()
	writeJSON(w, probes)
}

// setBehaviour sets the fields that the request contains and keeps the others.
func (t *Target) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var err error
	t.UpdateBehaviour(func(b *Behaviour) {
		err = json.NewDecoder(r.Body).Decode(b)
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, t.Behaviour())
}

func writeJSON(w http.ResponseWriter, v any) {
	content, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

func ms(x float64) time.Duration {
	return time.Duration(x * float64(time.Millisecond))
}

// sleep waits for d, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Running returns the number of calls that hold a slot.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
