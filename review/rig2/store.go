// Package rig2 holds what the cases of the second review share: stand-ins for the platform's
// store, backends and clients, a relay, and the start of instances as in the deploy file.
package rig2

import (
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

const (
	// storeHistory is for how long the store keeps changes for watches.
	storeHistory = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// gapCheck is how often a watch checks whether a gap has ended.
	gapCheck = 5 * time.Millisecond
)

// item is an entry of the store on the wire.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
	written    time.Time
}

// Store is a sound store: it keeps each change for storeHistory and serves every request.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// dropped is the revision up to which the history was dropped.
	dropped uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// gap is set while watches hear nothing.
	gap bool
}

// StartStore starts a store on a free loopback port.
func StartStore(ctx context.Context) (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(),
		items:   map[string]item{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	server := &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return s, nil
}

// Put writes an entry. When it returns, the write is confirmed.
func (s *Store) Put(key string, value []byte) {
	s.write(item{
		Key:   key,
		Value: value,
	})
}

// PutJSON writes an entry whose value is JSON and returns the size of the value.
func (s *Store) PutJSON(key string, value any) int {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(key, content)
	return len(content)
}

// Delete removes an entry.
func (s *Store) Delete(key string) {
	s.write(item{
		Key:       key,
		Tombstone: true,
	})
}

// BeginGap makes the watches hear nothing until EndGap.
func (s *Store) BeginGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap = true
}

// EndGap drops the history and ends the watches that wait: they get status 410.
func (s *Store) EndGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap = false
	s.dropped = s.revision
	s.events = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev = s.revision
	i.written = time.Now()
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreatedRev = s.revision
		if before, ok := s.items[i.Key]; ok {
			i.CreatedRev = before.CreatedRev
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, i)
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var all []item
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
			all = append(all, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(all) && n < maxPageItems && (n == 0 || size+len(all[n].Value) <= maxPageBytes) {
		size += len(all[n].Value)
		n++
	}
	respond(w, map[string]any{
		"items":   append([]item{}, all[:n]...),
		"hasMore": n < len(all),
		"at":      at,
	})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		events, at, changed, ok := s.since(after, query.Get("pathPrefix"))
		if changed == nil && ok {
			// In a gap; the client may give up.
			select {
			case <-time.After(gapCheck):
			case <-r.Context().Done():
				return
			}
			continue
		}
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respondEvents(w, events, at)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			respondEvents(w, events, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision; ok is false if they are no longer kept, and changed
// is nil in a gap.
func (s *Store) since(after uint64, prefix string) (events []item, at uint64, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gap {
		return nil, 0, nil, true
	}
	for len(s.events) > 0 && time.Since(s.events[0].written) > storeHistory {
		s.dropped = s.events[0].Rev
		s.events = s.events[1:]
	}
	if after < s.dropped {
		return nil, 0, nil, false
	}
	events = []item{}
	for _, i := range s.events {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, true
}

func respondEvents(w http.ResponseWriter, events []item, at uint64) {
	respond(w, map[string]any{
		"events": events,
		"at":     at,
	})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails if the client has left.
	_ = json.NewEncoder(w).Encode(body)
}
