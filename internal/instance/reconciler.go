package instance

import (
	"bytes"
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
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/listing"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/warmup"
)

const (
	mailboxSize = 256
	// tickInterval is the interval at which the instances are counted, and removed
	// (delisted) targets are dropped once their grace period is over.
	tickInterval  = 200 * time.Millisecond
	resyncTimeout = 900 * time.Millisecond
	// resumeTimeout bounds the wait for a peer's list after a resync.
	resumeTimeout = 600 * time.Millisecond
	// resyncPeerCount is the number of peers queried in a resync.
	resyncPeerCount = 3
	// fromPlatform is the source of updates that were read from the platform. The
	// source of all others is the address of a peer.
	fromPlatform = "platform"
	// fromPeers is the source of announcements that any peer may have sent.
	fromPeers = "peer"
)

// reconciler is the task that owns the rules in force and the latest list of the
// platform, and that starts, updates and stops the services accordingly.
type reconciler struct {
	common   *common.Dependencies
	peers    *peer.Peers
	platform tarragonwell.PlatformClient
	targets  tarragonwell.TargetDialect
	mailbox  *task.Mailbox[any]
	// snapshot is replaced as a whole, so that readers never block.
	snapshot atomic.Pointer[snapshot]
}

// snapshot is the part of the state that other goroutines read. It is immutable.
type snapshot struct {
	// routing is nil before the first rules.
	routing *caller.Routing
	// services contains the dispatchers, keyed by the name of their service.
	services map[string]*service.Dispatcher
	// list is the position of the platform's list; zero before the first list.
	list      tarragonwell.ListPosition
	instances []tarragonwell.ListedInstance
	refusal   refusal
	drains    drainStatus
}

// refusal describes the rules file that was refused last.
type refusal struct {
	version tarragonwell.RulesVersion
	reason  string
}

// reconcilerState is owned by the goroutine of Run.
type reconcilerState struct {
	rules *tarragonwell.RuleSet
	// list is never ahead of the rules: where the platform has one revision for both, all
	// rules up to the revision of the list have been accepted or refused. The platform is
	// asked for changes after that revision only.
	list    listing.Listing
	refusal refusal
	// running is keyed by the name of the service.
	running map[string]*runningService
	// conflict is the version of the latest recorded conflict.
	conflict tarragonwell.RulesVersion
	// fetching holds the fetches from peers in progress, at most one of each kind.
	fetching map[fetchKind]bool
	// counts are those that the services were last configured with.
	counts fleetCounts
	// maxAlive is the highest number of instances that were alive at the same time,
	// this one included.
	maxAlive int
	// announced is the position last passed to the gossip task.
	announced tarragonwell.PlatformPosition
	// appliedLeaving is the Snapshot.LeavingVersion of the announcements that the
	// services were last given; 0 if they have to be given again.
	appliedLeaving uint64
	// invalidEntries holds the IDs of the invalid entries that were logged.
	invalidEntries map[string]bool
	// resyncing is set while the platform is read again after the process was paused.
	resyncing bool
	// newestHint is the hint with the latest position that came during a fetch.
	newestHint listHint
	// resumeBy is set if the services resume after the pause when the fetch of the list in
	// progress has ended, and at this time at the latest; zero otherwise.
	resumeBy time.Time
	// drains holds the drains that were last recorded.
	drains drainStatus
	// updatedFrom is the source of the latest update.
	updatedFrom string
	// roster counts the instances that may be running.
	roster warmup.Roster
	// fleetSetAt is when the services were last given a view of the fleet.
	fleetSetAt time.Time
}

// fetchKind is the kind of a fetch from a peer.
type fetchKind int

const (
	fetchNone fetchKind = iota
	fetchRules
	// fetchList fetches the list with the rules that belong to it.
	fetchList
)

// updateMessage carries what was read from the platform or from a peer at once.
type updateMessage struct {
	update tarragonwell.PlatformUpdate
	from   string
	// fetched is the fetch that has ended with this message; its update is empty if it
	// failed.
	fetched fetchKind
}

// changesSinceMessage requests the changes of the list after a position, with the rules
// if they are newer than the version.
type changesSinceMessage struct {
	since tarragonwell.ListPosition
	rules tarragonwell.RulesVersion
	reply chan<- tarragonwell.PlatformUpdate
}

