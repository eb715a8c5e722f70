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

// fleetCounts are the numbers of instances that services go by.
type fleetCounts struct {
	// atMost bounds the instances, for budgets.
	atMost int
	// serving counts those that serve now, for preference.
	serving int
}

type runningService struct {
	service *service.Service
	stop    context.CancelFunc
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

// rulesHint says that a peer has newer rules.
type rulesHint struct {
	from    string
	version tarragonwell.RulesVersion
}

// listHint says that a peer has a newer list.
type listHint struct {
	from     string
	revision uint64
}

// leavingHint is a peer's word that a target leaves.
type leavingHint struct {
	service string
	address string
	until   time.Time
	from    string
}

// confirmRequest asks for a new reading of the list, after a pause.
type confirmRequest struct{}

// confirmed ends it.
type confirmed struct{}

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

func (d *documents) fetchRules(ctx context.Context, st *documentsState, m rulesHint) {
	if st.fetchingRules || !m.version.After(st.version()) || m.version.Same(st.refusal.version) {
		return
	}
	st.fetchingRules = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		rules, err := d.peers.FetchRules(ctx, m.from)
		if err != nil {
			d.common.Log.Debug("fetching rules failed", "peer", m.from, "error", err)
		}
		d.mailbox.Post(rulesOffer{
			rules:   rules,
			from:    m.from,
			fetched: true,
		})
	}()
}

func (d *documents) fetchList(ctx context.Context, st *documentsState, m listHint) {
	if st.fetchingList || m.revision <= st.list.Revision {
		return
	}
	st.fetchingList = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		offer := listOffer{
			from:    m.from,
			fetched: true,
		}
		list, err := d.peers.FetchList(ctx, m.from)
		if err == nil {
			offer.list = platform.ListOf(list)
		}
		d.mailbox.Post(offer)
	}()
}

// confirm reads the list anew, from the platform or else through a peer, after
// the process was paused.
func (d *documents) confirm(ctx context.Context, st *documentsState) {
	if st.confirming {
		return
	}
	st.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		list, err := d.platform.WatchInstances(ctx, 0, 0)
		if err == nil && list != nil {
			d.mailbox.Post(listOffer{
				list: list,
				from: fromPlatform,
			})
		}
		// Peers tell of later lists and of targets that leave.
		d.peers.Greet(ctx, d.peers.SomeAlive(confirmPeers))
		d.mailbox.Post(confirmed{})
	}()
}

// apply brings the services in line with the documents and publishes them.
func (d *documents) apply(ctx context.Context, st *documentsState, services *sync.WaitGroup) {
	d.publishVersions(st)
	if st.rules == nil {
		d.publish(st)
		return
	}
	st.counts = d.count(st)
	byService := map[string][]tarragonwell.ListedTarget{}
	for _, t := range st.list.Targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	for name, rule := range st.rules.Services {
		r := st.running[name]
		if r == nil {
			st.running[name] = d.startService(ctx, services, rule, st.counts, byService[name])
			continue
		}
		r.service.Configure(rule, st.counts.atMost, st.counts.serving)
		r.service.SetTargets(byService[name])
	}
	// The routing without a removed service is published before it stops.
	removed := st.removeServices()
	d.publish(st)
	for _, r := range removed {
		r.stop()
	}
}

// count takes the highest number that anything names for budgets: those that
// can be heard are too few under a partition.
func (d *documents) count(st *documentsState) fleetCounts {
	alive := d.peers.Snapshot().Alive
	c := fleetCounts{
		atMost:  max(st.rules.Fleet.InstancesAtMost, len(st.list.Instances), len(alive)+1),
		serving: 1,
	}
	for _, m := range alive {
		if m.State == tarragonwell.MemberServing {
			c.serving++
		}
	}
	return c
}

// recount passes changed counts on to the services.
func (d *documents) recount(st *documentsState) {
	if st.rules == nil {
		return
	}
	counts := d.count(st)
	if counts == st.counts {
		return
	}
	st.counts = counts
	for name, r := range st.running {
		r.service.Configure(st.rules.Services[name], counts.atMost, counts.serving)
	}
}

func (st *documentsState) removeServices() []*runningService {
	var removed []*runningService
	for name, r := range st.running {
		if st.rules.Services[name] == nil {
			removed = append(removed, r)
			delete(st.running, name)
		}
	}
	return removed
}

func (d *documents) startService(ctx context.Context, services *sync.WaitGroup, rule *tarragonwell.Service, counts fleetCounts, targets []tarragonwell.ListedTarget) *runningService {
	ctx, stop := context.WithCancel(ctx)
	s := service.New(service.Options{
		Common:      d.common,
		Rule:        rule,
		Instances:   counts.atMost,
		Sharers:     counts.serving,
		Targets:     targets,
		TellLeaving: d.peers.TellLeaving,
		Confirm: func() {
			d.mailbox.TryPost(confirmRequest{})
		},
	})
	services.Go(func() {
		s.Run(ctx)
	})
	return &runningService{
		service: s,
		stop:    stop,
	}
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
