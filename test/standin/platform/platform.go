// Package platform is a stand-in for the platform: a configuration service that
// can be read and watched, and a list of instances that may lag. Both can be
// made unavailable or stale. All reads are counted.
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

// Platform is the stand-in, created by New.
type Platform struct {
	// Address is the listening address; a port of 0 is replaced by Start.
	Address string

	mu sync.Mutex
	// rules and lists hold all revisions, since faults may require an older one to
	// be served.
	rules []*pb.PublishedRules
	lists []*listRevision
	// changed is closed and replaced on each change.
	changed chan struct{}
	faults  Faults
	reads   uint64
	server  *http.Server
}

// listRevision is one revision of the list of instances.
type listRevision struct {
	list        *pb.InstanceList
	publishedAt time.Time
}

// Faults are the injected faults of the platform.
type Faults struct {
	// Down responds to every read with status 503.
	Down bool `json:"down"`
	// RulesLag is the number of revisions by which the served rules are behind.
	RulesLag int `json:"stale-rules"`
	// StaleList serves the list as it was when the fault was set.
	StaleList bool `json:"stale-list"`
	// ListLagMs is the delay after which a revision of the list is served.
	ListLagMs float64 `json:"list-lag-ms"`
	// Held holds all responses back until it is cleared. They then have the data of that
	// time.
	Held bool `json:"held"`
	// frozenAt is when StaleList was set.
	frozenAt time.Time
}

// New returns a stand-in that is not yet listening.
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
		p.watch(w, r, func() versioned { return p.visibleRules() })
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		p.watch(w, r, func() versioned { return p.visibleList() })
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

// Publish adds a revision of the rules and returns its number.
func (p *Platform) Publish(content []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(1)
	if n := len(p.rules); n > 0 {
		revision = p.rules[n-1].Revision + 1
	}
	p.appendRules(revision, content)
	return revision
}

// PublishRevision publishes content under a given revision number, as after a
// restore from a backup.
func (p *Platform) PublishRevision(revision uint64, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendRules(revision, content)
}

func (p *Platform) appendRules(revision uint64, content []byte) {
	p.rules = append(p.rules, &pb.PublishedRules{
		Revision: revision,
		Content:  content,
	})
	p.notify()
}

// SetInstances adds a revision of the list of instances.
func (p *Platform) SetInstances(instances []*pb.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, &listRevision{
		list: &pb.InstanceList{
			Revision:  uint64(len(p.lists) + 1),
			Instances: instances,
		},
		publishedAt: time.Now(),
	})
	p.notify()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleList {
		f.frozenAt = time.Now()
	}
	p.faults = f
	p.notify()
}

// Reads returns the number of reads so far; a watch counts as one.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// notify wakes up all watches; the lock has to be held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// versioned is a value with a revision.
type versioned interface {
	proto.Message
	GetRevision() uint64
}

func (p *Platform) visibleRules() versioned {
	n := len(p.rules) - 1 - p.faults.RulesLag
	if len(p.rules) == 0 || n < 0 {
		return (*pb.PublishedRules)(nil)
	}
	return p.rules[n]
}

func (p *Platform) visibleList() versioned {
	visible := (*pb.InstanceList)(nil)
	limit := time.Now().Add(-time.Duration(p.faults.ListLagMs * float64(time.Millisecond)))
	if p.faults.StaleList {
		limit = p.faults.frozenAt
	}
	for n, e := range p.lists {
		if n == 0 || !e.publishedAt.After(limit) {
			visible = e.list
		}
	}
	return visible
}

// watch responds once the value is newer than the caller's revision, or with
// status 304 when the requested wait is over.
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
		lag, held := p.faults.ListLagMs, p.faults.Held
		p.mu.Unlock()
		if held {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.GetRevision() > after {
			content, _ := protojson.Marshal(v)
			_, _ = w.Write(content)
			return
		}
		if !waitForChange(r.Context(), changed, time.Until(deadline), lag) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// lagPollInterval is how often a lagging value is checked, since it becomes
// visible without a change.
const lagPollInterval = 50 * time.Millisecond

// waitForChange waits for a change or, with a lag, for the next poll. It reports
// false when there is no time left or ctx has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}, left time.Duration, lag float64) bool {
	if left <= 0 {
		return false
	}
	if lag > 0 {
		left = min(left, lagPollInterval)
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

// HighestRevision returns the highest revision of the rules, or 0 if there are
// none.
func (p *Platform) HighestRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest := uint64(0)
	for _, r := range p.rules {
		highest = max(highest, r.Revision)
	}
	return highest
}
