package service

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// startWarmingService runs a service of an instance that is alone, whose only target
// states that it is warming up.
func startWarmingService(t *testing.T, clock tarragonwell.Clock, address string) *runningFixture {
	t.Helper()
	f := startServiceWith(t, func(o *Options) {
		if clock != nil {
			o.Common.Clock = clock
		}
		o.Common.Settings.Budgets.WarmUpOvershoot = 1.5
		o.Common.Settings.Budgets.WarmUpSlack = 8
		o.ServiceRule.WarmUpRate = 5.8
		o.Fleet = tarragonwell.FleetView{
			Self: tarragonwell.Member{
				State: tarragonwell.MemberServing,
			},
			Known: 1,
		}
	}, address)
	f.mailbox.Post(target.NoticeReport{
		ID:   "i-" + address,
		Born: 1,
		Notice: tarragonwell.TargetNotice{
			WarmUpStated:    true,
			WarmUpRemaining: time.Minute,
		},
	})
	return f
}

// TestBurstToWarmingTarget guards against a burst that reaches a target which is warming
// up, and against calls that wait for it or are rejected without a Retry-After.
func TestBurstToWarmingTarget(t *testing.T) {
	s := startScriptedTarget(t, respond)
	f := startWarmingService(t, nil, s.address)
	begin := time.Now()
	var calls sync.WaitGroup
	for range 60 {
		calls.Go(func() {
			r := f.call(http.MethodGet, false)
			discard(r)
			if r.Outcome == tarragonwell.OutcomeNotRun && (r.Reason != scheduling.ReasonWarmingUp || r.RetryAfter <= 0) {
				t.Errorf("got %q with a retry delay of %v", r.Reason, r.RetryAfter)
			}
		})
	}
	calls.Wait()
	if got, want := time.Since(begin), callTimeout/2; got > want {
		t.Errorf("calls ended after %v, want at once", got)
	}
	// The bucket is empty at first and holds one token afterwards.
	if got, want := s.callCount(), 1+int(time.Since(begin).Seconds()*5.8); got > want {
		t.Errorf("calls: got %d, want at most %d", got, want)
	}
	for s.callCount() == 0 {
		if time.Since(begin) > callTimeout {
			t.Fatal("got no call admitted")
		}
		discard(f.call(http.MethodGet, false))
		time.Sleep(10 * time.Millisecond)
	}
	status, err := f.Status(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if w := status.WarmUps["i-"+s.address]; !w.Sender || w.Remaining <= 0 {
		t.Errorf("status: got %+v, want a sender with time left", w)
	}
	if f.metrics.warmUpCalls.Get() == 0 || f.metrics.warmUpRejected.Get() == 0 {
		t.Errorf("metrics: got %d calls and %d rejected, want some of both", f.metrics.warmUpCalls.Get(), f.metrics.warmUpRejected.Get())
	}
}

// TestWarmUpTokenExpires guards against calls that were granted before a short pause of the
// process and arrive together with those of an instance that took its place.
func TestWarmUpTokenExpires(t *testing.T) {
	clock := &adjustableClock{}
	s := startScriptedTarget(t, respond)
	f := startWarmingService(t, clock, s.address)
	var l *lease
	for begin := time.Now(); l == nil && time.Since(begin) < callTimeout; time.Sleep(10 * time.Millisecond) {
		l, _ = f.acquire(f.ctx, scheduling.AcquireRequest{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
			Deadline: clock.Now().Add(time.Hour),
		})
	}
	if l == nil {
		t.Fatal("got no grant")
	}
	clock.offset.Store(int64(pauseThreshold / 2))
	_, err := sendCall(f.ctx, l, &tarragonwell.Call{
		Method:     http.MethodGet,
		RequestURI: "/x",
		Deadline:   time.Now().Add(time.Hour),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{},
		},
	})
	if err == nil || err.Stage != tarragonwell.StageNotSent {
		t.Errorf("got %v, want an error with StageNotSent", err)
	}
	if got, want := s.callCount(), 0; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}
