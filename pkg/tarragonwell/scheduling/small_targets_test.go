package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// newSmallTargetScheduler returns a scheduler of a service whose targets have the given number
// of slots.
func newSmallTargetScheduler(targets, slots int) *Scheduler {
	s := New(Options{
		ServiceRule: &tarragonwell.Service{
			Name:                "s",
			Slots:               slots,
			RetryRatio:          0.2,
			MaxUtilization:      1.2,
			OverflowUtilization: 0.85,
			PlacementProbes:     4,
			ProbeBudget:         1000,
		},
		DataCenter:           "a",
		Policy:               policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
		ServingInstanceCount: 1,
		BudgetDivisor:        1,
	})
	s.SetTargets(startTime, targetList(targets))
	return s
}

// probe records the response of a target to a placement probe.
func probe(s *Scheduler, now time.Time, id string, running, slowdownPercent int) {
	s.RecordPlacementProbe(now, id, tarragonwell.LoadReport{
		Running:         running,
		Slots:           s.find(id).Slots,
		SlowdownPercent: slowdownPercent,
	})
}

// TestSmallTargetsWithOneBusySlotAreProbedFurther guards against placing a call beside
// another one on a target of two slots while others are idle.
func TestSmallTargetsWithOneBusySlotAreProbedFurther(t *testing.T) {
	tests := []struct {
		slots, running int
		want           bool
	}{
		{
			slots:   1,
			running: 0,
			want:    true,
		},
		{
			slots:   2,
			running: 0,
			want:    true,
		},
		{
			slots:   2,
			running: 1,
			want:    false,
		},
		{
			slots:   6,
			running: 3,
			want:    true,
		},
		{
			slots:   6,
			running: 4,
			want:    false,
		},
	}
	for _, tt := range tests {
		s := newSmallTargetScheduler(8, tt.slots)
		probe(s, startTime, "t00", tt.running, 100)
		if got := s.anyLightlyLoaded(startTime, s.Targets()); got != tt.want {
			t.Errorf("%d of %d slots in use: got %v, want %v", tt.running, tt.slots, got, tt.want)
		}
	}
}

// TestSmallTargetsGetMoreProbes checks the number of targets that are probed for a call while
// none is found to be lightly loaded.
func TestSmallTargetsGetMoreProbes(t *testing.T) {
	for slots, want := range map[int]int{
		1: 8,
		2: 8,
		3: 5,
		6: 4,
	} {
		s := newSmallTargetScheduler(20, slots)
		request := AcquireRequest{
			Kind: objectiveKind,
		}
		// The probe budget fills up from the time of the list on.
		now := startTime.Add(time.Second)
		got := 0
		for round := range 10 {
			for _, id := range s.PlacementProbeTargets(now, request, round) {
				got++
				probe(s, now, id, slots, 500)
			}
		}
		if got != want {
			t.Errorf("targets of %d slots: got %d probes, want %d", slots, got, want)
		}
	}
}

// TestSimultaneousCallsDoNotShareASmallTarget guards against two calls that rely on the same
// probe response: the second one has to probe further, and takes nothing from the budgets.
func TestSimultaneousCallsDoNotShareASmallTarget(t *testing.T) {
	s := newSmallTargetScheduler(8, 2)
	probe(s, startTime, "t00", 0, 100)
	request := AcquireRequest{
		ID:                1,
		Kind:              objectiveKind,
		Deadline:          startTime.Add(time.Second),
		LightlyLoadedOnly: true,
	}
	if d := s.Acquire(startTime, request); d.Grant == nil || d.Grant.TargetID != "t00" {
		t.Fatalf("first call: got %+v, want the target that was probed", d)
	}
	before := s.retries
	request.ID = 2
	d := s.Acquire(startTime, request)
	if d.Rejection == nil || d.Rejection.Reason != ReasonBusy {
		t.Errorf("second call: got %+v, want a rejection as busy", d)
	}
	if got, want := s.retries, before; got != want {
		t.Errorf("retry budget: got %+v, want %+v", got, want)
	}
}

// TestMeanSlowdownIsThatOfAllTargets guards against a mean over the targets that were chosen for
// being fast, which makes targets without recent data look better than those that were probed.
func TestMeanSlowdownIsThatOfAllTargets(t *testing.T) {
	s := newSmallTargetScheduler(20, 2)
	for n := range 400 {
		now := startTime.Add(time.Duration(n) * time.Millisecond)
		slowdown := 100
		if n%4 == 0 {
			slowdown = 500
		}
		probe(s, now, fmt.Sprintf("t%02d", n%20), 0, slowdown)
		s.RecordLoad(now, "t01", tarragonwell.LoadReport{
			Slots:           2,
			SlowdownPercent: 100,
		})
	}
	if got, want := s.meanReportedSlowdown, 2.0; got < want-0.3 || got > want+0.3 {
		t.Errorf("got a mean slowdown of %v, want about %v", got, want)
	}
}

// TestProbeRoundsIgnoreTargetsOutOfReach guards against rounds of placement probes that end
// because of a lightly loaded target which the policy does not choose for the kind.
func TestProbeRoundsIgnoreTargetsOutOfReach(t *testing.T) {
	s := newTwoDataCenterScheduler()
	s.options.ServiceRule.PlacementProbes = 4
	probe(s, startTime, "t08", 0, 100)
	probe(s, startTime, "t00", s.find("t00").Slots, 100)
	d := s.Acquire(startTime, AcquireRequest{
		ID:                1,
		Kind:              shortKind,
		Deadline:          startTime.Add(time.Second),
		LightlyLoadedOnly: true,
	})
	if d.Rejection == nil || d.Rejection.Reason != ReasonBusy {
		t.Errorf("got %+v, want a rejection as busy, so that the next round follows", d)
	}
}
