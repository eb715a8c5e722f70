// Package standins3 holds the stand-ins of the scripts in review/11 to review/15: the
// platform's store, its backends, clients, and the processes of the system under test. They
// follow the users' pages; each disruption is a method that a script calls.
package standins3

import (
	"cmp"
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
)

// pageItems is the maximum number of items in a page of a range response.
const pageItems = 500

// Item is an entry of the store as it is sent, or its tombstone.
type Item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      int    `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`

	// at is when the change was made.
	at time.Time
}

// Store is the platform's store. Create it with StartStore.
type Store struct {
	// Address is the listening address.
	Address string

	mu       sync.Mutex
	revision uint64
	era      int
	items    map[string]Item
	// history holds all changes in order.
	history []Item
	// changed is closed and replaced on each change.
	changed chan struct{}
	// away is set while the store is away.
	away   bool
	server *http.Server
}

// firstRevision is the revision before the first change: the counter starts above 0.
const firstRevision = 40

// StartStore starts a store on a free port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address:  l.Addr().String(),
		revision: firstRevision,
		era:      1,
		items:    map[string]Item{},
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	s.server = &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Put writes an entry whose value is JSON and returns its revision, the confirmation.
func (s *Store) Put(key string, value any) uint64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(Item{
		Key:   key,
		Value: content,
	})
}

// Delete removes an entry and returns the revision of the removal.
func (s *Store) Delete(key string) uint64 {
	return s.write(Item{
		Key:       key,
		Tombstone: true,
	})
}

func (s *Store) write(i Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Rev = s.revision
	i.CreatedRev = i.Rev
	if known, ok := s.items[i.Key]; ok {
		i.CreatedRev = known.CreatedRev
	}
	i.at = time.Now()
	s.apply(i)
	s.history = append(s.history, i)
	s.wake()
	return i.Rev
}

// apply puts a change into items; mu must be held.
func (s *Store) apply(i Item) {
	if i.Tombstone {
		delete(s.items, i.Key)
		return
	}
	s.items[i.Key] = i
}

// wake lets the waiting watches look again; mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Leave begins a drill: the store is away, and waiting watches are cut.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// Return ends a drill: the store comes back from the copy of a given time. It returns the
// revisions before and after, and the keys whose latest change is lost.
func (s *Store) Return(copied time.Time) (before, after uint64, lost []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.revision
	kept := slices.IndexFunc(s.history, func(i Item) bool { return i.at.After(copied) })
	if kept < 0 {
		kept = len(s.history)
	}
	for _, i := range s.history[kept:] {
		if !slices.Contains(lost, i.Key) {
			lost = append(lost, i.Key)
		}
	}
	s.history = s.history[:kept:kept]
	s.items = map[string]Item{}
	s.revision = firstRevision
	for _, i := range s.history {
		s.apply(i)
		s.revision = i.Rev
	}
	s.era++
	s.away = false
	s.wake()
	return before, s.revision, lost
}

// begin sets the header of all responses. It returns false if the store is away, and has
// then responded.
func (s *Store) begin(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	return true
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(i)
}

// handleRange responds with one page of the entries under a prefix, by key.
func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	items := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items":   items[:min(len(items), pageItems)],
		"hasMore": len(items) > pageItems,
		"at":      at,
	})
}

// handleWatch responds once there are events after the client's revision, or with none when
// the wait is over. A watch from a revision that the store does not have gets 410.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for over := false; ; {
		events := []Item{}
		s.mu.Lock()
		at, changed := s.revision, s.changed
		cut := s.away || s.era != era
		for _, i := range s.history {
			if i.Rev > after {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case after > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			_ = json.NewEncoder(w).Encode(map[string]any{
				"events": events,
				"at":     at,
			})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// String describes the store for the record.
func (s *Store) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("store at revision %d, era %d", s.revision, s.era)
}
