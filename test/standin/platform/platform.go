// Package platform is a stand-in for the platform: a configuration service
// that can be read and watched, and a lagging list of instances. Both can be
// down or stale. It counts every call.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// Platform is the stand-in. Make it with New.
type Platform struct {
	Address string

	mu sync.Mutex
	// rules and lists hold all revisions; what is shown may lag.
	rules []*pb.PublishedRules
	lists []*listEntry
	// changed is closed and replaced with each change.
	changed chan struct{}
	faults  Faults
	reads   uint64
	server  *http.Server
}

type listEntry struct {
	list *pb.InstanceList
	at   time.Time
}

// Faults is what is wrong with the platform.
type Faults struct {
	// Down refuses every read.
	Down bool `json:"down"`
	// RulesLag shows the rules as they were so many revisions ago.
	RulesLag int `json:"stale-rules"`
	// StaleList freezes the list.
	StaleList bool `json:"stale-list"`
	// ListLagMs is how far the list lags.
	ListLagMs float64 `json:"list-lag-ms"`
	// frozenAt is when the list was frozen.
	frozenAt time.Time
}

// New returns a stand-in that does not listen yet.
func New(address string) *Platform {
	return &Platform{
		Address: address,
		changed: make(chan struct{}),
	}
}

// Start listens and serves until ctx ends.
func (p *Platform) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rules", func(w http.ResponseWriter, r *http.Request) {
		p.watch(w, r, func() versioned { return p.shownRules() })
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		p.watch(w, r, func() versioned { return p.shownList() })
	})
	mux.HandleFunc("POST /standin/rules", p.postRules)
	mux.HandleFunc("POST /standin/instances", p.postList)
	mux.HandleFunc("POST /standin/faults", p.postFaults)
	mux.HandleFunc("GET /standin/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatUint(p.Reads(), 10)+"\n")
	})
	p.server = &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = p.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = p.server.Close() })
	return nil
}

// Publish makes a new revision of the rules and returns its number.
func (p *Platform) Publish(content []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(1)
	if n := len(p.rules); n > 0 {
		revision = p.rules[n-1].Revision + 1
	}
	p.publish(revision, content)
	return revision
}

// PublishRevision shows content under a chosen revision, as after a restore.
func (p *Platform) PublishRevision(revision uint64, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish(revision, content)
}

func (p *Platform) publish(revision uint64, content []byte) {
	p.rules = append(p.rules, &pb.PublishedRules{
		Revision: revision,
		Content:  content,
	})
	p.notify()
}

// SetInstances makes a new revision of the list.
func (p *Platform) SetInstances(instances []*pb.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, &listEntry{
		list: &pb.InstanceList{
			Revision:  uint64(len(p.lists) + 1),
			Instances: instances,
		},
		at: time.Now(),
	})
	p.notify()
}

// SetFaults changes what is wrong.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleList {
		f.frozenAt = time.Now()
	}
	p.faults = f
	p.notify()
}

// Reads counts the calls so far, waiting watches as one each.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// versioned is a value with a revision.
type versioned interface {
	proto.Message
	GetRevision() uint64
}

func (p *Platform) shownRules() versioned {
	n := len(p.rules) - 1 - p.faults.RulesLag
	if len(p.rules) == 0 || n < 0 {
		return (*pb.PublishedRules)(nil)
	}
	return p.rules[n]
}

func (p *Platform) shownList() versioned {
	shown := (*pb.InstanceList)(nil)
	limit := time.Now().Add(-time.Duration(p.faults.ListLagMs * float64(time.Millisecond)))
	if p.faults.StaleList {
		limit = p.faults.frozenAt
	}
	for n, e := range p.lists {
		if n == 0 || !e.at.After(limit) {
			shown = e.list
		}
	}
	return shown
}

// watch answers once the value is newer than the one the caller has.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, value func() versioned) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.Now().Add(wait)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		v, changed, down := value(), p.changed, p.faults.Down
		lag := p.faults.ListLagMs
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.GetRevision() > after {
			content, _ := protojson.Marshal(v)
			_, _ = w.Write(content)
			return
		}
		if !waitFor(r.Context(), changed, time.Until(deadline), lag) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// lagPoll is how often a lagging list is looked at.
const lagPoll = 50 * time.Millisecond

// waitFor waits for a change and reports whether there is time left.
func waitFor(ctx context.Context, changed <-chan struct{}, left time.Duration, lag float64) bool {
	if left <= 0 {
		return false
	}
	if lag > 0 {
		left = min(left, lagPoll)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return lag > 0
	case <-ctx.Done():
		return false
	}
}

func (p *Platform) postRules(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatUint(p.Publish(content), 10)+"\n")
}

func (p *Platform) postList(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	var list pb.InstanceList
	if err == nil {
		err = protojson.Unmarshal(content, &list)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(list.GetInstances())
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// HighestRevision returns the highest revision of the rules.
func (p *Platform) HighestRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := uint64(0)
	for _, r := range p.rules {
		last = max(last, r.Revision)
	}
	return last
}
