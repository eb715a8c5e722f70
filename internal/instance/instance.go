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
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// ErrListen is the root of the errors of a listener that can't be opened.
var ErrListen = eris.New("can't listen")

// holderLife is how long the word that operations were taken over is kept; it
// covers the longest life of a ticket.
const holderLife = time.Hour

// Instance is one running instance. Make it with New and run it.
type Instance struct {
	common     *common.Common
	trail      *audit.Trail
	peers      *peer.Peers
	documents  *documents
	operations *operations.Operations
	platform   tarragonwell.Platform
	leaving    atomic.Bool
	ready      atomic.Bool
	// joined is set once peers were asked, before which no call is taken.
	joined atomic.Bool
}

// listeners are open from the start to the end of Run.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New returns an instance that isn't running yet.
func New(s *settingsfile.Settings, l *log.Logger) *Instance {
	c := &common.Common{
		Settings: s,
		Log:      l,
		Metrics:  metrics.NewSet(),
		Clock:    common.SystemClock{},
		Started:  time.Now(),
	}
	_, _ = rand.Read(c.Incarnation[:])
	i := &Instance{
		common: c,
		trail:  audit.NewTrail(s.AuditRecords),
	}
	c.Audit = i.trail
	i.documents = newDocuments(c)
	i.peers = peer.New(peer.Options{
		Common:        c,
		RulesNews:     i.rulesNews,
		ListNews:      i.listNews,
		TargetLeaving: i.targetLeaving,
		TargetSuspect: i.targetSuspect,
	})
	i.documents.peers = i.peers
	i.platform = &platform.Client{
		Address: s.Platform,
		HTTP:    &http.Client{},
	}
	i.documents.platform = i.platform
	i.operations = operations.New(operations.Options{
		Common: c,
		Dispatcher: &operationDispatcher{
			common:    c,
			documents: i.documents,
		},
		Forwarder: i.peers,
	})
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
			address:  s.Callers,
		},
		{
			listener: &l.peers,
			address:  s.Peers,
		},
		{
			listener: &l.operators,
			address:  s.Operators,
		},
	} {
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
	for _, x := range []net.Listener{l.callers, l.peers, l.operators} {
		if x != nil {
			_ = x.Close()
		}
	}
}

func (i *Instance) startTasks(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { i.trail.Run(ctx) })
	running.Go(func() { i.documents.Run(ctx) })
	running.Go(func() { i.peers.Run(ctx) })
	running.Go(func() { i.operations.Run(ctx) })
	running.Go(func() { i.rulesWatcher().Run(ctx) })
	running.Go(func() { i.listWatcher().Run(ctx) })
}

func (i *Instance) rulesWatcher() *platform.Watcher {
	w := i.watcher("rules")
	w.Read = func(ctx context.Context, plain bool, wait time.Duration) error {
		after, wait := watchFrom(plain, i.documents.revision(), wait)
		rules, err := i.platform.WatchRules(ctx, after, wait)
		if rules != nil {
			i.documents.mailbox.Post(rulesOffer{
				rules: rules,
				from:  fromPlatform,
			})
		}
		return err
	}
	return w
}

func (i *Instance) listWatcher() *platform.Watcher {
	w := i.watcher("instances")
	w.Read = func(ctx context.Context, plain bool, wait time.Duration) error {
		after, wait := watchFrom(plain, i.documents.List().GetRevision(), wait)
		list, err := i.platform.WatchInstances(ctx, after, wait)
		if list != nil {
			i.documents.mailbox.Post(listOffer{
				list: list,
				from: fromPlatform,
			})
		}
		return err
	}
	return w
}

// watchFrom is what to ask of the platform; a plain read waits for nothing.
func watchFrom(plain bool, revision uint64, wait time.Duration) (uint64, time.Duration) {
	if plain {
		return 0, 0
	}
	return revision, wait
}

func (i *Instance) watcher(name string) *platform.Watcher {
	return &platform.Watcher{
		Common: i.common,
		Name:   name,
		Reader: func() (bool, time.Time) {
			s := i.peers.Snapshot()
			return s.Reader, s.Contact
		},
		Contact: i.peers.Contact,
	}
}

// routing is what callers' requests are matched against, or nil before the
// instance has learnt from peers what is in force and which targets leave.
func (i *Instance) routing() *caller.Routing {
	if !i.joined.Load() {
		return nil
	}
	return i.documents.Routing()
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
}

func (i *Instance) startServers(l *listeners, running *sync.WaitGroup) *servers {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &peer.Server{
		Peers:      i.peers,
		Operations: i.operations,
		Documents:  i.documents,
		HolderLife: holderLife,
	}
	s := &servers{
		callers: caller.NewServer(caller.Options{
			Common:     i.common,
			Operations: i.operations,
			Routing:    i.routing,
			Leaving:    i.leaving.Load,
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
	return s
}

const headerTimeout = 10 * time.Second
