package service

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// jumpingClock can be moved ahead, as after a pause of the process.
type jumpingClock struct {
	ahead atomic.Int64
}

func (c *jumpingClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.ahead.Load()))
}

// Uptime jumps with the clock.
func (c *jumpingClock) Uptime() time.Duration {
	return time.Since(testStart) + time.Duration(c.ahead.Load())
}

var testStart = time.Now()

type noAudit struct{}

func (noAudit) Record(tarragonwell.AuditRecord) {}

func commonOf(t *testing.T, clock tarragonwell.Clock) *common.Dependencies {
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

func ruleOf(name string) *tarragonwell.Service {
	return &tarragonwell.Service{
		Name:        name,
		Slots:       5,
		Connections: 50,
		RetryRatio:  1,
		Policy:      policy.Default,
	}
}

func TestPausedServiceConfirmsItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &jumpingClock{}
		confirms := make(chan bool, 10)
		s := New(Options{
			Common:        commonOf(t, clock),
			ServiceRule:   ruleOf("s"),
			InstanceCount: 1,
			Targets: []tarragonwell.ListedTarget{
				{
					Address: "127.0.0.1:1",
				},
			},
			RequestConfirmation: func() { confirms <- true },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		defer running.Wait()
		defer cancel()

		request := scheduling.AcquireRequest{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
			Deadline: clock.Now().Add(time.Hour),
		}
		if l, refusal := s.acquire(ctx, request); l == nil {
			t.Fatalf("before the pause: got %+v", refusal)
		}
		clock.ahead.Store(int64(5 * time.Second))
		waiting, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		if l, _ := s.acquire(waiting, request); l != nil {
			t.Error("after the pause: got a grant, want a wait")
		}
		<-confirms
		s.ConfirmTargets()
		if l, refusal := s.acquire(ctx, request); l == nil {
			t.Errorf("after the confirmation: got %+v", refusal)
		}
	})
}

// TestProbesStayInTheDataCenter counts the probes of a minute of fake time: one
// in 48 s a target, at a budget of one a second and 48 instances, near targets
// only.
func TestProbesStayInTheDataCenter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := commonOf(t, common.SystemClock{})
		c.Settings.DataCenter = "near"
		rule := ruleOf("s")
		rule.ProbeBudget = 1
		s := New(Options{
			Common:        c,
			ServiceRule:   rule,
			InstanceCount: 48,
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		defer running.Wait()
		defer cancel()
		s.SetTargets([]tarragonwell.ListedTarget{
			{
				// Nobody listens there; a probe that fails counts as well.
				Address:    "127.0.0.1:1",
				DataCenter: "near",
			},
			{
				Address:    "127.0.0.1:2",
				DataCenter: "far",
			},
		})
		time.Sleep(48*time.Second - time.Millisecond)
		early := probesOf(t, s)
		time.Sleep(4 * 48 * time.Second)
		late := probesOf(t, s)
		if got, want := early["127.0.0.1:1"]+late["127.0.0.1:2"], uint64(0); got != want {
			t.Errorf("within the first interval, or far away: got %d, want %d", got, want)
		}
		if got := late["127.0.0.1:1"]; got < 3 || got > 4 {
			t.Errorf("in four intervals more: got %d probes, want 3 or 4", got)
		}
	})
}

func probesOf(t *testing.T, s *Dispatcher) map[string]uint64 {
	t.Helper()
	status, err := s.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]uint64{}
	for _, x := range status.Targets {
		out[x.Address] = x.Probes
	}
	return out
}

// scripted is a target that does what its script says, call by call.
type scripted struct {
	address string
	mu      sync.Mutex
	script  []func(w http.ResponseWriter, r *http.Request)
	calls   int
}

func startScripted(t *testing.T, script ...func(http.ResponseWriter, *http.Request)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &scripted{
		address: l.Addr().String(),
		script:  script,
	}
	server := &http.Server{
		Handler: x,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		running.Wait()
	})
	return x
}

// ServeHTTP implements http.Handler.
func (x *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	n := min(x.calls, len(x.script)-1)
	x.calls++
	act := x.script[n]
	x.mu.Unlock()
	act(w, r)
}

func (x *scripted) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calls
}

func answer(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "whole")
}

func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Target-Not-Run", "shed")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

