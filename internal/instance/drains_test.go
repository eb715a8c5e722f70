package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/tarragonwell/tarragonwell/internal/common"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// newDrainStore returns a store with rules and with one target in each of the data centres
// north and south.
func newDrainStore() *fakeStore {
	f := &fakeStore{
		service: &tarragonwell.Service{
			Name:        "s",
			Slots:       5,
			Connections: 50,
			Policy:      policy.Default,
		},
	}
	f.publish("rules")
	for _, name := range []string{"north", "south"} {
		f.revision++
		f.list.Targets = append(f.list.Targets, tarragonwell.ListedTarget{
			ID:         "i-" + name,
			Service:    "s",
			Address:    "127.0.0.1:1",
			DataCenter: name,
			Revision:   f.revision,
		})
	}
	return f
}

// drain writes or removes the entries that drain data centres.
func (f *fakeStore) drain(begin bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.revision++
		d := tarragonwell.DataCenterDrain{
			DataCenter: name,
			Revision:   f.revision,
		}
		isSame := func(x tarragonwell.DataCenterDrain) bool { return x.DataCenter == name }
		f.list.Drains = slices.DeleteFunc(f.list.Drains, isSame)
		f.list.EndedDrains = slices.DeleteFunc(f.list.EndedDrains, isSame)
		if begin {
			f.list.Drains = append(f.list.Drains, d)
		} else {
			f.list.EndedDrains = append(f.list.EndedDrains, d)
		}
	}
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// checkDrained checks which targets the instance's service has drained.
func (f *fetchFixture) checkDrained(t *testing.T, name string, want ...string) {
	t.Helper()
	s, err := f.reconciler.snapshot.Load().services["s"].Status(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range s.Targets {
		if x.Drained {
			got = append(got, x.ID)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: got drained targets %q, want %q", name, got, want)
	}
}

// awaitRevision waits until the instance's list has a revision.
func (f *fetchFixture) awaitRevision(t *testing.T, want uint64) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < fetchWait; time.Sleep(time.Millisecond) {
		if f.reconciler.snapshot.Load().list.Revision == want {
			return
		}
	}
	t.Fatalf("list: got revision %d, want %d", f.reconciler.snapshot.Load().list.Revision, want)
}

// peerOfPreviousRelease is an instance that reads the store and does not know drains.
type peerOfPreviousRelease struct {
	tarragonwellv1connect.UnimplementedPeerServiceHandler
	store *fakeStore
	// asked is closed at the first request.
	asked chan struct{}
}

// FetchList implements tarragonwellv1connect.PeerServiceHandler.
func (p *peerOfPreviousRelease) FetchList(_ context.Context, r *connect.Request[pb.FetchListRequest]) (*connect.Response[pb.FetchListResponse], error) {
	defer close(p.asked)
	return connect.NewResponse(&pb.FetchListResponse{
		Change: &pb.ListChange{
			Since:    r.Msg.GetSince(),
			Revision: p.store.revision,
		},
		CoversRules: true,
	}), nil
}

// serve serves the peer's data and returns its address.
func (p *peerOfPreviousRelease) serve(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(tarragonwellv1connect.NewPeerServiceHandler(p))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestDrainReachesInstance guards against a drain, or its end, that an instance misses
// because the reader fails before it passes the list on, because the store fails after a
// reader has read it, or because the list comes from a peer that does not know drains.
func TestDrainReachesInstance(t *testing.T) {
	for name, x := range map[string]struct {
		cutOff    []string
		storeDown bool
		previous  bool
	}{
		"nothing lost": {},
		"reader lost": {
			cutOff: []string{"FetchList"},
		},
		"store down": {
			storeDown: true,
		},
		"previous release, then the platform": {
			cutOff:   []string{"FetchList"},
			previous: true,
		},
		"previous release and store down, then a peer": {
			previous:  true,
			storeDown: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := newDrainStore()
			reader := startFetchFixture(t, store)
			other := startFetchFixture(t, store)
			reader.read(t)
			other.read(t)
			address := reader.servePeers(t, x.cutOff...)
			pass := func() {
				reader.read(t)
				store.setDown(x.storeDown)
				before := other.reconciler.snapshot.Load().list.Revision
				if x.previous {
					p := &peerOfPreviousRelease{
						store: store,
						asked: make(chan struct{}),
					}
					other.onNewerList(p.serve(t), listAt(store.revision))
					<-p.asked
					for range 20 {
						time.Sleep(time.Millisecond)
						if got := other.reconciler.snapshot.Load().list.Revision; got != before {
							t.Fatalf("list: got revision %d from the previous release, want %d", got, before)
						}
					}
				}
				if len(x.cutOff) == 0 {
					other.onNewerList(address, listAt(store.revision))
				} else {
					other.read(t)
				}
				other.awaitRevision(t, store.revision)
				store.setDown(false)
			}
			store.drain(true, "north", "nowhere")
			pass()
			other.checkDrained(t, "drain", "i-north")
			store.drain(true, "south")
			store.drain(false, "north")
			pass()
			other.checkDrained(t, "other drain", "i-south")
			store.drain(false, "south")
			pass()
			other.checkDrained(t, "after the end")
		})
	}
}

// jumpingClock is a clock whose uptime a test moves forward, as a suspension does.
type jumpingClock struct {
	common.SystemClock
	offset atomic.Int64
}

// Uptime implements tarragonwell.Clock.
func (c *jumpingClock) Uptime() time.Duration {
	return c.SystemClock.Uptime() + time.Duration(c.offset.Load())
}

// TestSuspendedInstanceLearnsOfDrainFirst guards against a call that an instance sends to a
// drained target after it was suspended, while the store is down and a peer's response with
// the drain is still under way.
func TestSuspendedInstanceLearnsOfDrainFirst(t *testing.T) {
	store := newDrainStore()
	reader := startFetchFixture(t, store)
	clock := &jumpingClock{}
	other := startFetchFixtureWith(t, store, clock)
	reader.read(t)
	other.read(t)
	other.checkDrained(t, "before")
	address := reader.servePeersSlowly(t, 100*time.Millisecond)
	other.peers.SetSeeds([]string{address})
	store.drain(true, "north", "south")
	reader.read(t)
	store.setDown(true)
	reader.peers.AwaitMerged(reader.ctx)
	for len(other.peers.SampleKnown(1)) == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.offset.Add(int64(20 * time.Second))
	r := other.reconciler.snapshot.Load().services["s"].Dispatch(other.ctx, &tarragonwell.Call{
		ID:         "id",
		Method:     http.MethodGet,
		RequestURI: "/x",
		Service:    store.service,
		Route: &tarragonwell.Route{
			Service: store.service,
			Kind: &tarragonwell.Kind{
				Name:      "k",
				Weight:    1,
				SlotShare: 1,
			},
		},
		Deadline: time.Now().Add(fetchWait),
	})
	if got, want := r.Reason, scheduling.ReasonDrained; got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
	if got, want := r.Outcome, tarragonwell.OutcomeNotRun; got != want {
		t.Errorf("got outcome %v, want %v", got, want)
	}
}

// TestDrainSources guards against a drain of one source that hides or ends that of the
// other, and against operators who see neither source nor number of targets.
func TestDrainSources(t *testing.T) {
	store := newDrainStore()
	f := startFetchFixture(t, store)
	store.drain(true, "north")
	f.read(t)
	store.publish(lineDrain)
	f.read(t)
	if got, want := f.Drains()[0].GetSource(), "platform revision 4 and line 1 of the rules"; got != want {
		t.Errorf("got source %q, want %q", got, want)
	}
	store.drain(false, "north")
	f.read(t)
	f.checkDrained(t, "by the rules alone", "i-north")
	d := f.Drains()
	if len(d) != 1 || d[0].GetSource() != "line 1 of the rules" || d[0].GetAskedBy() != "Mere" || d[0].GetTargets() != 1 {
		t.Errorf("got %v, want the drain of north by line 1", d)
	}
	if got := f.common.Metrics.GetOrCreateGauge("tarragonwell_drained_targets", nil).Get(); got != 1 {
		t.Errorf("metric: got %v drained targets, want 1", got)
	}
	store.publish("rules")
	f.read(t)
	f.checkDrained(t, "after both have ended")
	if got := len(f.Drains()); got != 0 {
		t.Errorf("got %d drains, want 0", got)
	}
}

// TestResyncFetchesNewestAnnouncedList guards against calls that are placed again after a
// pause by an older list than one of the queried peers has announced: a drain in that list
// would be missed.
func TestResyncFetchesNewestAnnouncedList(t *testing.T) {
	store := &fakeStore{}
	store.publish("rules")
	paused := startFetchFixture(t, store)
	paused.read(t)
	older := startFetchFixture(t, store)
	newest := startFetchFixture(t, store)
	store.publish("rules 2")
	older.read(t)
	store.mu.Lock()
	store.revision++
	want := store.revision
	store.list.Drains = append(store.list.Drains, tarragonwell.DataCenterDrain{
		DataCenter: "north",
		Revision:   want,
	})
	store.mu.Unlock()
	newest.read(t)
	store.mu.Lock()
	store.down = true
	store.mu.Unlock()
	first, second := older.servePeersSlowly(t, 20*time.Millisecond), newest.servePeers(t)
	paused.onNewerList(first, listAt(want-1))
	paused.onNewerList(second, listAt(want))
	paused.reconciler.mailbox.Post(resyncDone{})
	for begin := time.Now(); paused.reconciler.snapshot.Load().list.Revision != want; time.Sleep(time.Millisecond) {
		if time.Since(begin) > fetchWait {
			t.Fatalf("got list revision %d, want %d, which a queried peer announced", paused.reconciler.snapshot.Load().list.Revision, want)
		}
	}
}
