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
	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/listing"
)

const (
	documentsMailbox = 256
	// fetchTimeout is short: a peer that has fallen silent must not hold back news
	// that others have.
	fetchTimeout = 600 * time.Millisecond
	// countInterval is how often the instances are counted anew.
	countInterval  = 200 * time.Millisecond
	confirmTimeout = 900 * time.Millisecond
	// confirmPeers is how many peers are asked after a pause.
	confirmPeers = 3
	fromPlatform = "platform"
)

// documents is the task that owns the rules and the list in force, and the
// services that they call for.
type documents struct {
	common   *common.Dependencies
	peers    *peer.Peers
	platform tarragonwell.PlatformClient
	targets  tarragonwell.TargetDialect
	mailbox  *task.Mailbox[any]
	// published is replaced whole; readers never wait.
	published atomic.Pointer[published]
}

// published is what others may read. It is immutable.
type published struct {
	routing  *caller.Routing
	services map[string]*service.Dispatcher
	// listRevision is 0 before the first list.
	listRevision uint64
	instances    []tarragonwell.ListedInstance
	refusal      refusal
}

// refusal is the latest rules file that was refused.
type refusal struct {
	version tarragonwell.RulesVersion
	reason  string
}

// documentsState is owned by the task.
type documentsState struct {
	rules    *tarragonwell.RuleSet
	list     listing.Listing
	refusal  refusal
	running  map[string]*runningService
	conflict tarragonwell.RulesVersion
	// fetchingRules and fetchingList bound the fetches to one at a time.
	fetchingRules bool
	fetchingList  bool
	// counts are what the services were last configured with.
	counts fleetCounts
	// mostAlive is the highest number of instances that were heard of at a time.
	mostAlive int
	// told is what the peers' task was last told.
	told tarragonwell.PlatformPosition
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

// listOffer is a change of the list that was read from the platform or a peer.
type listOffer struct {
	change  *tarragonwell.ListChange
	from    string
	fetched bool
}

// sinceMessage asks what has changed on the list after a revision.
type sinceMessage struct {
	revision uint64
	reply    chan<- *tarragonwell.ListChange
}

// leavingHint is a peer's word that a target leaves.
type leavingHint struct {
	service string
	address string
	until   time.Time
	from    string
}

func newDocuments(c *common.Dependencies) *documents {
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

// ListSince returns what has changed on the platform's list after a revision, or
// nil before the first list.
func (d *documents) ListSince(ctx context.Context, revision uint64) (*tarragonwell.ListChange, error) {
	return task.Ask(ctx, d.mailbox, func(reply chan<- *tarragonwell.ListChange) any {
		return sinceMessage{
			revision: revision,
			reply:    reply,
		}
	})
}

// Routing returns what callers' requests are matched against, or nil.
func (d *documents) Routing() *caller.Routing {
	return d.published.Load().routing
}

// Run owns the documents and the services until ctx ends.
func (d *documents) Run(ctx context.Context) {
	defer d.mailbox.MarkStopped()
	var services sync.WaitGroup
	defer services.Wait()
	st := &documentsState{
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
		case now := <-ticker.C:
			if st.list.DropDelisted(now) {
				d.apply(ctx, st, &services)
			}
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
		if m.change != nil && d.takeList(st, m) {
			d.apply(ctx, st, services)
		}
	case sinceMessage:
		m.reply <- st.list.ChangesSince(m.revision)
	case rulesHint:
		d.fetchRules(ctx, st, m)
	case listHint:
		d.fetchList(ctx, st, m)
	case confirmRequest:
		d.confirm(ctx, st)
	case confirmed:
		st.confirming = false
		for _, r := range st.running {
			r.service.ConfirmTargets()
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
	if v.Equal(current) || v.Equal(st.refusal.version) {
		return false
	}
	d.noteConflict(st, v, m.from)
	if !v.After(current) && (m.from != fromPlatform || control.Enabled(control.NewestRules)) {
		return false
	}
	set, err := d.platform.ParseRules(m.rules)
	if err != nil {
		d.refuse(st, v, m.from, err)
		return false
	}
	d.accepted(st.rules, set, m.from)
	st.rules = set
	return true
}

// takeList reports whether the list is another one now.
func (d *documents) takeList(st *documentsState, m listOffer) bool {
	changed, ok := st.list.Apply(d.common.Clock.Now(), d.peers.Snapshot().PlatformConfirmedAt, m.change)
	if !ok {
		d.common.Log.Warn("list change doesn't follow", "since", m.change.Since, "have", st.list.Revision(), "from", m.from)
	}
	return changed
}

func (st *documentsState) version() tarragonwell.RulesVersion {
	if st.rules == nil {
		return tarragonwell.RulesVersion{}
	}
	return st.rules.Version
}

// publishVersions tells the peers what is in force. New rules are pushed; the
// list goes with the word of the platform's answers.
func (d *documents) publishVersions(st *documentsState) {
	seen := tarragonwell.PlatformPosition{
		Rules: max(st.version().Revision, st.refusal.version.Revision),
		List:  st.list.Revision(),
	}
	push := seen.Rules != st.told.Rules
	st.told = seen
	d.peers.SetVersions(st.version(), seen, push)
	var addresses []string
	for _, i := range st.list.Instances() {
		addresses = append(addresses, i.PeerAddress)
	}
	d.peers.SetListedAddresses(addresses)
}

func (d *documents) publish(st *documentsState) {
	p := &published{
		services:     map[string]*service.Dispatcher{},
		refusal:      st.refusal,
		listRevision: st.list.Revision(),
		instances:    st.list.Instances(),
	}
	if st.rules != nil {
		p.routing = d.routing(st, p.services)
	}
	d.published.Store(p)
}

// routing returns the routing in force, a new one only where it has changed.
func (d *documents) routing(st *documentsState, services map[string]*service.Dispatcher) *caller.Routing {
	dispatchers := map[string]tarragonwell.Dispatcher{}
	for name, r := range st.running {
		services[name] = r.service
		dispatchers[name] = r.service
	}
	if old := d.Routing(); old != nil && old.Rules == st.rules {
		return old
	}
	return caller.NewRouting(st.rules, dispatchers, d.common.Metrics)
}
