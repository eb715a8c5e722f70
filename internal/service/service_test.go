package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestPauseRequiresConfirmation guards against placing calls according to an outdated
// list of targets after the process was paused.
func TestPauseRequiresConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &adjustableClock{}
		resyncs := make(chan bool, 10)
		s := New(Options{
			Common:        newCommon(t, clock),
			ServiceRule:   newRule("s"),
			BudgetDivisor: 1,
			Targets: []tarragonwell.ListedTarget{
				{
					Address: "127.0.0.1:1",
				},
			},
			RequestResync: func() { resyncs <- true },
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
		if l, rejection := s.acquire(ctx, request); l == nil {
			t.Fatalf("before the pause: got rejection %+v, want a grant", rejection)
		}
		clock.offset.Store(int64(5 * time.Second))
		queued, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		if l, _ := s.acquire(queued, request); l != nil {
			t.Error("after the pause: got a grant, want the request to stay queued")
		}
		<-resyncs
		s.ConfirmTargets()
		if l, rejection := s.acquire(ctx, request); l == nil {
			t.Errorf("after the confirmation: got rejection %+v, want a grant", rejection)
		}
	})
}

// TestProbesStayInDataCenter counts probes in fake time. With a budget of one probe
// per second and 48 instances, each instance sends one probe to a local target
// every 48 s, and none to remote targets.
func TestProbesStayInDataCenter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCommon(t, common.SystemClock{})
		c.Settings.DataCenter = "local"
		rule := newRule("s")
		rule.ProbeBudget = 1
		s := New(Options{
			Common:        c,
			ServiceRule:   rule,
			BudgetDivisor: 48,
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		defer running.Wait()
		defer cancel()
		s.SetTargets([]tarragonwell.ListedTarget{
			{
				// Nothing listens on this port; failed probes are counted too.
				Address:    "127.0.0.1:1",
				DataCenter: "local",
			},
			{
				Address:    "127.0.0.1:2",
				DataCenter: "remote",
			},
		})
		time.Sleep(48*time.Second - time.Millisecond)
		early := probeCounts(t, s)
		time.Sleep(4 * 48 * time.Second)
		late := probeCounts(t, s)
		if got, want := early["127.0.0.1:1"]+late["127.0.0.1:2"], uint64(0); got != want {
			t.Errorf("local within the first interval, plus remote: got %d probes, want %d", got, want)
		}
		// The first probe is sent after one to two intervals, the others one apart.
		if got := late["127.0.0.1:1"]; got < 3 || got > 4 {
			t.Errorf("local after four more intervals: got %d probes, want 3 or 4", got)
		}
	})
}

// probeCounts returns the number of probes sent to each target, by address.
func probeCounts(t *testing.T, s *Dispatcher) map[string]uint64 {
	t.Helper()
	status, err := s.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]uint64{}
	for _, target := range status.Targets {
		out[target.Address] = target.Probes
	}
	return out
}

// TestOutcomes checks the outcome that is reported for each way in which a call can
// end, and the number of calls that reach the target.
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
			name:       "successful",
			repeatable: false,
			script:     script{respond},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      1,
		},
		{
			name:       "connection reset, repeatable",
			repeatable: true,
			script:     script{resetConnection, respond},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "connection reset, not repeatable",
			repeatable: false,
			script:     script{resetConnection, respond},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "truncated, repeatable",
			repeatable: true,
			script:     script{truncate, respond},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "truncated, not repeatable",
			repeatable: false,
			script:     script{truncate, respond},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "connection always reset",
			repeatable: true,
			script:     script{resetConnection},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      2,
		},
		{
			name:       "refused once",
			repeatable: false,
			script:     script{refuse, respond},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "always refused",
			repeatable: false,
			script:     script{refuse},
			outcome:    tarragonwell.OutcomeNotRun,
			calls:      defaultMaxAttempts,
		},
		{
			name:       "connection reset, then refused",
			repeatable: true,
			script:     script{resetConnection, refuse},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      defaultMaxAttempts,
		},
		{
			name:       "server error, repeatable",
			repeatable: true,
			script:     script{fail, respond},
			outcome:    tarragonwell.OutcomeComplete,
			calls:      2,
		},
		{
			name:       "server error, not repeatable",
			repeatable: false,
			script:     script{fail, respond},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
		{
			name:       "response timeout",
			repeatable: false,
			script:     script{hang},
			outcome:    tarragonwell.OutcomeUnknown,
			calls:      1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := startScriptedTarget(t, tt.script...)
			r := dispatchTo(t, http.MethodPost, tt.repeatable, target.address)
			if got, want := r.Outcome, tt.outcome; got != want {
				t.Errorf("outcome: got %v (%s), want %v", got, r.Reason, want)
			}
			if got, want := target.callCount(), tt.calls; got != want {
				t.Errorf("calls: got %d, want %d", got, want)
			}
		})
	}
}

// dispatchTo sends one call to a service with one target and reads the response.
func dispatchTo(t *testing.T, method string, repeatable bool, address string) tarragonwell.Result {
	t.Helper()
	rule := newRule("s")
	s := New(Options{
		Common:        newCommon(t, common.SystemClock{}),
		ServiceRule:   rule,
		BudgetDivisor: 1,
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

// TestHeadKeepsContentLength checks that the response to a HEAD request has the
// length that the target stated, although the body is empty.
func TestHeadKeepsContentLength(t *testing.T) {
	target := startScriptedTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
	})
	r := dispatchTo(t, http.MethodHead, true, target.address)
	if got, want := r.Outcome, tarragonwell.OutcomeComplete; got != want {
		t.Fatalf("outcome: got %v (%s), want %v", got, r.Reason, want)
	}
	if got, want := r.Response.Length, int64(500); got != want {
		t.Errorf("length: got %d, want %d", got, want)
	}
}

func TestStoppedServiceRejects(t *testing.T) {
	s := New(Options{
		Common:      newCommon(t, common.SystemClock{}),
		ServiceRule: newRule("s"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Run(ctx)
	_, rejection := s.acquire(context.Background(), scheduling.AcquireRequest{
		Kind: &tarragonwell.Kind{},
	})
	if rejection == nil {
		t.Error("got a lease, want a rejection")
	}
	_, err := s.Status(context.Background())
	if got, want := errors.Is(err, task.ErrStopped), true; got != want {
		t.Errorf("status: got error %v, want task.ErrStopped", err)
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
		ServiceRule: newRule("s"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	defer running.Wait()
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		// A rejection because there are no targets is the cheapest message with a reply.
		_, _ = s.acquire(ctx, scheduling.AcquireRequest{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
			Deadline: time.Now().Add(time.Second),
		})
	}
}
