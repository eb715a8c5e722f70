package prepared

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	targetSlots = 6
	targetQueue = 12
	healthPath  = "/health"
	// LongSuffix ends the paths of requests that take longWork.
	LongSuffix = "/long"
	longWork   = 1500 * time.Millisecond
)

// Run is one request that a target began to work on.
type Run struct {
	// AttemptID is the caller's id.
	AttemptID string
	Target    string
	StartedAt time.Time
	// EndedAt is when the target stopped working on it; zero while it works.
	EndedAt time.Time
}

// RunLog records the runs of many targets.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

// begin adds a run and returns its place.
func (j *RunLog) begin(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

func (j *RunLog) end(place int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[place].EndedAt = time.Now()
}

// Runs returns a copy.
func (j *RunLog) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Target is the stand-in for a target of the prepared platform. Make it with
// NewTarget.
type Target struct {
	// ID is its identity in the store.
	ID      string
	Address string
	journal *RunLog
	work    time.Duration

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	// broken is the share of requests that are run and not answered.
	broken float64
	slow   float64
	server *http.Server
}

// NewTarget returns a target that does not listen yet.
func NewTarget(id, address string, work time.Duration, j *RunLog) *Target {
	return &Target{
		ID:      id,
		Address: address,
		journal: j,
		work:    work,
		slots:   make(chan struct{}, targetSlots),
		slow:    1,
	}
}

// Start listens and serves until ctx ends.
func (t *Target) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	t.Address = l.Addr().String()
	t.server = &http.Server{
		Handler:  http.HandlerFunc(t.serve),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = t.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = t.server.Close() })
	return nil
}

// SetFaults sets the share of requests whose answer is lost after the run, and how
// many times longer work takes.
func (t *Target) SetFaults(broken, slow float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = broken
	t.slow = max(1, slow)
}

// Body is what every target answers to a call.
func Body(call, path string) []byte {
	digest := sha256.Sum256([]byte(call + path))
	return []byte(hex.EncodeToString(digest[:]) + " " + path)
}

// Seal is the signature of a body.
func Seal(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:8])
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,%d", t.running, t.waiting, targetSlots, int(100*t.slow))
	full := t.running >= targetSlots && t.waiting >= targetQueue
	broken := rand.Float64() < t.broken
	work := time.Duration(float64(t.work) * t.slow * (0.7 + 0.6*rand.Float64()))
	t.mu.Unlock()
	w.Header().Set("Backend-Load", load)
	w.Header().Set("Backend-Id", t.ID)
	if r.URL.Path == healthPath {
		return
	}
	call := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", call)
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case r.Header.Get("Expect-Backend") != t.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !t.take(r.Context()) {
		return
	}
	defer t.give()
	place := t.journal.begin(Run{
		AttemptID: call,
		Target:    t.ID,
		StartedAt: time.Now(),
	})
	defer t.journal.end(place)
	if strings.HasSuffix(r.URL.Path, LongSuffix) {
		work = longWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	body := Body(call, r.URL.Path)
	w.Header().Set("Response-Seal", Seal(body))
	// A caller that has left reads nothing.
	_, _ = w.Write(body)
}

// take waits for a slot, or reports that the caller has left.
func (t *Target) take(ctx context.Context) bool {
	t.count(0, 1)
	defer t.count(0, -1)
	select {
	case t.slots <- struct{}{}:
		t.count(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) give() {
	<-t.slots
	t.count(-1, 0)
}

func (t *Target) count(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}
