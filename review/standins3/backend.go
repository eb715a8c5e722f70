package standins3

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	backendSlots = 6
	backendQueue = 12
	healthPath   = "/health"
	// Heartbeat is how often a backend renews its entry.
	Heartbeat = 1500 * time.Millisecond
)

// Backend is a sound backend. Create it with StartBackend.
type Backend struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Work is how long a request takes.
	Work time.Duration

	record *Record
	server *http.Server
	slots  chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	born    int64
}

// StartBackend starts a backend on a free port.
func StartBackend(id, service, zone string, work time.Duration, r *Record) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{
		ID:      id,
		Service: service,
		Zone:    zone,
		Address: l.Addr().String(),
		Work:    work,
		record:  r,
		slots:   make(chan struct{}, backendSlots),
		born:    time.Now().UnixMilli(),
	}
	b.server = &http.Server{
		Handler:  http.HandlerFunc(b.serve),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// Close ends the backend.
func (b *Backend) Close() {
	_ = b.server.Close()
}

// Entry is what the backend writes about itself.
func (b *Backend) Entry(sequence int) map[string]any {
	return map[string]any{
		"address": b.Address,
		"born":    b.born,
		"info": map[string]any{
			"service":  b.Service,
			"version":  "1.4.0",
			"zone":     b.Zone,
			"capacity": backendSlots,
		},
		"status": map[string]any{
			"state":    "ready",
			"sequence": sequence,
			"coldLeft": "0ms",
		},
	}
}

// Key is the key of the backend's entry.
func (b *Backend) Key() string {
	return "servers/" + b.ID
}

// Body is the body of a backend's response to an attempt.
func Body(attemptID, path string) []byte {
	digest := sha256.Sum256([]byte(attemptID + path))
	return []byte(hex.EncodeToString(digest[:]) + " " + path + "\n")
}

// Seal is the seal of a body.
func Seal(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:8])
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, backendSlots)
	full := b.running >= backendSlots && b.waiting >= backendQueue
	b.mu.Unlock()
	w.Header().Set("Backend-Load", load)
	if r.URL.Path == healthPath {
		w.Header().Set("Backend-Id", b.ID)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	switch expected := r.Header.Get("Expect-Backend"); {
	case expected != "" && expected != b.ID:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.run(w, r, id)
}

// run works on a request until it is done, its connection closes or its deadline passes.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, id string) {
	b.count(0, 1)
	b.slots <- struct{}{}
	b.count(1, -1)
	defer func() {
		<-b.slots
		b.count(-1, 0)
	}()
	defer b.record.Ran(id, b)()
	deadline := make(<-chan time.Time)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case <-time.After(b.Work):
		body := Body(id, r.URL.Path)
		w.Header().Set("Response-Seal", Seal(body))
		// The error is that of a caller that has left.
		_, _ = w.Write(body)
	case <-deadline:
		w.Header().Set("Response-Seal", Seal(nil))
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

func (b *Backend) count(running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += running
	b.waiting += waiting
}
