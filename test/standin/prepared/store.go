// Package prepared holds stand-ins for the users' prepared platform: its store
// and its targets, with the faults that they have.
package prepared

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what is wrong with the store.
type Fault int

const (
	// FaultNone serves every call.
	FaultNone Fault = iota
	// FaultUnavailable refuses every call with 503.
	FaultUnavailable
	// FaultUnresponsive answers no call.
	FaultUnresponsive
	// FaultReset closes the connection of every call.
	FaultReset
)

// pageItems bounds a page.
const pageItems = 20

// item is an entry as it is on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the stand-in for the platform's store. Make it with NewStore.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// horizon is the revision up to which history is gone.
	horizon uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	fault   Fault
	// turnedAway holds the hosts that are refused with fault while others are
	// served; empty for all.
	turnedAway map[string]bool
	calls      uint64
	server     *http.Server
}

// NewStore returns a store that does not listen yet.
func NewStore(address string) *Store {
	return &Store{
		Address: address,
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
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.faulty(s.list))
	mux.HandleFunc("GET /kv-watch", s.faulty(s.watch))
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

// PutJSON writes an entry.
func (s *Store) PutJSON(key string, value any) uint64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(key, content)
}

// Delete removes an entry.
func (s *Store) Delete(key string) uint64 {
	return s.write(item{
		Key:       key,
		Tombstone: true,
	})
}

func (s *Store) write(i item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.horizon = s.revision
	s.events = nil
}

// SetFault sets what is wrong, for some hosts only or for all.
func (s *Store) SetFault(f Fault, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.turnedAway = map[string]bool{}
	for _, h := range hosts {
		s.turnedAway[h] = true
	}
}

// Calls counts all calls, refused ones too.
func (s *Store) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// faulty counts a call and lets it through unless the store fails for its host.
func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		fault := s.fault
		if len(s.turnedAway) > 0 && !s.turnedAway[host] {
			fault = FaultNone
		}
		s.mu.Unlock()
		switch fault {
		case FaultUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultUnresponsive:
			<-r.Context().Done()
		case FaultReset:
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
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
	more := len(items) > pageItems
	writeJSON(w, map[string]any{
		"items":   items[:min(len(items), pageItems)],
		"hasMore": more,
		"at":      at,
	})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		gone := after < s.horizon
		at := s.revision
		changed := s.changed
		var events []item
		for _, i := range s.events {
			if i.Rev > after {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{
				"events": events,
				"at":     at,
			})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			writeJSON(w, map[string]any{
				"events": []item{},
				"at":     at,
			})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left reads nothing.
	_ = json.NewEncoder(w).Encode(body)
}
