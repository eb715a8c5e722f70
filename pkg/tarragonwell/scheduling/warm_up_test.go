package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// warmUpBound is the bound with the rate, overshoot and slack of newWarmUpScheduler.
const warmUpBound = 5.8*1.5 + 8

// setFullView gives a scheduler the view of instance i of n that sees all others.
func setFullView(s *Scheduler, now time.Time, i, n int) {
	view := tarragonwell.FleetView{
		Known:        n,
		SeedMajority: true,
	}
	for j := range n {
		m := tarragonwell.Member{
			PeerAddress: fmt.Sprintf("10.0.0.%d:1", j),
			DataCenter:  "a",
			State:       tarragonwell.MemberServing,
		}
		if j == i {
			view.Self = m
			continue
		}
		view.Alive = append(view.Alive, m)
	}
	s.SetFleet(now, view)
}

// newWarmUpScheduler returns the scheduler of instance i of n, whose view has settled.
func newWarmUpScheduler(i, n int, list []tarragonwell.ListedTarget) *Scheduler {
	s := newScheduler(uint64(i), 0)
	s.options.ServiceRule.WarmUpRate = 5.8
	s.options.ServiceRule.RetryRatio = 1
	s.options.ServiceRule.MaxUtilization = 1.2
	s.options.WarmUpOvershoot = 1.5
	s.options.WarmUpSlack = 8
	s.Configure(s.options)
	for at := -5 * time.Second; at <= 0; at += time.Second {
		setFullView(s, startTime.Add(at), i, n)
	}
	s.SetTargets(startTime, list)
	return s
}

// TestBurstAtReturnOfDataCenter guards against more calls than they sustain to the targets
// of a data centre that all return cold while callers send a burst, in first attempts,
// retries and hedges, and against calls that wait for such targets.
func TestBurstAtReturnOfDataCenter(t *testing.T) {
	const instances, warmUpTime = 100, 3 * time.Second
	for _, cold := range []int{6, 12} {
		list := identifiedTargets(12, 7)
		for k := range list[:cold] {
			list[k].WarmUpUntil = startTime.Add(warmUpTime)
		}
		calls := map[string][]time.Time{}
		for i := range instances {
			s := newWarmUpScheduler(i, instances, list)
			for now := startTime; now.Before(startTime.Add(warmUpTime)); now = now.Add(100 * time.Millisecond) {
				setFullView(s, now, i, instances)
				for n := range 6 {
					d := s.Acquire(now, AcquireRequest{
						ID:                uint64(n),
						Kind:              shortKind,
						Deadline:          now.Add(time.Second),
						Retry:             n == 1,
						SpareCapacityOnly: n == 2,
					})
					if g := d.Grant; g != nil {
						if limited := s.warmUpLimited(now, s.find(g.TargetID)); limited != (g.SendWithin > 0) {
							t.Fatalf("to be sent within %v, with a limit: %v", g.SendWithin, limited)
						}
						calls[g.TargetID] = append(calls[g.TargetID], now)
						release(s, now, g.TargetID, AttemptSucceeded, time.Millisecond)
					} else if cold == len(list) && (d.Rejection == nil || d.Rejection.RetryAfter <= 0 && !(n == 2)) {
						t.Fatalf("got %+v, want a rejection with a Retry-After", d)
					}
				}
			}
			if d := acquire(s, startTime.Add(warmUpTime), 1, shortKind); d.Grant == nil || d.Grant.SendWithin > 0 {
				t.Fatalf("after the warm-up: got %+v, want a grant without a limit", d)
			}
		}
		for _, l := range list[:cold] {
			perSecond := map[int64]int{}
			for _, at := range calls[l.ID] {
				perSecond[at.Unix()]++
			}
			for _, got := range perSecond {
				if float64(got) > warmUpBound {
					t.Errorf("%s: got %d calls in a second, want at most %.1f", l.ID, got, warmUpBound)
				}
			}
			if cold == len(list) && len(perSecond) == 0 {
				t.Errorf("%s: got no call", l.ID)
			}
		}
	}
}

// TestQueuedCallsWhenTargetsTurnCold guards against calls that stay in the queue until
// their deadline after all targets have become cold.
func TestQueuedCallsWhenTargetsTurnCold(t *testing.T) {
	s := newWarmUpScheduler(0, 100, identifiedTargets(1, 7))
	for n := range uint64(20) {
		acquire(s, startTime, n, shortKind)
	}
	s.RecordWarmUp(startTime, s.targets[0].ID, 7, time.Minute)
	queued, rejected := s.Queued(), 0
	for _, d := range s.Poll(startTime) {
		if r := d.Rejection; r != nil && r.Reason == ReasonWarmingUp && r.RetryAfter > 0 {
			rejected++
		}
	}
	if queued == 0 || rejected != queued {
		t.Errorf("got %d of %d queued calls rejected", rejected, queued)
	}
}

// TestStatedWarmUp guards against a list that lags behind what the target itself stated,
// against one that is applied again, and against late or implausible statements.
func TestStatedWarmUp(t *testing.T) {
	s := newScheduler(1, 0)
	now := startTime
	for _, step := range []struct {
		after        time.Duration
		listed       time.Duration
		born         uint64
		stated, want time.Duration
	}{
		{0, 10 * time.Second, 7, 0, 10 * time.Second},
		{2 * time.Second, 10 * time.Second, 7, 0, 0},
		{0, 10 * time.Second, 6, time.Minute, 0},
		{0, 10 * time.Second, 7, 1000 * time.Hour, time.Hour},
		{2 * time.Second, 10 * time.Second, 7, 5 * time.Second, 5 * time.Second},
		{0, 8 * time.Second, 6, 0, 5 * time.Second},
		{0, 20 * time.Second, 6, 0, 16 * time.Second},
	} {
		now = now.Add(step.after)
		list := identifiedTargets(1, 7)
		list[0].WarmUpUntil = startTime.Add(step.listed)
		s.SetTargets(now, list)
		s.RecordWarmUp(now, list[0].ID, step.born, step.stated)
		if got := s.targets[0].WarmUpUntil.Sub(now); got != step.want {
			t.Errorf("%+v: got %v", step, got)
		}
	}
}