func silent(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// TestOutcomes holds what is told for each way in which a call can end, and how
// often targets are asked.
func TestOutcomes(t *testing.T) {
	type script = []func(http.ResponseWriter, *http.Request)
	tests := []struct {
		name       string
		repeatable bool
		script     script
		outcome    tarragonwell.Outcome
		calls      int
	}{
		{
			name:       "answered",
			repeatable: false,
			script:     script{answer},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      1,
		},
		{
			name:       "broken off, may repeat",
			repeatable: true,
			script:     script{breakOff, answer},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "broken off, must not repeat",
			repeatable: false,
			script:     script{breakOff, answer},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "truncated, may repeat",
			repeatable: true,
			script:     script{truncate, answer},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "truncated, must not repeat",
			repeatable: false,
			script:     script{truncate, answer},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "always broken off",
			repeatable: true,
			script:     script{breakOff},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      2,
		},
		{
			name:       "shed once",
			repeatable: false,
			script:     script{shed, answer},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "always shed",
			repeatable: false,
			script:     script{shed},
			outcome:    tarragonwell.OutcomeNotRun,
			calls:      usualAttempts,
		},
		{
			name:       "broken off, then shed",
			repeatable: true,
			script:     script{breakOff, shed},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      usualAttempts,
		},
		{
			name:       "server error, may repeat",
			repeatable: true,
			script:     script{fail, answer},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "server error, must not repeat",
			repeatable: false,
			script:     script{fail, answer},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "no answer in time",
			repeatable: false,
			script:     script{silent},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			target := startScripted(t, x.script...)
			r := dispatchTo(t, http.MethodPost, x.repeatable, target.address)
			if got, want := r.Outcome, x.outcome; got != want {
				t.Errorf("outcome: got %v (%s), want %v", got, r.Reason, want)
			}
			if got, want := target.count(), x.calls; got != want {
				t.Errorf("calls: got %d, want %d", got, want)
			}
		})
	}
}

// dispatchTo sends one call to a service of one target and reads the answer.
func dispatchTo(t *testing.T, method string, repeatable bool, address string) tarragonwell.Result {
	t.Helper()
	rule := ruleOf("s")
	s := New(Options{
		Common:        commonOf(t, common.SystemClock{}),
		ServiceRule:   rule,
		InstanceCount: 1,
		Targets: []tarragonwell.ListedTarget{
			{
				Address: address,
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	defer running.Wait()
	defer cancel()
	r := s.Dispatch(ctx, &tarragonwell.Call{
		ID:         "id",
		Method:     method,
		RequestURI: "/x",
		Route: &tarragonwell.Route{
			Service: rule,
			Kind: &tarragonwell.Kind{
				Name:       "k",
				Repeatable: repeatable,
				Timeout:    time.Second,
				Weight:     1,
				SlotShare:  1,
			},
		},
		Deadline:    time.Now().Add(time.Second),
		RetriesLeft: 1,
	})
	if r.Response != nil {
		_, _ = io.Copy(io.Discard, r.Response.Body)
		_ = r.Response.Body.Close()
	}
	return r
}

// TestHeadHasALengthAndNoBody holds that the length told is the target's.
func TestHeadHasALengthAndNoBody(t *testing.T) {
	target := startScripted(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
	})
	r := dispatchTo(t, http.MethodHead, true, target.address)
	if got, want := r.Outcome, tarragonwell.OutcomeComplete; got != want {
		t.Fatalf("got %v (%s), want %v", got, r.Reason, want)
	}
	if got, want := r.Response.Length, int64(500); got != want {
		t.Errorf("length: got %d, want %d", got, want)
	}
}

func TestStoppedServiceRefuses(t *testing.T) {
	s := New(Options{
		Common:      commonOf(t, common.SystemClock{}),
		ServiceRule: ruleOf("s"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Run(ctx)
	_, refusal := s.acquire(context.Background(), scheduling.AcquireRequest{
		Kind: &tarragonwell.Kind{},
	})
	if refusal == nil {
		t.Error("got a lease, want a refusal")
	}
	_, err := s.Status(context.Background())
	if got, want := errors.Is(err, task.ErrStopped), true; got != want {
		t.Errorf("status: got %v", err)
	}
}

func BenchmarkMailboxHop(b *testing.B) {
	s := New(Options{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{},
			Metrics:  metrics.NewSet(),
			Audit:    noAudit{},
			Clock:    common.SystemClock{},
		},
		ServiceRule: ruleOf("s"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	defer running.Wait()
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		// A refusal for want of targets is the cheapest message with a reply.
		_, _ = s.acquire(ctx, scheduling.AcquireRequest{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
			Deadline: time.Now().Add(time.Second),
		})
	}
}
