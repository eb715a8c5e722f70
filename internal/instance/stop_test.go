package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	stopDrainLimit   = 2 * time.Second
	stopBalancerWait = 300 * time.Millisecond
	// stopWork is how long the target of these tests works on a request.
	stopWork = 600 * time.Millisecond
)

// stopPlatform publishes one service with one target, for POST requests that must not be
// repeated.
type stopPlatform struct {
	*fakeStore
	target string
}

// Feeds implements tarragonwell.PlatformClient.
func (p *stopPlatform) Feeds() []tarragonwell.Feed {
	return []tarragonwell.Feed{p}
}

// Generation implements tarragonwell.PlatformClient.
func (*stopPlatform) Generation([]byte) uint64 {
	return 0
}

// Watch implements tarragonwell.Feed.
func (p *stopPlatform) Watch(ctx context.Context, after tarragonwell.PlatformPosition, wait time.Duration) (tarragonwell.PlatformUpdate, error) {
	u, err := p.fakeStore.Watch(ctx, after, wait)
	if u.List != nil {
		u.List.Targets = []tarragonwell.ListedTarget{
			{
				ID:      "t",
				Service: "s",
				Address: p.target,
				Slots:   1,
			},
		}
		return u, err
	}
	sleep(ctx, wait)
	return u, err
}

// ParseRules implements tarragonwell.PlatformClient.
func (p *stopPlatform) ParseRules(r *tarragonwell.PublishedRules) (*tarragonwell.RuleSet, error) {
	kind := &tarragonwell.Kind{
		Name:      "k",
		Timeout:   10 * time.Second,
		Weight:    1,
		SlotShare: 1,
	}
	service := &tarragonwell.Service{
		Name:        "s",
		Slots:       1,
		Connections: 20,
		Policy:      policy.Default,
	}
	return &tarragonwell.RuleSet{
		Version: rulesfile.VersionOf(r.Revision, r.Content),
		Content: r.Content,
		Services: map[string]*tarragonwell.Service{
			"s": service,
		},
		Kinds: map[string]*tarragonwell.Kind{
			"k": kind,
		},
		Routes: []*tarragonwell.Route{
			{
				PathPrefix: "/",
				Kind:       kind,
				Service:    service,
			},
		},
	}, nil
}

// freeAddress returns a loopback address on which nothing listens. Its IP address is that of the
// test's process, so that no connection or listener of another process takes the port meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16%64, pid>>8%256, pid%256))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// stopFixture is a running instance that can be stopped.
type stopFixture struct {
	callers string
	stop    context.CancelFunc
	stopped chan struct{}
	// runs counts the requests that the target began to work on.
	runs atomic.Int64
}

// startStopFixture starts an instance whose target works for stopWork on a request, and
// without end on one for /hang.
func startStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	f := &stopFixture{
		callers: freeAddress(t),
		stopped: make(chan struct{}),
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		w.Header().Set(target.HeaderAttemptID, r.Header.Get(target.HeaderAttemptID))
		_, _ = io.Copy(io.Discard, r.Body)
		f.runs.Add(1)
		work := stopWork
		if r.URL.Path == "/hang" {
			work = time.Minute
		}
		sleep(r.Context(), work)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	store := &fakeStore{}
	store.publish("rules")
	peers := freeAddress(t)
	i := New(&settingsfile.Settings{
		CallerListenAddress:   f.callers,
		PeerListenAddress:     peers,
		PeerAddress:           peers,
		OperatorListenAddress: freeAddress(t),
		GossipInterval:        time.Hour,
		MaxContactAge:         time.Second,
		WatchWait:             100 * time.Millisecond,
		MinReadInterval:       100 * time.Millisecond,
		BackoffLimit:          time.Second,
		Readers:               1,
		FanOut:                1,
		SampleSize:            1,
		BalancerWait:          stopBalancerWait,
		DrainLimit:            stopDrainLimit,
		MaxRequestBodyBytes:   1 << 20,
		AuditRecords:          10,
	}, l, nil, Adapters{
		Platform: &stopPlatform{
			fakeStore: store,
			target:    server.Listener.Addr().String(),
		},
		Callers: caller.Dialect{},
		Targets: target.Dialect{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() {
		defer close(f.stopped)
		if err := i.Run(ctx); err != nil {
			t.Errorf("run: got %v, want no error", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-f.stopped
	})
	for begin := time.Now(); !i.ready.Load(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the instance does not get ready")
		}
	}
	return f
}

// post sends a request on a new connection, whose body is complete after bodyTime. It returns the
// status, or 0 if the connection ends without a response.
func (f *stopFixture) post(t *testing.T, path string, bodyTime time.Duration) int {
	t.Helper()
	conn, err := net.Dial("tcp", f.callers)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return 0
	}
	defer conn.Close()
	return postOn(conn, path, bodyTime)
}

// postOn is post on an open connection.
func postOn(conn net.Conn, path string, bodyTime time.Duration) int {
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", path)
	time.Sleep(bodyTime)
	fmt.Fprint(conn, "b")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// TestStopAnswersEveryCall checks that in a planned stop no request which was read ends
// without an answer: one that comes too late for its work is not passed on and is answered
// as not run, and one that waits or that a target works on at the end of the drain limit is
// answered before the instance exits.
func TestStopAnswersEveryCall(t *testing.T) {
	t.Run("read late", func(t *testing.T) {
		t.Parallel()
		f := startStopFixture(t)
		// The instance learns how long the work takes.
		for range 3 {
			if got, want := f.post(t, "/x", 0), http.StatusOK; got != want {
				t.Fatalf("before the stop: got %d, want %d", got, want)
			}
		}
		before := f.runs.Load()
		f.stop()
		if got, want := f.post(t, "/x", stopDrainLimit-stopWork), http.StatusServiceUnavailable; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		if got, want := f.runs.Load()-before, int64(0); got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
	t.Run("read early", func(t *testing.T) {
		t.Parallel()
		f := startStopFixture(t)
		f.stop()
		if got, want := f.post(t, "/x", stopBalancerWait), http.StatusOK; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
	t.Run("first on an unused connection", func(t *testing.T) {
		t.Parallel()
		f := startStopFixture(t)
		conn, err := net.Dial("tcp", f.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		f.stop()
		time.Sleep(3 * stopBalancerWait / 2)
		if got, want := postOn(conn, "/x", 0), http.StatusOK; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
	t.Run("at work and waiting at the end", func(t *testing.T) {
		t.Parallel()
		f := startStopFixture(t)
		const calls = 5
		statuses := make([]string, calls)
		var running sync.WaitGroup
		for n := range calls {
			running.Go(func() { statuses[n] = fmt.Sprint(f.post(t, "/hang", 0)) })
		}
		time.Sleep(stopBalancerWait)
		f.stop()
		running.Wait()
		all := strings.Join(statuses, " ")
		notRun := strings.Count(all, fmt.Sprint(http.StatusServiceUnavailable))
		unknown := strings.Count(all, fmt.Sprint(http.StatusBadGateway)) + strings.Count(all, fmt.Sprint(http.StatusGatewayTimeout))
		if got, want := int64(unknown), f.runs.Load(); got != want {
			t.Errorf("got %d calls with an open outcome (%s), want %d", got, all, want)
		}
		if got, want := int64(notRun), calls-f.runs.Load(); got != want {
			t.Errorf("got %d calls that were not run (%s), want %d", got, all, want)
		}
	})
}