// leavingAnnouncement is a peer's announcement that a target is leaving.
type leavingAnnouncement struct {
	leaving tarragonwell.LeavingTarget
	from    string
}

func newReconciler(c *common.Dependencies) *reconciler {
	rc := &reconciler{
		common:  c,
		mailbox: task.NewMailbox[any](mailboxSize),
	}
	rc.snapshot.Store(&snapshot{})
	rc.registerDrainMetrics()
	return rc
}

// Rules returns the rules in force, or nil before the first rules.
func (rc *reconciler) Rules() *tarragonwell.RuleSet {
	if r := rc.snapshot.Load().routing; r != nil {
		return r.Rules
	}
	return nil
}

// ChangesSince implements peer.PlatformData. It fails with task.ErrStopped or the error
// of ctx.
func (rc *reconciler) ChangesSince(ctx context.Context, since tarragonwell.ListPosition, rules tarragonwell.RulesVersion) (tarragonwell.PlatformUpdate, error) {
	return task.Ask(ctx, rc.mailbox, func(reply chan<- tarragonwell.PlatformUpdate) any {
		return changesSinceMessage{
			since: since,
			rules: rules,
			reply: reply,
		}
	})
}

// Routing returns the routing that requests are matched against, or nil before the
// first rules.
func (rc *reconciler) Routing() *caller.Routing {
	return rc.snapshot.Load().routing
}

// Run handles messages until ctx ends, and returns when the tasks of all services
// have stopped.
func (rc *reconciler) Run(ctx context.Context) {
	defer rc.mailbox.MarkStopped()
	var wg sync.WaitGroup
	defer wg.Wait()
	// The services end with this task, also if it panics.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &reconcilerState{
		running:        map[string]*runningService{},
		fetching:       map[fetchKind]bool{},
		invalidEntries: map[string]bool{},
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-rc.mailbox.Receive():
			rc.handle(ctx, st, &wg, m)
		case now := <-ticker.C:
			if st.list.DropRemoved(now) {
				rc.reconcile(ctx, st, &wg)
			}
			rc.updateCounts(st)
			rc.updateFleet(st)
			rc.applyLeaving(st)
			if !st.resumeBy.IsZero() && rc.common.Clock.Now().After(st.resumeBy) {
				rc.resume(st)
			}
		}
	}
}

// applyLeaving passes the announcements of leaving targets to the services, after there
// were new ones or the targets of a service changed. It delivers those that came before
// their target or their service, and those that a full mailbox dropped.
func (rc *reconciler) applyLeaving(st *reconcilerState) {
	s := rc.peers.Snapshot()
	if s.LeavingVersion == st.appliedLeaving {
		return
	}
	st.appliedLeaving = s.LeavingVersion
	for _, l := range s.Leaving {
		if r := st.running[l.Service]; r != nil {
			r.dispatcher.MarkLeaving(l, fromPeers)
		}
	}
}

func (rc *reconciler) handle(ctx context.Context, st *reconcilerState, wg *sync.WaitGroup, message any) {
	switch m := message.(type) {
	case updateMessage:
		delete(st.fetching, m.fetched)
		if rc.applyUpdate(st, m) {
			rc.reconcile(ctx, st, wg)
		}
		if m.fetched == fetchList {
			rc.fetchList(ctx, st, st.newestHint)
		}
		if !st.resumeBy.IsZero() && !st.fetching[fetchList] {
			rc.resume(st)
		}
	case changesSinceMessage:
		m.reply <- st.changesSince(rc.common.Clock.Now(), m.since, m.rules)
	case rulesHint:
		rc.fetchRules(ctx, st, m)
	case listHint:
		rc.fetchList(ctx, st, m)
	case resyncRequest:
		rc.resync(ctx, st)
	case resyncDone:
		if st.fetching[fetchList] {
			// A peer has a newer list, which may have drains.
			st.resumeBy = rc.common.Clock.Now().Add(resumeTimeout)
			return
		}
		rc.resume(st)
	case leavingAnnouncement:
		if r := st.running[m.leaving.Service]; r != nil {
			r.dispatcher.MarkLeaving(m.leaving, m.from)
		}
	}
}

