// Package instance runs one instance of the load balancer: it starts and connects
// the tasks, bootstraps from the platform and the peers, reports readiness and shuts
// down gracefully. A task is a goroutine that owns its state and that others reach by
// messages to its mailbox. The platform is the operators' service that publishes the
// rules file and the list of targets and instances; an instance only reads from it.
package instance

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/audit"
	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/internal/platform"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// ErrListen is wrapped by the errors of listeners that can't be opened.
var ErrListen = eris.New("can't listen")

// holderTTL is how long a Holder record, which a hand-over of operations creates, is
// kept. It covers the longest validity of a ticket.
const holderTTL = time.Hour

// Adapters connect an instance to the platform, callers and targets.
type Adapters struct {
	Platform tarragonwell.PlatformClient
	Callers  tarragonwell.CallerDialect
	Targets  tarragonwell.TargetDialect
	// Tickets enables tickets, which callers use for operations that must not be run
	// twice.
	Tickets bool
	// HTTP2 offers HTTP/2 without TLS to callers.
	HTTP2 bool
}

// DefaultAdapters returns the adapters of the default protocols (setting platform.kind:
// own): those of the default platform and of its callers and targets.
func DefaultAdapters(s *settingsfile.Settings) Adapters {
	return Adapters{
		Platform: &platform.Client{
			Address: s.PlatformAddress,
			HTTP:    &http.Client{},
		},
		Callers: caller.Dialect{},
		Targets: target.Dialect{},
		Tickets: true,
		HTTP2:   true,
	}
}

// Instance is one instance of the load balancer. Create it with New and start it
// with Run.
type Instance struct {
	common     *common.Dependencies
	adapters   Adapters
	trail      *audit.Trail
	peers      *peer.Peers
	reconciler *reconciler
	// operations is nil if tickets are not enabled.
	operations *operations.Operations
	// ready is the state of the readiness check.
	ready atomic.Bool
	// bootstrapped is closed when the initial sync is complete. No call is accepted
	// before that.
	bootstrapped chan struct{}
	// platformPosition is the position of this instance's latest read of the
	// platform. It is nil before the first read. Only feeds that cannot regress set it.
	platformPosition atomic.Pointer[tarragonwell.PlatformPosition]
}

// New returns an instance that isn't running yet. Routine log lines, most of which
// concern successful calls, are written to routine, all others to l.
func New(s *settingsfile.Settings, l, routine *log.Logger, adapters Adapters) *Instance {
	c := &common.Dependencies{
		Settings:   s,
		Log:        l,
		RoutineLog: routine,
		Metrics:    metrics.NewSet(),
		Clock:      common.SystemClock{},
		Started:    time.Now(),
	}
	c.SetBudgets(s)
	c.RegisterBudgets()
	_, _ = rand.Read(c.Incarnation[:])
	i := &Instance{
		common:       c,
		adapters:     adapters,
		trail:        audit.NewTrail(s.AuditRecords),
		bootstrapped: make(chan struct{}),
	}
	c.Audit = i.trail
	i.reconciler = newReconciler(c)
	i.peers = peer.New(peer.Options{
		Common:            c,
		OnNewerRules:      i.onNewerRules,
		OnNewerList:       i.onNewerList,
		OnTargetLeaving:   i.onTargetLeaving,
		OnTargetSuspected: i.onTargetSuspected,
	})
	i.reconciler.peers = i.peers
	i.reconciler.platform = adapters.Platform
	i.reconciler.targets = adapters.Targets
	if adapters.Tickets {
		i.operations = operations.New(operations.Options{
			Common: c,
			Dispatcher: &operationDispatcher{
				common:     c,
				reconciler: i.reconciler,
			},
			Forwarder: i.peers,
		})
	}
	return i
}

// onNewerRules drops the hint if the mailbox is full; the next gossip round repeats it.
func (i *Instance) onNewerRules(from string, v tarragonwell.RulesVersion) {
	i.reconciler.mailbox.TryPost(rulesHint{
		from:    from,
		version: v,
	})
}

// onNewerList drops the hint if the mailbox is full; the next gossip round repeats it.
func (i *Instance) onNewerList(from string, position tarragonwell.ListPosition) {
	i.reconciler.mailbox.TryPost(listHint{
		from:     from,
		position: position,
	})
}

