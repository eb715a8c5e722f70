// Package target is a stand-in for a target: slots, a bounded queue, load
// reports that can lie, and the faults that targets have. It records each run,
// so that a history can be checked.
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

// Headers that the stand-in speaks besides the system's own.
const (
	// HeaderTestOperation names an operation independently of any ticket.
	HeaderTestOperation = "Test-Operation"
	// HeaderTestRequest is echoed in the body, so that a caller can tell its own
	// answer.
	HeaderTestRequest = "Test-Request"
)

// Behaviour is what a stand-in does; it can be changed while it runs.
type Behaviour struct {
	Slots int `json:"slots"`
	// Queue is how many calls wait before the target sheds.
	Queue       int `json:"queue"`
	Connections int `json:"connections"`
	// ServiceMs is the mean time of a short call.
	ServiceMs float64 `json:"service-ms"`
	// LongBytes and LongMs are the size and time of a long answer.
	LongBytes int     `json:"long-bytes"`
	LongMs    float64 `json:"long-ms"`
	// ProbeMs is the time that a probe takes.
	ProbeMs float64 `json:"probe-ms"`
	// DelayMs is the network's time, one way.
	DelayMs float64 `json:"delay-ms"`
	// Slowdown multiplies all times; 0 counts as 1.
	Slowdown float64 `json:"slow"`
	// Noisy makes the target several times slower for a few milliseconds now and
	// then.
	Noisy bool `json:"noisy"`
	// ColdMs is how long a cold target is slow after its start.
	ColdMs   float64 `json:"cold-ms"`
	Draining bool    `json:"draining"`
	// Shedding refuses every call.
	Shedding bool `json:"shedding"`
	// FailFast answers 500 at once.
	FailFast bool `json:"fail-fast"`
	// UnderreportLoad reports no load.
	UnderreportLoad bool `json:"lie"`
	// Frozen answers nothing until it is thawed.
	Frozen bool `json:"frozen"`
	// CloseAfterRun is the share of calls that run and then close the connection
	// without an answer.
	CloseAfterRun float64 `json:"close-after-run"`
	// TruncatedResponses is the share of answers that break off in the middle.
	TruncatedResponses float64 `json:"truncate"`
	// MismatchedResponses is the share of answers that carry another request's id and body.
	MismatchedResponses float64 `json:"swap"`
	// Chunked leaves out the length of answers.
	Chunked bool `json:"chunked"`
}

// Run is one call that the target ran.
type Run struct {
	Target string `json:"target"`
	// Operation is the test's own name for it.
	Operation string `json:"operation"`
	RequestID string `json:"request"`
	Kind      string `json:"kind"`
	UnixMicro int64  `json:"unix-micro"`
}

// Target is one stand-in. Make it with New.
type Target struct {
	Address string
	started time.Time

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	waiting   []chan struct{}
	runs      []Run
	probes    []int64
	// arrivals holds the times of all calls, probes left out.
	arrivals []int64
	// thaw is closed when a frozen target goes on.
	thaw   chan struct{}
	random *rand.Rand
	speed  speedProcess
	server *http.Server
}

// New returns a stand-in that does not listen yet.
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
	mux.HandleFunc("GET /load", t.load)
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

// Behaviour returns a copy.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// UpdateBehaviour alters the behaviour.
func (t *Target) UpdateBehaviour(alter func(*Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alter(&t.behaviour)
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

// Probes returns the times of the probes so far.
func (t *Target) Probes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]time.Time, 0, len(t.probes))
	for _, p := range t.probes {
		out = append(out, time.UnixMicro(p))
	}
	return out
}

// CountArrivalsAfter counts the calls that arrived after a time.
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

// frozen waits while the target is frozen.
func (t *Target) frozen(ctx context.Context) {
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

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.probes = append(t.probes, time.Now().UnixMicro())
	b := t.behaviour
	t.mu.Unlock()
	t.frozen(r.Context())
	pause(r.Context(), ms(b.ProbeMs+2*b.DelayMs))
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

// setBehaviour takes the fields that the request names and keeps the others.
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

// pause waits, and reports whether the whole time has passed.
func pause(ctx context.Context, d time.Duration) bool {
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

// Running counts the calls that hold a slot now.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
