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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
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

// Arrival is one request, other than a probe, that reached a target.
type Arrival struct {
	// AttemptID is the value of the request's Attempt-Id header.
	AttemptID string
	// Target is the target's ID.
	Target string
	At     time.Time
	// RetryAfter is the time for which the target asked to be sent nothing, when it
	// refused the request; 0 if it did not ask.
	RetryAfter time.Duration
}

// RunLog records the runs and the arrivals of many targets.
type RunLog struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
}

// arrive adds an arrival.
func (l *RunLog) arrive(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// Arrivals returns a copy of the arrivals so far.
func (l *RunLog) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
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
	faults  Faults
	server  *http.Server
}

// Faults are the injected faults of a target. The zero value is a sound target.
type Faults struct {
	// DropRate is the share of requests that are run and get no response: their
	// connection is closed.
	DropRate float64
	// Slowdown is a factor on the time of short requests; values below 1 count as 1.
	Slowdown float64
	// Leaving says in all responses that the target leaves.
	Leaving bool
	// RetryAfter refuses all requests and asks to be sent nothing for that time.
	RetryAfter time.Duration
	// Hostile is the way in which HostileRate of the requests are responded to.
	Hostile     hostile.Mode
	HostileRate float64
}

// NewTarget returns a target that is not yet listening.
func NewTarget(id, address string, workTime time.Duration, l *RunLog) *Target {
	return &Target{
		ID:       id,
		Address:  address,
		runLog:   l,
		workTime: workTime,
		slots:    make(chan struct{}, targetSlots),
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

// UpdateFaults changes the injected faults.
func (t *Target) UpdateFaults(change func(*Faults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.faults)
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
	faults := t.faults
	slowdown := max(1, faults.Slowdown)
	load := fmt.Sprintf("%d,%d,%d,%d", t.running, t.waiting, targetSlots, int(100*slowdown))
	full := t.running >= targetSlots && t.waiting >= targetQueue
	t.mu.Unlock()
	drop := rand.Float64() < faults.DropRate
	workTime := time.Duration(float64(t.workTime) * slowdown * (0.7 + 0.6*rand.Float64()))
	w.Header().Set("Backend-Load", load)
	w.Header().Set("Backend-Id", t.ID)
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == healthPath {
		return
	}
	attemptID := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attemptID)
	_, _ = io.Copy(io.Discard, r.Body)
	t.runLog.arrive(Arrival{
		AttemptID:  attemptID,
		Target:     t.ID,
		At:         time.Now(),
		RetryAfter: faults.RetryAfter,
	})
	switch {
	case faults.RetryAfter > 0:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(faults.RetryAfter.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
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
	if rand.Float64() < faults.HostileRate {
		respondWithoutEnd(w, faults.Hostile)
		return
	}
	// The write fails if the client has disconnected; there is nothing to do then.
	_, _ = w.Write(body)
}

// respondWithoutEnd takes over the connection and sends a response that never ends, or
// bytes that are none, until the client closes it.
func respondWithoutEnd(w http.ResponseWriter, m hostile.Mode) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	var header strings.Builder
	// Writing to a strings.Builder does not fail.
	_ = w.Header().Write(&header)
	// The error is that of the client's close.
	_ = hostile.Respond(c, m, header.String())
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