// applyUpdate applies the rules and the list of an update, in this order, and reports
// whether either has changed.
func (rc *reconciler) applyUpdate(st *reconcilerState, m updateMessage) bool {
	st.updatedFrom = m.from
	changed := m.update.Rules != nil && rc.applyRules(st, m.update.Rules, m.from)
	rc.logInvalidEntries(st, &m.update)
	if m.update.List != nil && rc.applyList(st, m.update.List, m.from) {
		changed = true
	}
	return changed
}

// changesSince returns the changes of the list after a position, with the rules in force
// if they are newer than the version. A refused file is left out: every instance refuses
// it.
func (st *reconcilerState) changesSince(now time.Time, since tarragonwell.ListPosition, rules tarragonwell.RulesVersion) tarragonwell.PlatformUpdate {
	u := tarragonwell.PlatformUpdate{
		List: st.list.ChangesSince(now, since),
	}
	// A peer of an earlier release states no era. It has the rules in force if the digest is theirs.
	known := rules.Era == 0 && bytes.Equal(rules.Digest, st.version().Digest)
	if st.version().After(rules) && !known {
		v := st.rules.Version
		u.Rules = &tarragonwell.PublishedRules{
			Generation: v.Generation,
			Era:        v.Era,
			Revision:   v.Revision,
			Content:    st.rules.Content,
		}
	}
	return u
}

// applyRules accepts or refuses a rules file and reports whether the rules in force
// have changed. Whether a file is valid depends only on its revision and bytes, so
// that all instances agree.
func (rc *reconciler) applyRules(st *reconcilerState, published *tarragonwell.PublishedRules, from string) bool {
	v := published.Version()
	current := st.version()
	if v.Equal(current) || v.Equal(st.refusal.version) {
		return false
	}
	if v.Generation == 0 {
		// Peers of earlier releases send no generation.
		_ = rc.common.Isolate("read the rules' generation", func() {
			v.Generation = rc.platform.Generation(published.Content)
		})
	}
	rc.recordConflict(st, v, from)
	// For files from the platform, tests can switch this check off (package control)
	// to prove that it is needed.
	if !v.After(current) && (from != fromPlatform || control.Enabled(control.NewestRules)) {
		return false
	}
	var set *tarragonwell.RuleSet
	err := rc.isolate("parse rules", func() (err error) {
		set, err = rc.platform.ParseRules(published)
		return err
	})
	if err != nil {
		rc.refuse(st, v, from, err)
		return false
	}
	rc.recordAccepted(st.rules, set, from)
	st.rules = set
	return true
}

// applyList applies a change of the list and reports whether the list has changed.
func (rc *reconciler) applyList(st *reconcilerState, c *tarragonwell.ListChange, from string) bool {
	before := st.list.Position()
	changed, ok := false, true
	_ = rc.common.Isolate("apply list", func() {
		changed, ok = st.list.Apply(rc.common.Clock.Now(), rc.peers.Snapshot().PlatformConfirmedAt, c)
	})
	if !ok {
		rc.common.Log.Warn("list change skips revisions", "since", c.Since, "have", st.list.Position().Revision, "from", from)
	}
	if changed && c.Era > before.Era && before.Revision > 0 {
		rc.recordEra(st, before, from)
	}
	return changed
}

// maxInvalidEntries bounds the invalid entries that are remembered.
const maxInvalidEntries = 256

// logInvalidEntries logs each invalid entry once until it is valid, because an entry is
// written again and again.
func (rc *reconciler) logInvalidEntries(st *reconcilerState, u *tarragonwell.PlatformUpdate) {
	for _, x := range u.Invalid {
		if st.invalidEntries[x.ID] || len(st.invalidEntries) >= maxInvalidEntries {
			continue
		}
		st.invalidEntries[x.ID] = true
		rc.common.Log.Warn("entry-unreadable", "target", x.ID, "revision", x.Revision, "error", x.Err)
	}
	if u.List == nil {
		return
	}
	for _, t := range u.List.Targets {
		delete(st.invalidEntries, t.ID)
	}
}

// version returns the version of the rules in force, or the zero version.
func (st *reconcilerState) version() tarragonwell.RulesVersion {
	if st.rules == nil {
		return tarragonwell.RulesVersion{}
	}
	return st.rules.Version
}

// processedVersion returns the latest version of the rules that was accepted or refused.
func (st *reconcilerState) processedVersion() tarragonwell.RulesVersion {
	if v := st.refusal.version; v.After(st.version()) {
		return v
	}
	return st.version()
}
