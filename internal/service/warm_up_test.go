package service

import (
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// TestWarmUpTokenIsCheckedAtWrite guards against calls that reach a target which is warming
// up without a token, or with one that was granted before a short pause of the process.
func TestWarmUpTokenIsCheckedAtWrite(t *testing.T) {
	clock := &adjustableClock{}
	s := startScriptedTarget(t, respond)
	f := startServiceWith(t, func(o *Options) {
		o.Common.Clock = clock
		o.Common.Settings.Budgets.WarmUpSlack = 160
		o.ServiceRule.WarmUpRate = 5.8
		o.Fleet.Self.State = tarragonwell.MemberServing
		o.Fleet.Known = 1
		o.Fleet.SeedMajority = true
	}, s.address)
	f.mailbox.Post(target.NoticeReport{
		ID:   "i-" + s.address,
		Born: 1,
		Notice: tarragonwell.TargetNotice{
			WarmUpStated:    true,
			WarmUpRemaining: time.Minute,
		},
	})
	if r := f.call(http.MethodGet, false); r.Outcome != tarragonwell.OutcomeNotRun || r.Reason != scheduling.ReasonWarmingUp || r.RetryAfter <= 0 {
		t.Errorf("got %v %q with a retry delay of %v, want a rejection", r.Outcome, r.Reason, r.RetryAfter)
	}
	// One step is enough for a token, and too long for its use.
	const step = 300 * time.Millisecond
	clock.offset.Add(int64(step))
	call := &tarragonwell.Call{
		Method:     http.MethodGet,
		RequestURI: "/x",
		Deadline:   time.Now().Add(time.Hour),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
		},
	}
	l, rejection := f.acquire(f.ctx, scheduling.AcquireRequest{
		Kind:     call.Route.Kind,
		Deadline: clock.Now().Add(time.Hour),
	})
	if l == nil {
		t.Fatalf("got rejection %+v, want a grant", rejection)
	}
	clock.offset.Add(int64(step))
	if _, err := sendCall(f.ctx, l, call); err == nil || err.Stage != tarragonwell.StageNotSent || s.callCount() > 0 {
		t.Errorf("got %v and %d calls, want StageNotSent and none", err, s.callCount())
	}
	if f.metrics.warmUpCalls.Get() != 1 || f.metrics.warmUpRejected.Get() != 1 {
		t.Errorf("metrics: got %d calls and %d rejected, want 1 and 1", f.metrics.warmUpCalls.Get(), f.metrics.warmUpRejected.Get())
	}
}
