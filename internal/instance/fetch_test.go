package instance

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/link"
)

// fakeStore is a platform with one feed, whose list has the revision of all its data.
type fakeStore struct {
	mu    sync.Mutex
	rules tarragonwell.PublishedRules
	// revision is that of the latest change, of the rules, a target or a drain.
	revision uint64
	// list holds all entries of the list, with the revisions of their latest changes.
	list tarragonwell.ListChange
	// service is the only service in the rules; nil for none.
	service *tarragonwell.Service
	// down is set while reads fail.
	down bool
}

// Feeds implements tarragonwell.PlatformClient.
func (f *fakeStore) Feeds() []tarragonwell.Feed {
	return []tarragonwell.Feed{f}
}

// ParseRules implements tarragonwell.PlatformClient. All content is valid but "invalid".
func (f *fakeStore) ParseRules(p *tarragonwell.PublishedRules) (*tarragonwell.RuleSet, error) {
	if string(p.Content) == "invalid" {
		return nil, rulesfile.ErrInvalid
	}
	set := &tarragonwell.RuleSet{
		Version: rulesfile.VersionOf(p.Revision, p.Content),
		Content: p.Content,
	}
	if f.service != nil {
		set.Services = map[string]*tarragonwell.Service{
			f.service.Name: f.service,
		}
	}
	if string(p.Content) == lineDrain {
		set.DataCenters = map[string]*tarragonwell.DataCenter{
			"north": {
				Name:  "north",
				Drain: true,
				Line: tarragonwell.RuleLine{
					Number:  1,
					AskedBy: "Mere",
				},
			},
		}
	}
	return set, nil
}

// Generation implements tarragonwell.PlatformClient.
func (*fakeStore) Generation([]byte) uint64 {
	return 0
}

// Name implements tarragonwell.Feed.
func (f *fakeStore) Name() string {
	return "store"
}

// MayRegress implements tarragonwell.Feed.
func (f *fakeStore) MayRegress() bool {
	return false
}

// Watch implements tarragonwell.Feed. It never waits.
func (f *fakeStore) Watch(_ context.Context, after tarragonwell.PlatformPosition, _ time.Duration) (tarragonwell.PlatformUpdate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var u tarragonwell.PlatformUpdate
	if f.down {
		return u, errStoreDown
	}
	if after.List.Revision >= f.revision {
		return u, nil
	}
	u.List = f.changesSince(after.List.Revision)
	if f.rules.Revision > after.List.Revision {
		rules := f.rules
		u.Rules = &rules
	}
	return u, nil
}

// errStoreDown is the error of reads while the store is down.
var errStoreDown = eris.New("the store is down")

// lineDrain is the content of rules that drain the data centre north.
const lineDrain = "drain"

// changesSince returns the entries that changed after a revision.
func (f *fakeStore) changesSince(since uint64) *tarragonwell.ListChange {
	c := &tarragonwell.ListChange{
		Since:    since,
		Revision: f.revision,
	}
	for _, t := range f.list.Targets {
		if t.Revision > since {
			c.Targets = append(c.Targets, t)
		}
	}
	for _, d := range f.list.Drains {
		if d.Revision > since {
			c.Drains = append(c.Drains, d)
		}
	}
	for _, d := range f.list.EndedDrains {
		if d.Revision > since && since > 0 {
			c.EndedDrains = append(c.EndedDrains, d)
		}
	}
	return c
}

// publish publishes rules.
func (f *fakeStore) publish(content string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.rules = tarragonwell.PublishedRules{
		Revision: f.revision,
		Content:  []byte(content),
	}
}

// fetchFixture is an instance whose reconciler and peers run; its watchers do not.
type fetchFixture struct {
	*Instance
	ctx   context.Context
	store *fakeStore
	// bytesPerSecond bounds the bandwidth of what is served to peers; 0 for no limit.
	bytesPerSecond float64
}

func startFetchFixture(t *testing.T, store *fakeStore) *fetchFixture {
	t.Helper()
	return startFetchFixtureWith(t, store, common.SystemClock{})
}

