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
	// LongSuffix ends the paths of requests that take longWorkTime.
	LongSuffix   = "/long"
	longWorkTime = 1500 * time.Millisecond
)

// Run is one request that a target started to execute.
type Run struct {
	// AttemptID is the value of the request's Attempt-Id header.
	AttemptID string
	// Target is the target's ID.
	Target    string
	StartedAt time.Time
	// EndedAt is when the execution ended; zero while it is in progress.
	EndedAt time.Time
}

// RunLog records the runs of many targets.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

// begin adds a run and returns its index.
func (l *RunLog) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// end records that the run at an index has ended.
func (l *RunLog) end(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].EndedAt = time.Now()
}

// Runs returns a copy of the runs so far.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Target is the stand-in for a target of a platform of kind "prepared", created
// by NewTarget.
type Target struct {
	// ID is the target's identity in the store.
	ID string
	// Address is the listening address; a port of 0 is replaced by Start.
	Address string
	runLog  *RunLog
	// workTime is the mean time to execute a request.
	workTime time.Duration

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	// dropRate is the share of requests that are run and get no response.
	dropRate float64
	// slowdown is a factor on the time of short requests; at least 1.
	slowdown float64
	server   *http.Server
}

// NewTarget returns a target that is not yet listening.
func NewTarget(id, address string, workTime time.Duration, l *RunLog) *Target {
	return &Target{
		ID:       id,
		Address:  address,
		runLog:   l,
		workTime: workTime,
		slots:    make(chan struct{}, targetSlots),
		slowdown: 1,
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

// SetFaults sets the share of requests whose connection is closed after the run
// without a response, and the factor on the time of short requests.
func (t *Target) SetFaults(dropRate, slowdown float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropRate = dropRate
	t.slowdown = max(1, slowdown)
}

// Body returns the response body to an attempt, which is the same from every
// target.
func Body(attemptID, path string) []byte {
	digest := sha256.Sum256([]byte(attemptID + path))
	return []byte(hex.EncodeToString(digest[:]) + " " + path)
}

// Seal returns the checksum of a body, which the Response-Seal header carries.
func Seal(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:8])
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,%d", t.running, t.waiting, targetSlots, int(100*t.slowdown))
	full := t.running >= targetSlots && t.waiting >= targetQueue
	drop := rand.Float64() < t.dropRate
	workTime := time.Duration(float64(t.workTime) * t.slowdown * (0.7 + 0.6*rand.Float64()))
	t.mu.Unlock()
	w.Header().Set("Backend-Load", load)
	w.Header().Set("Backend-Id", t.ID)
	if r.URL.Path == healthPath {
		return
	}
	attemptID := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attemptID)
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
	if !t.acquireSlot(r.Context()) {
		return
	}
	defer t.releaseSlot()
	index := t.runLog.begin(Run{
		AttemptID: attemptID,
		Target:    t.ID,
		StartedAt: time.Now(),
	})
	defer t.runLog.end(index)
	if strings.HasSuffix(r.URL.Path, LongSuffix) {
		workTime = longWorkTime
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	body := Body(attemptID, r.URL.Path)
	w.Header().Set("Response-Seal", Seal(body))
	// The write fails if the client has disconnected; there is nothing to do then.
	_, _ = w.Write(body)
}

// acquireSlot waits for a slot. It reports false if ctx ends first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	t.adjustCounts(0, 1)
	defer t.adjustCounts(0, -1)
	select {
	case t.slots <- struct{}{}:
		t.adjustCounts(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) releaseSlot() {
	<-t.slots
	t.adjustCounts(-1, 0)
}

// adjustCounts adds to the counts of running and waiting requests.
func (t *Target) adjustCounts(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}
