package scheduling

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// objectiveKind is a kind with a latency objective. In the tests, its callers wait
// for 3 s unless stated otherwise.
var objectiveKind = &tarragonwell.Kind{
	Name:             "timed",
	Weight:           1,
	SlotShare:        1,
	Repeatable:       true,
	LatencyObjective: 400 * time.Millisecond,
}

// typicalLatency is the normal latency of a call.
const typicalLatency = 150 * time.Millisecond

// newMaxUtilizationScheduler returns a scheduler of a service with MaxUtilization: it
// uses up to 80 % of the slots of each target.
func newMaxUtilizationScheduler(targets int) *Scheduler {
	s := New(Options{
		ServiceRule: &tarragonwell.Service{
			Name:            "s",
			Slots:           5,
			RetryRatio:      0.2,
			MaxUtilization:  0.8,
			PlacementProbes: 4,
			ProbeBudget:     60,
		},
		DataCenter:           "a",
		Policy:               policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
		ServingInstanceCount: 1,
		BudgetDivisor:        1,
	})
	s.SetTargets(startTime, targetList(targets))
	return s
}

// acquireWithTimeLeft requests a target for a call of objectiveKind, whose caller
// has the given time left.
func acquireWithTimeLeft(s *Scheduler, now time.Time, id uint64, left time.Duration) Decision {
	return s.Acquire(now, AcquireRequest{
		ID:             id,
		Kind:           objectiveKind,
		Deadline:       now.Add(time.Second),
		CallerTimeLeft: left,
	})
}

// TestPeakLoadRespectsMaxUtilization guards against filling all slots of targets
// that slow down when nearly full.
func TestPeakLoadRespectsMaxUtilization(t *testing.T) {
	s := newMaxUtilizationScheduler(2)
	granted := 0
	for id := range uint64(20) {
		if acquireWithTimeLeft(s, startTime, id, 3*time.Second).Grant != nil {
			granted++
		}
	}
	if got, want := granted, 8; got != want {
		t.Errorf("got %d calls at two targets of five slots, want %d", got, want)
	}
}

// TestPeakLoadRejectsCallsThatMissTheirObjective checks that a call is queued
// while it can meet its latency objective, and is then rejected with a retry
// delay.
func TestPeakLoadRejectsCallsThatMissTheirObjective(t *testing.T) {
	s := newMaxUtilizationScheduler(1)
	s.stats(objectiveKind).recordLatency(typicalLatency)
	s.meanShortLatency = typicalLatency
	for id := range uint64(10) {
		acquireWithTimeLeft(s, startTime, id, 3*time.Second)
	}
	if got := len(s.Poll(startTime.Add(objectiveKind.LatencyObjective / 2))); got != 0 {
		t.Errorf("within the objective: got %d decisions, want none", got)
	}
	decisions := s.Poll(startTime.Add(objectiveKind.LatencyObjective + time.Millisecond))
	if got, want := len(decisions), 6; got != want {
		t.Fatalf("after the objective: got %d decisions, want %d", got, want)
	}
	for _, d := range decisions {
		if d.Rejection == nil || d.Rejection.RetryAfter <= 0 || d.Rejection.RetryAfter > time.Second {
			t.Errorf("got %+v, want a rejection with a retry delay of up to a third of 3 s", d.Rejection)
		}
	}
}

// TestPeakLoadServesRetryingCallersLast checks that calls which can no longer
// meet their latency objective, because their callers were rejected before, take
// no slots from calls that can.
func TestPeakLoadServesRetryingCallersLast(t *testing.T) {
	s := newMaxUtilizationScheduler(1)
	acquireWithTimeLeft(s, startTime, 1, 3*time.Second)
	acquireWithTimeLeft(s, startTime, 2, 3*time.Second)
	acquireWithTimeLeft(s, startTime, 3, 3*time.Second)
	if d := acquireWithTimeLeft(s, startTime, 4, 2*time.Second); d.Grant != nil {
		t.Error("a late call was granted the last slot")
	}
	if d := acquireWithTimeLeft(s, startTime, 5, 3*time.Second); d.Grant == nil {
		t.Errorf("a call in time was not granted the last slot: %+v", d.Rejection)
	}
}

// TestPlacementProbesStayWithinProbeBudget counts the probes of ten seconds at a
// rate of calls far above the probe budget.
func TestPlacementProbesStayWithinProbeBudget(t *testing.T) {
	s := newMaxUtilizationScheduler(10)
	probes := 0
	for n := range 100_000 {
		now := startTime.Add(time.Duration(n) * 100 * time.Microsecond)
		probes += len(s.PlacementProbeTargets(now, AcquireRequest{
			Kind: objectiveKind,
		}, 0))
	}
	// Ten targets, 60 probes per second each, ten seconds, and the burst.
	if limit := 60*10*10 + 60*10*int(placementProbeBurstTime.Seconds()); probes > limit {
		t.Errorf("got %d probes, want at most %d", probes, limit)
	}
}

// TestSlowMachinesGetNoCalls checks that, of targets with the same load, those
// that report a slow machine get no calls.
func TestSlowMachinesGetNoCalls(t *testing.T) {
	s := newMaxUtilizationScheduler(4)
	for n, slowdown := range []int{500, 100, 500, 500} {
		s.RecordPlacementProbe(startTime, targetList(4)[n].Address, tarragonwell.LoadReport{
			Slots:           5,
			SlowdownPercent: slowdown,
		})
	}
	for id := range uint64(3) {
		d := acquireWithTimeLeft(s, startTime.Add(time.Millisecond), id, 3*time.Second)
		if d.Grant == nil || d.Grant.TargetID != "t01" {
			t.Fatalf("got %+v, want the target that is not slow", d.Grant)
		}
	}
}

