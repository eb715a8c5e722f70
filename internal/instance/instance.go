// Package instance wires the tasks of one instance together: its start, its
// readiness and its graceful shutdown.
package instance

import (
	"context"
	"crypto/rand"
	"net"
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
	"github.com/tarragonwell/tarragonwell/internal/operator"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/internal/platform"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// ErrListen is the root of the errors of a listener that can't be opened.
var ErrListen = eris.New("can't listen")

// holderLife is how long the word that operations were taken over is kept; it
// covers the longest life of a ticket.
const holderLife = time.Hour

// Adapters are what an instance runs among, each spoken to in its own way.
type Adapters struct {
	Platform tarragonwell.PlatformClient
	Callers  tarragonwell.CallerDialect
	Targets  tarragonwell.TargetDialect
	// Tickets says that callers know tickets for what must not repeat.
	Tickets bool
}

// DefaultAdapters are the surroundings that speak the system's own interfaces.
func DefaultAdapters(s *settingsfile.Settings) Adapters {
	return Adapters{
		Platform: &platform.Client{
			Address: s.PlatformAddress,
			HTTP:    &http.Client{},
		},
		Callers: caller.Dialect{},
		Targets: target.Dialect{},
		Tickets: true,
	}
}

// Instance is one running instance. Make it with New and run it.
type Instance struct {
	common       *common.Dependencies
	surroundings Adapters
	trail        *audit.Trail
	peers        *peer.Peers
	documents    *documents
	// operations is nil where callers know no tickets.
	operations *operations.Operations
	leaving    atomic.Bool
	ready      atomic.Bool
	// joined is closed once the instance has learnt what is in force, before which
	// no call is taken.
	joined chan struct{}
	// latestRead is how far the platform's latest answer to the instance itself
	// came; nil before the first, and where it may show earlier revisions.
	latestRead atomic.Pointer[tarragonwell.PlatformPosition]
}

// listeners are open from the start to the end of Run.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	// readiness is nil where operators' address answers for it.
	readiness net.Listener
}

// New returns an instance that isn't running yet. The lines of calls that go
// well go to calls, all others to l.
func New(s *settingsfile.Settings, l, calls *log.Logger, around Adapters) *Instance {
	c := &common.Dependencies{
		Settings:   s,
		Log:        l,
		RoutineLog: calls,
		Metrics:    metrics.NewSet(),
		Clock:      common.SystemClock{},
		Started:    time.Now(),
	}
	_, _ = rand.Read(c.Incarnation[:])
	i := &Instance{
		common:       c,
		surroundings: around,
		trail:        audit.NewTrail(s.AuditRecords),
		joined:       make(chan struct{}),
	}
	c.Audit = i.trail
	i.documents = newDocuments(c)
	i.peers = peer.New(peer.Options{
		Common:            c,
		OnNewerRules:      i.rulesNews,
		OnNewerList:       i.listNews,
		OnTargetLeaving:   i.targetLeaving,
		OnTargetSuspected: i.targetSuspect,
	})
	i.documents.peers = i.peers
	i.documents.platform = around.Platform
	i.documents.targets = around.Targets
	if around.Tickets {
		i.operations = operations.New(operations.Options{
			Common: c,
			Dispatcher: &operationDispatcher{
				common:    c,
				documents: i.documents,
			},
			Forwarder: i.peers,
		})
	}
	return i
}

// Hints are dropped where the mailbox is full: the next round brings them again.

func (i *Instance) rulesNews(from string, v tarragonwell.RulesVersion) {
	i.documents.mailbox.TryPost(rulesHint{
		from:    from,
		version: v,
	})
}

func (i *Instance) listNews(from string, revision uint64) {
	i.documents.mailbox.TryPost(listHint{
		from:     from,
		revision: revision,
	})
}

func (i *Instance) targetLeaving(service, address string, until time.Time, from string) {
	i.documents.mailbox.TryPost(leavingHint{
		service: service,
		address: address,
		until:   until,
		from:    from,
	})
}

func (i *Instance) targetSuspect(service, address string, until time.Time) {
	if s := i.documents.published.Load().services[service]; s != nil {
		s.MarkSuspect(address, until)
	}
}

// Run serves until ctx ends, then leaves gracefully. It fails with ErrListen.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen()
	if err != nil {
		return err
	}
	// The tasks outlive ctx until the instance has left.
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	i.startTasks(tasks, &running)
	servers := i.startServers(l, &running)
	i.join(ctx)
	<-ctx.Done()
	i.leave(servers)
	stop()
	running.Wait()
	return nil
}

