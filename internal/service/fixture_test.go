package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// adjustableClock is a clock that a test can move forward to simulate a pause of
// the process.
type adjustableClock struct {
	offset atomic.Int64
}

func (c *adjustableClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

// Uptime moves forward with the clock.
func (c *adjustableClock) Uptime() time.Duration {
	return time.Since(testStart) + time.Duration(c.offset.Load())
}

var testStart = time.Now()

type noAudit struct{}

func (noAudit) Record(tarragonwell.AuditRecord) {}

func newCommon(t *testing.T, clock tarragonwell.Clock) *common.Dependencies {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	return &common.Dependencies{
		Settings: &settingsfile.Settings{
			MaxResponseBufferBytes: 1000,
		},
		Log:     l,
		Metrics: metrics.NewSet(),
		Audit:   noAudit{},
		Clock:   clock,
	}
}

func newRule(name string) *tarragonwell.Service {
	return &tarragonwell.Service{
		Name:        name,
		Slots:       5,
		Connections: 50,
		RetryRatio:  1,
		Policy:      policy.Default,
	}
}

// scriptedTarget is a target with one handler for each call, in order. The last
// handler is used for all further calls.
type scriptedTarget struct {
	address string
	mu      sync.Mutex
	script  []func(w http.ResponseWriter, r *http.Request)
	calls   int
}

func startScriptedTarget(t *testing.T, script ...func(http.ResponseWriter, *http.Request)) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{
		address: l.Addr().String(),
		script:  script,
	}
	server := &http.Server{
		Handler: s,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		running.Wait()
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *scriptedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := min(s.calls, len(s.script)-1)
	s.calls++
	handler := s.script[n]
	s.mu.Unlock()
	handler(w, r)
}

func (s *scriptedTarget) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func respond(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "whole")
}

func resetConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Target-Not-Run", "shed")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// callTimeout is the time limit of the calls that runningFixture sends.
const callTimeout = 2 * time.Second

// runningFixture is a running service with a few targets.
type runningFixture struct {
	*Dispatcher
	ctx  context.Context
	rule *tarragonwell.Service
	// announced holds the announcements of leaving targets.
	announced chan tarragonwell.LeavingTarget
}

// startService runs a service with the targets at the addresses until the test ends.
func startService(t *testing.T, addresses ...string) *runningFixture {
	t.Helper()
	return startServiceWith(t, nil, addresses...)
}

// startServiceWith is startService with options that configure changes, unless it is nil.
func startServiceWith(t *testing.T, configure func(*Options), addresses ...string) *runningFixture {
	t.Helper()
	f := &runningFixture{
		rule:      newRule("s"),
		announced: make(chan tarragonwell.LeavingTarget, 100),
	}
	var listed []tarragonwell.ListedTarget
	for _, a := range addresses {
		listed = append(listed, tarragonwell.ListedTarget{
			ID:      "i-" + a,
			Address: a,
			Born:    1,
		})
	}
	o := Options{
		Common:        newCommon(t, common.SystemClock{}),
		ServiceRule:   f.rule,
		BudgetDivisor: 1,
		Targets:       listed,
		AnnounceLeaving: func(l tarragonwell.LeavingTarget) bool {
			f.announced <- l
			return true
		},
	}
	if configure != nil {
		configure(&o)
	}
	f.Dispatcher = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

// call sends a repeatable call. The response's body must be closed.
func (f *runningFixture) call(method string, long bool) tarragonwell.Result {
	return f.Dispatch(f.ctx, &tarragonwell.Call{
		ID:         "id",
		Method:     method,
		RequestURI: "/x",
		Route: &tarragonwell.Route{
			Service: f.rule,
			Kind: &tarragonwell.Kind{
				Name:       "k",
				Repeatable: true,
				Long:       long,
				Timeout:    callTimeout,
				Weight:     1,
				SlotShare:  1,
			},
		},
		Deadline:    time.Now().Add(callTimeout),
		RetriesLeft: 1,
	})
}

// discard reads a response to its end, or until it fails, and closes it.
func discard(r tarragonwell.Result) {
	if r.Response != nil {
		_, _ = io.Copy(io.Discard, r.Response.Body)
		_ = r.Response.Body.Close()
	}
}