// TestDelistedTargetsAreLastResort checks that a target whose entry was removed from
// the platform's list recently gets calls only if there is no other target.
func TestDelistedTargetsAreLastResort(t *testing.T) {
	s := newMaxUtilizationScheduler(2)
	list := targetList(2)
	list[0].Delisted = true
	s.SetTargets(startTime, list)
	if d := acquireWithTimeLeft(s, startTime, 1, 3*time.Second); d.Grant == nil || d.Grant.TargetID != "t01" {
		t.Errorf("got %+v, want the listed target", d.Grant)
	}
	list[1].Leaving = true
	s.SetTargets(startTime, list)
	if d := acquireWithTimeLeft(s, startTime, 2, 3*time.Second); d.Grant == nil || d.Grant.TargetID != "t00" {
		t.Errorf("got %+v, want the delisted target", d.Grant)
	}
}

// TestMisdirectedTargetGetsNoCalls checks that a target whose address has been
// reassigned to another target gets no further calls, even though it is still listed.
func TestMisdirectedTargetGetsNoCalls(t *testing.T) {
	s := newMaxUtilizationScheduler(2)
	s.recordStart(startTime, s.find("t00"), shortKind)
	release(s, startTime, "t00", AttemptMisdirected, time.Millisecond)
	for id := range uint64(4) {
		d := acquireWithTimeLeft(s, startTime.Add(time.Second), id, 3*time.Second)
		if d.Grant == nil || d.Grant.TargetID != "t01" {
			t.Fatalf("got %+v, want the target that is at its listed address", d.Grant)
		}
	}
}

// TestCallerTimeSpreadIsNotLateness checks that first attempts of callers with
// somewhat different timeouts are not taken for retries of rejected callers.
func TestCallerTimeSpreadIsNotLateness(t *testing.T) {
	s := newMaxUtilizationScheduler(1)
	s.stats(objectiveKind).recordLatency(typicalLatency)
	r := rand.New(rand.NewPCG(3, 4))
	drawTimeLeft := func() time.Duration {
		if r.IntN(20) == 0 {
			// A few callers wait for twice as long.
			return 6 * time.Second
		}
		return time.Duration(float64(3*time.Second) * (0.85 + 0.15*r.Float64()))
	}
	lateFirst, lateRetries := 0, 0
	const calls = 2000
	for n := range calls {
		first := drawTimeLeft()
		p := &admission.PendingCall{
			Kind: objectiveKind,
		}
		s.setQueueTimeout(startTime, p, first)
		if n >= calls/2 && p.Late {
			lateFirst++
		}
		s.setQueueTimeout(startTime, p, min(first, 3*time.Second)-900*time.Millisecond)
		if n >= calls/2 && p.Late {
			lateRetries++
		}
	}
	if lateFirst > calls/2/20 {
		t.Errorf("first attempts: got %d of %d late, want at most one in twenty", lateFirst, calls/2)
	}
	if lateRetries < calls/2*9/10 {
		t.Errorf("retrying callers: got %d of %d late, want nine in ten", lateRetries, calls/2)
	}
}

// TestHedgeDelayMeetsLatencyObjective checks that a hedge is sent early enough to
// meet the latency objective, and not before most calls have ended.
func TestHedgeDelayMeetsLatencyObjective(t *testing.T) {
	for _, x := range []struct {
		name string
		// tailLatency is the time within which nearly all calls end.
		tailLatency, want time.Duration
	}{
		{
			name:        "nearly all calls end early",
			tailLatency: 200 * time.Millisecond,
			want:        200 * time.Millisecond,
		},
		{
			name:        "some calls end late",
			tailLatency: 380 * time.Millisecond,
			want:        objectiveKind.LatencyObjective - typicalLatency,
		},
	} {
		s := newMaxUtilizationScheduler(1)
		k := s.stats(objectiveKind)
		k.meanLatency = float64(typicalLatency)
		k.tailLatency.value = float64(x.tailLatency)
		d := acquireWithTimeLeft(s, startTime, 1, 3*time.Second)
		if got := d.Grant.HedgeAfter; got != x.want {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}

// TestPeakLoadLimitsHedges checks that a hedge is sent only to a target that
// stays far from full.
func TestPeakLoadLimitsHedges(t *testing.T) {
	for _, x := range []struct {
		running int
		want    bool
	}{
		{
			running: 1,
			want:    true,
		},
		{
			running: 3,
			want:    false,
		},
	} {
		s := newMaxUtilizationScheduler(1)
		s.options.ServiceRule.MaxUtilization = 1.2
		s.RecordPlacementProbe(startTime, "t00", tarragonwell.LoadReport{
			Running:         x.running,
			Slots:           5,
			SlowdownPercent: 100,
		})
		d := s.Acquire(startTime, AcquireRequest{
			ID:                1,
			Kind:              objectiveKind,
			Deadline:          startTime.Add(time.Second),
			SpareCapacityOnly: true,
		})
		if got := d.Grant != nil; got != x.want {
			t.Errorf("%d of 5 slots in use: got %v, want %v", x.running, got, x.want)
		}
	}
}
