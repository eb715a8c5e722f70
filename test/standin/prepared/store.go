// Package prepared holds stand-ins for a platform of kind "prepared": its
// key-value store and its targets, with injected faults.
package prepared

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/link"
)

// Fault is an injected fault of the store.
type Fault int

const (
	// FaultNone serves every request.
	FaultNone Fault = iota
	// FaultUnavailable responds to every request with status 503.
	FaultUnavailable
	// FaultUnresponsive never responds.
	FaultUnresponsive
	// FaultReset closes the connection of every request without a response.
	FaultReset
	// FaultStalled begins a response and does not go on.
	FaultStalled
	// FaultTrickling sends a response without end, a byte at a time.
	FaultTrickling
)

// trickleInterval is the time between two bytes of FaultTrickling.
const trickleInterval = 20 * time.Millisecond

// pageSize is the maximum number of items in a page of a range response.
const pageSize = 20

// FirstEra is the era before the first drill.
const FirstEra = 1

// item is an entry of the store, as sent to clients.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`

	// at is when it was written.
	at time.Time
}

// Store is the stand-in for the platform's store, created by NewStore.
type Store struct {
	// Address is the listening address; a port of 0 is replaced by Start.
	Address string
	// BytesPerSecond bounds the bandwidth of all responses together; 0 for no limit.
	BytesPerSecond float64

	// drills is held during a drill, until what was lost has been written again.
	drills sync.Mutex

	mu       sync.Mutex
	revision uint64
	// era rises by one with each drill.
	era      uint64
	eraBegan time.Time
	items    map[string]item
	// log holds all changes of the era, and of those before as far as its copy has them.
	log []item
	// events holds all changes after compactedRevision.
	events []item
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision uint64
	// changed is closed and replaced on each change.
	changed chan struct{}
	// away is set while the store is away in a drill. Writers wait until it is back.
	away  bool
	fault Fault
	// faultyHosts holds the client hosts that fault applies to; empty for all.
	faultyHosts map[string]bool
	calls       uint64
	server      *http.Server
}

// NewStore returns a store that is not yet listening.
func NewStore(address string) *Store {
	return &Store{
		Address: address,
		era:     FirstEra,
		items:   map[string]item{},
		changed: make(chan struct{}),
	}
}

// Start listens and serves until ctx ends.
func (s *Store) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	if s.BytesPerSecond > 0 {
		l = &link.Listener{
			Listener:       l,
			BytesPerSecond: s.BytesPerSecond,
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.withFault(s.handleRange))
	mux.HandleFunc("GET /kv-watch", s.withFault(s.handleWatch))
	s.server = &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = s.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.server.Close() })
	return nil
}

// Put writes an entry and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.write(item{
		Key:   key,
		Value: value,
	})
}

// PutJSON writes an entry whose value is JSON and returns its revision.
func (s *Store) PutJSON(key string, value any) uint64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(key, content)
}

// Delete removes an entry and returns the revision of the removal.
func (s *Store) Delete(key string) uint64 {
	return s.write(item{
		Key:       key,
		Tombstone: true,
	})
}

func (s *Store) write(i item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.away {
		changed := s.changed
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	return s.apply(i)
}

// apply makes a change and wakes the watches; mu must be held.
func (s *Store) apply(i item) uint64 {
	s.revision++
	i.Rev = s.revision
	i.at = time.Now()
	s.put(i)
	s.events = append(s.events, i)
	s.log = append(s.log, i)
	s.wake()
	return s.revision
}

// put puts a change into items; mu must be held.
func (s *Store) put(i item) {
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
}

// wake wakes the watches; mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from before it get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.events = nil
}

// SetFault sets the fault, for the given client hosts or, without any, for all.
func (s *Store) SetFault(f Fault, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultyHosts = map[string]bool{}
	for _, h := range hosts {
		s.faultyHosts[h] = true
	}
}

// Calls returns the number of requests, including those that failed.
func (s *Store) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// withFault returns a handler that counts each request and applies the fault if
// it is set for the client's host.
func (s *Store) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		fault := s.fault
		if len(s.faultyHosts) > 0 && !s.faultyHosts[host] {
			fault = FaultNone
		}
		if s.away {
			fault = FaultUnavailable
		}
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		switch fault {
		case FaultUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultUnresponsive:
			<-r.Context().Done()
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultStalled:
			writeBlank(w)
			<-r.Context().Done()
		case FaultTrickling:
			for r.Context().Err() == nil {
				writeBlank(w)
				time.Sleep(trickleInterval)
			}
		default:
			next(w, r)
		}
	}
}

// writeBlank sends a byte that may come before a JSON document.
func writeBlank(w http.ResponseWriter) {
	// The write fails if the client has disconnected; there is nothing to do then.
	_, _ = w.Write([]byte{' '})
	_ = http.NewResponseController(w).Flush()
}

// handleRange responds with one page of the entries under a prefix, by key.
func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var items []item
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	writeItems(w, "items", items[:min(len(items), pageSize)], at, more)
}

// handleWatch responds once there are events after the client's revision, or
// with none when the requested wait is over.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	era := uint64(0)
	for {
		s.mu.Lock()
		if era == 0 {
			era = s.era
		}
		cut := s.away || s.era != era
		compacted := after < s.compactedRevision || after > s.revision
		at := s.revision
		changed := s.changed
		var events []item
		for _, i := range s.events {
			if i.Rev > after {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeItems(w, "events", events, at, false)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			writeItems(w, "events", nil, at, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeItems sends a page. Each item is sent as soon as it is encoded, so that a large page begins
// to arrive at once. Writes fail if the client has disconnected; there is nothing to do then.
func writeItems(w http.ResponseWriter, field string, items []item, at uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"at":%d,"hasMore":%t,%q:[`, at, more, field)
	encoder := json.NewEncoder(w)
	for n, i := range items {
		if n > 0 {
			fmt.Fprint(w, ",")
		}
		_ = encoder.Encode(i)
	}
	fmt.Fprint(w, "]}")
}