func (i *Instance) listen() (*listeners, error) {
	s := i.common.Settings
	var l listeners
	for _, x := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &l.callers,
			address:  s.CallerListenAddress,
		},
		{
			listener: &l.peers,
			address:  s.PeerListenAddress,
		},
		{
			listener: &l.operators,
			address:  s.OperatorListenAddress,
		},
		{
			listener: &l.readiness,
			address:  s.ReadinessListenAddress,
		},
	} {
		if x.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", x.address)
		if err != nil {
			l.close()
			return nil, eris.Wrap(ErrListen, err.Error())
		}
		*x.listener = opened
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.callers, l.peers, l.operators, l.readiness} {
		if x != nil {
			_ = x.Close()
		}
	}
}

func (i *Instance) startTasks(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { i.trail.Run(ctx) })
	running.Go(func() { i.documents.Run(ctx) })
	running.Go(func() { i.peers.Run(ctx) })
	if i.operations != nil {
		running.Go(func() { i.operations.Run(ctx) })
	}
	for _, f := range i.surroundings.Platform.Feeds() {
		running.Go(func() { i.watcher(f).Run(ctx) })
	}
}

// askedPeers is how many peers are asked whether they have heard from the
// platform.
const askedPeers = 2

// watcher keeps one feed of the platform current.
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
			i.peers.GossipWith(ctx, i.peers.SampleLocal(askedPeers))
		},
		Read: func(ctx context.Context, plain bool, wait time.Duration) error {
			after, wait := i.watchFrom(plain, wait)
			p, err := f.Watch(ctx, after, wait)
			if err != nil {
				return err
			}
			i.documents.offer(p)
			position := reached(after, p)
			if !f.MayRegress() {
				i.latestRead.Store(&position)
			}
			i.peers.RecordConfirmation(position)
			return nil
		},
	}
}

// watchFrom is what to ask of the platform; a plain read waits for nothing.
func (i *Instance) watchFrom(plain bool, wait time.Duration) (tarragonwell.PlatformPosition, time.Duration) {
	if plain {
		return tarragonwell.PlatformPosition{}, 0
	}
	return tarragonwell.PlatformPosition{
		Rules: i.documents.revision(),
		List:  i.documents.published.Load().listRevision,
	}, wait
}

// reached is how far a reading came.
func reached(after tarragonwell.PlatformPosition, p tarragonwell.PlatformUpdate) tarragonwell.PlatformPosition {
	if p.Rules != nil {
		after.Rules = p.Rules.Revision
	}
	if p.List != nil {
		after.List = p.List.Revision
	}
	return after
}

// routing is what callers' requests are matched against, or nil before the
// instance has learnt from peers what is in force and which targets leave.
func (i *Instance) routing() *caller.Routing {
	select {
	case <-i.joined:
		return i.documents.Routing()
	default:
		return nil
	}
}

// revision is the highest that was accepted or refused.
func (d *documents) revision() uint64 {
	p := d.published.Load()
	revision := p.refusal.version.Revision
	if p.routing != nil {
		revision = max(revision, p.routing.Rules.Version.Revision)
	}
	return revision
}

// servers answer callers, peers and operators.
type servers struct {
	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	// readiness is nil where operators' address answers for it.
	readiness *http.Server
}

// all lists the servers that run.
func (s *servers) all() []*http.Server {
	out := []*http.Server{s.callers, s.peers, s.operators}
	if s.readiness != nil {
		out = append(out, s.readiness)
	}
	return out
}

func (i *Instance) startServers(l *listeners, running *sync.WaitGroup) *servers {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &peer.Server{
		Peers:        i.peers,
		PlatformData: i.documents,
		HolderTTL:    holderLife,
	}
	if i.operations != nil {
		peerServer.Operations = i.operations
	}
	s := &servers{
		callers: caller.NewServer(caller.Options{
			Common:       i.common,
			Dialect:      i.surroundings.Callers,
			Operations:   i.operations,
			Routing:      i.routing,
			RoutingReady: i.joined,
			Leaving:      i.leaving.Load,
		}).HTTP(),
		peers: &http.Server{
			Handler:           peerServer.Handler(),
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		},
		operators: &http.Server{
			Handler:           operator.NewServer(i.common.Metrics, i.trail, i).Handler(),
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		},
	}
	running.Go(func() { _ = s.callers.Serve(l.callers) })
	running.Go(func() { _ = s.peers.Serve(peer.CountListener(l.peers, i.common.Metrics)) })
	running.Go(func() { _ = s.operators.Serve(l.operators) })
	if l.readiness != nil {
		s.readiness = &http.Server{
			Handler:           operator.ReadinessHandler(i),
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		}
		running.Go(func() { _ = s.readiness.Serve(l.readiness) })
	}
	return s
}

const headerTimeout = 10 * time.Second
