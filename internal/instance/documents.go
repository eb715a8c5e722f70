package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/internal/platform"
	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/internal/task"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	documentsMailbox = 256
	fetchTimeout     = 2 * time.Second
	// countInterval is how often the instances are counted anew.
	countInterval  = time.Second
	confirmTimeout = 900 * time.Millisecond
	// confirmPeers is how many peers are asked after a pause.
	confirmPeers = 3
	fromPlatform = "platform"
	// rulesName stands for the rules file in errors.
	rulesName = "rules"
)

// documents is the task that owns the rules and the list in force, and the
// services that they call for.
type documents struct {
	common   *common.Common
	peers    *peer.Peers
	platform tarragonwell.Platform
	mailbox  *task.Mailbox[any]
	// published is replaced whole; readers never wait.
	published atomic.Pointer[published]
}

// published is what others may read. It is immutable.
type published struct {
	routing  *caller.Routing
	services map[string]*service.Service
	list     *pb.InstanceList
	refusal  refusal
}

// refusal is the latest rules file that was refused.
type refusal struct {
	version tarragonwell.RulesVersion
	reason  string
}

// documentsState is owned by the task.
type documentsState struct {
	rules    *tarragonwell.RuleSet
	list     *tarragonwell.InstanceList
	refusal  refusal
	running  map[string]*runningService
	conflict tarragonwell.RulesVersion
	// fetchingRules and fetchingList bound the fetches to one at a time.
	fetchingRules bool
	fetchingList  bool
	// counts are what the services were last configured with.
	counts fleetCounts
	// confirming is set while the list is read anew after a pause.
	confirming bool
}

// rulesOffer is a rules file that was read from the platform or a peer.
type rulesOffer struct {
	rules *tarragonwell.PublishedRules
	from  string
	// fetched marks the end of a fetch from a peer; rules is nil if it failed.
	fetched bool
}

// listOffer is a list that was read from the platform or a peer.
type listOffer struct {
	list    *tarragonwell.InstanceList
	from    string
	fetched bool
}

// leavingHint is a peer's word that a target leaves.
type leavingHint struct {
	service string
	address string
	until   time.Time
	from    string
}

func newDocuments(c *common.Common) *documents {
	d := &documents{
		common:  c,
		mailbox: task.NewMailbox[any](documentsMailbox),
	}
	d.published.Store(&published{})
	return d
}

// Rules returns the rules in force, or nil.
func (d *documents) Rules() *tarragonwell.RuleSet {
	if r := d.published.Load().routing; r != nil {
		return r.Rules
	}
	return nil
}

// List returns the platform's list as last read, or nil.
func (d *documents) List() *pb.InstanceList {
	return d.published.Load().list
}

// Routing returns what callers' requests are matched against, or nil.
func (d *documents) Routing() *caller.Routing {
	return d.published.Load().routing
}

// Run owns the documents and the services until ctx ends.
func (d *documents) Run(ctx context.Context) {
	defer d.mailbox.Stop()
	var services sync.WaitGroup
	defer services.Wait()
	st := &documentsState{
		list:    &tarragonwell.InstanceList{},
		running: map[string]*runningService{},
	}
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.mailbox.Receive():
			d.handle(ctx, st, &services, m)
		case <-ticker.C:
			d.recount(st)
		}
	}
}

func (d *documents) handle(ctx context.Context, st *documentsState, services *sync.WaitGroup, message any) {
	switch m := message.(type) {
	case rulesOffer:
		if m.fetched {
			st.fetchingRules = false
		}
		if m.rules != nil && d.takeRules(st, m) {
			d.apply(ctx, st, services)
		}
	case listOffer:
		if m.fetched {
			st.fetchingList = false
		}
		if m.list != nil && m.list.Revision > st.list.Revision {
			st.list = m.list
			d.apply(ctx, st, services)
		}
	case rulesHint:
		d.fetchRules(ctx, st, m)
	case listHint:
		d.fetchList(ctx, st, m)
	case confirmRequest:
		d.confirm(ctx, st)
	case confirmed:
		st.confirming = false
		for _, r := range st.running {
			r.service.Resume()
		}
	case leavingHint:
		if r := st.running[m.service]; r != nil {
			r.service.MarkLeaving(m.address, m.until, m.from)
		}
	}
}

// takeRules accepts or refuses a file and reports whether other rules are in
// force now. The verdict depends on the revision and the bytes alone.
func (d *documents) takeRules(st *documentsState, m rulesOffer) bool {
	v := rulesfile.VersionOf(m.rules.Revision, m.rules.Content)
	current := st.version()
	if v.Same(current) || v.Same(st.refusal.version) {
		return false
	}
	d.noteConflict(st, v, m.from)
	if !v.After(current) && (m.from != fromPlatform || control.Holds(control.NewestRules)) {
		return false
	}
	set, err := rulesfile.Parse(rulesName, m.rules.Revision, m.rules.Content)
	if err != nil {
		d.refuse(st, v, m.from, err)
		return false
	}
	d.accepted(st.rules, set, m.from)
	st.rules = set
	return true
}

func (st *documentsState) version() tarragonwell.RulesVersion {
	if st.rules == nil {
		return tarragonwell.RulesVersion{}
	}
	return st.rules.Version
}

func (d *documents) publishVersions(st *documentsState) {
	d.peers.SetVersions(st.version(), st.list.Revision, true)
	var addresses []string
	for _, i := range st.list.Instances {
		addresses = append(addresses, i.PeerAddress)
	}
	d.peers.SetListed(addresses)
}

func (d *documents) publish(st *documentsState) {
	p := &published{
		services: map[string]*service.Service{},
		refusal:  st.refusal,
	}
	if st.list.Revision > 0 {
		p.list = platform.ListMessage(st.list)
	}
	if st.rules != nil {
		dispatchers := map[string]tarragonwell.Dispatcher{}
		for name, r := range st.running {
			p.services[name] = r.service
			dispatchers[name] = r.service
		}
		p.routing = caller.NewRouting(st.rules, dispatchers, d.common.Metrics)
	}
	d.published.Store(p)
}