// onTargetLeaving drops the announcement if the mailbox is full; the reconciler's next
// tick then reads it from the snapshot of the peers.
func (i *Instance) onTargetLeaving(l tarragonwell.LeavingTarget, from string) {
	i.reconciler.mailbox.TryPost(leavingAnnouncement{
		leaving: l,
		from:    from,
	})
}

func (i *Instance) onTargetSuspected(service, id string, expiresAt time.Time) {
	if s := i.reconciler.snapshot.Load().services[service]; s != nil {
		s.MarkSuspect(id, expiresAt)
	}
}

// Run serves until ctx ends or a task fails, then shuts down gracefully. It fails with
// ErrListen, or with the error of the failed task.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	i.common.OnTaskFailure = func(err error) { cancel(err) }
	// The tasks run on after ctx ends, until the shutdown is complete.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	i.startTasks(taskCtx, &wg)
	servers := i.startServers(l, &wg)
	i.bootstrap(ctx)
	<-ctx.Done()
	i.shutDown(servers)
	stop()
	wg.Wait()
	if err := context.Cause(ctx); errors.Is(err, common.ErrPanic) {
		return err
	}
	return nil
}

func (i *Instance) startTasks(ctx context.Context, wg *sync.WaitGroup) {
	start := func(name string, run func(context.Context)) {
		wg.Go(func() {
			i.common.RunTask(name, func() { run(ctx) })
		})
	}
	start("audit trail", i.trail.Run)
	start("reconciler", i.reconciler.Run)
	start("peers", i.peers.Run)
	if i.operations != nil {
		start("operations", i.operations.Run)
	}
	for _, f := range i.adapters.Platform.Feeds() {
		start("watcher of "+f.Name(), i.watcher(f).Run)
	}
}

// refreshPeerCount is the number of peers queried for a more recent confirmation by the
// platform.
const refreshPeerCount = 2

// watcher returns the watcher that keeps one feed of the platform up to date.
func (i *Instance) watcher(f tarragonwell.Feed) *platform.Watcher {
	return &platform.Watcher{
		Common:     i.common,
		Name:       f.Name(),
		MayRegress: f.MayRegress(),
		ReaderStatus: func() (bool, time.Time) {
			s := i.peers.Snapshot()
			return s.IsReader, s.PlatformConfirmedAt
		},
		RefreshFromPeers: func(ctx context.Context) {
			i.peers.Refresh(ctx, i.peers.SampleLocal(refreshPeerCount))
		},
		Read: func(ctx context.Context, full bool, wait time.Duration) error {
			after, wait := i.watchArguments(full, wait)
			update, err := i.reconciler.watch(ctx, f, after, wait)
			if err != nil {
				return err
			}
			i.reconciler.submit(update)
			position := advance(after, update)
			if !f.MayRegress() {
				i.platformPosition.Store(&position)
			}
			i.peers.RecordConfirmation(position)
			return nil
		},
	}
}

// watchArguments returns the position and the wait for a request to the platform. A
// full read starts at the zero position and returns immediately.
func (i *Instance) watchArguments(full bool, wait time.Duration) (tarragonwell.PlatformPosition, time.Duration) {
	if full {
		return tarragonwell.PlatformPosition{}, 0
	}
	return tarragonwell.PlatformPosition{
		Rules: i.reconciler.latestRules(),
		List:  i.reconciler.snapshot.Load().list,
	}, wait
}

// advance returns position p advanced by an update.
func advance(p tarragonwell.PlatformPosition, u tarragonwell.PlatformUpdate) tarragonwell.PlatformPosition {
	if u.Rules != nil {
		p.Rules = u.Rules.Position()
	}
	if u.List != nil {
		p.List = u.List.Position()
	}
	return p
}

// routing returns the routing that requests are matched against. It returns nil
// until the initial sync is complete, because the peers may have newer rules and may
// know of leaving targets.
func (i *Instance) routing() *caller.Routing {
	select {
	case <-i.bootstrapped:
		return i.reconciler.Routing()
	default:
		return nil
	}
}

// latestRules returns the latest version of the rules that was accepted or refused.
func (rc *reconciler) latestRules() tarragonwell.RulesVersion {
	snap := rc.snapshot.Load()
	if snap.routing == nil || snap.refusal.version.After(snap.routing.Rules.Version) {
		return snap.refusal.version
	}
	return snap.routing.Rules.Version
}