func startFetchFixtureWith(t *testing.T, store *fakeStore, clock tarragonwell.Clock) *fetchFixture {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	i := New(&settingsfile.Settings{
		GossipInterval: time.Hour,
	}, l, nil, Adapters{
		Platform: store,
	})
	i.common.Clock = clock
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { i.reconciler.Run(ctx) })
	running.Go(func() { i.peers.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return &fetchFixture{
		Instance: i,
		ctx:      ctx,
		store:    store,
	}
}

// read reads the store once, from the position at which the instance's watcher would go
// on, and waits until the update is applied.
func (f *fetchFixture) read(t *testing.T) {
	t.Helper()
	after, wait := f.watchArguments(false, 0)
	u, err := f.store.Watch(f.ctx, after, wait)
	if err != nil {
		t.Fatal(err)
	}
	f.reconciler.submit(u)
	f.settle(t)
}

// settle waits until the reconciler has handled the messages before.
func (f *fetchFixture) settle(t *testing.T) {
	t.Helper()
	if _, err := f.reconciler.ChangesSince(f.ctx, tarragonwell.ListPosition{}, tarragonwell.RulesVersion{}); err != nil {
		t.Fatal(err)
	}
}

func (f *fetchFixture) rulesContent() string {
	if r := f.reconciler.Rules(); r != nil {
		return string(r.Content)
	}
	return ""
}

// servePeers serves the fixture's data to peers, but for the methods that are cut off.
func (f *fetchFixture) servePeers(t *testing.T, cutOff ...string) (address string) {
	t.Helper()
	return f.servePeersSlowly(t, 0, cutOff...)
}

// servePeersSlowly is servePeers with a delay of each response with the list.
func (f *fetchFixture) servePeersSlowly(t *testing.T, delay time.Duration, cutOff ...string) (address string) {
	t.Helper()
	s := &peer.Server{
		Peers:        f.peers,
		PlatformData: f.reconciler,
	}
	handler := s.Handler()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, method := range cutOff {
			if strings.HasSuffix(r.URL.Path, "/"+method) {
				panic(http.ErrAbortHandler)
			}
		}
		if strings.HasSuffix(r.URL.Path, "/FetchList") {
			time.Sleep(delay)
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.Protocols = protocols
	if f.bytesPerSecond > 0 {
		server.Listener = &link.Listener{
			Listener:       server.Listener,
			BytesPerSecond: f.bytesPerSecond,
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// fetchWait bounds the wait for a fetch from a peer.
const fetchWait = 2 * time.Second

// TestReaderLostBetweenListAndRules checks that an instance gets new rules although the
// instance that read them from the platform fails after it has passed on the list of their
// revision and before it has passed on the rules themselves. Otherwise the rules are never
// read again, as the platform is then asked for later changes only.
func TestReaderLostBetweenListAndRules(t *testing.T) {
	for name, cutOff := range map[string][]string{
		"nothing lost":       nil,
		"lost after list":    {"FetchRules"},
		"lost before either": {"FetchRules", "FetchList"},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			store.publish("old")
			reader := startFetchFixture(t, store)
			other := startFetchFixture(t, store)
			reader.read(t)
			other.read(t)
			store.publish("new")
			reader.read(t)

			address := reader.servePeers(t, cutOff...)
			other.onNewerList(address, listAt(store.revision))
			other.onNewerRules(address, rulesfile.VersionOf(store.rules.Revision, store.rules.Content))
			for begin := time.Now(); time.Since(begin) < fetchWait; time.Sleep(time.Millisecond) {
				if other.reconciler.snapshot.Load().list.Revision == store.revision || len(cutOff) > 1 {
					break
				}
			}
			other.read(t)
			if got, want := other.rulesContent(), "new"; got != want {
				t.Errorf("rules: got %q, want %q", got, want)
			}
			if got, want := other.reconciler.snapshot.Load().list.Revision, store.revision; got != want {
				t.Errorf("list: got revision %d, want %d", got, want)
			}
		})
	}
}

// TestLargeRulesOverSlowLinkFromPeer guards against an instance that never gets the rules from
// its peers, as large rules take longer over a peer's link than a response could take.
func TestLargeRulesOverSlowLinkFromPeer(t *testing.T) {
	const (
		// bytesPerSecond is the share of one of four fetches over a link of 10 Mbit/s.
		bytesPerSecond = 10e6 / 8 / 4
		rulesBytes     = 256 << 10
		// wait is longer than the fetch takes on a busy machine: it is never repeated.
		wait = 10 * time.Second
	)
	for name, hint := range map[string]func(i *Instance, from string, store *fakeStore){
		"list": func(i *Instance, from string, store *fakeStore) {
			i.onNewerList(from, listAt(store.revision))
		},
		"rules": func(i *Instance, from string, store *fakeStore) {
			i.onNewerRules(from, rulesfile.VersionOf(store.rules.Revision, store.rules.Content))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &fakeStore{}
			// Responses are compressed, so the rules are random.
			content := make([]byte, rulesBytes)
			_, _ = rand.NewChaCha8([32]byte{}).Read(content)
			store.publish(string(content))
			reader := startFetchFixture(t, store)
			reader.bytesPerSecond = bytesPerSecond
			reader.read(t)
			other := startFetchFixture(t, store)
			hint(other.Instance, reader.servePeers(t), store)
			for begin := time.Now(); time.Since(begin) < wait && other.rulesContent() == ""; {
				time.Sleep(time.Millisecond)
			}
			if got := len(other.rulesContent()); got != rulesBytes {
				t.Errorf("got rules of %d bytes, want %d", got, rulesBytes)
			}
		})
	}
}

// listAt returns the position of a list of the first era.
func listAt(revision uint64) tarragonwell.ListPosition {
	return tarragonwell.ListPosition{
		Revision: revision,
	}
}
