package scheduling

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// timed is a kind with an objective, of callers that wait 3 s.
var timed = &tarragonwell.Kind{
	Name:             "timed",
	Weight:           1,
	SlotShare:        1,
	Repeatable:       true,
	LatencyObjective: 400 * time.Millisecond,
}

// usualTime is how long calls take at targets.
const usualTime = 150 * time.Millisecond

// newFilling returns a scheduler that fills targets to a share of their slots.
func newFilling(targets int) *Scheduler {
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
		Chooser:              policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
		ServingInstanceCount: 1,
		InstanceCount:        1,
	})
	s.SetTargets(start, listOf(targets))
	return s
}

func ask(s *Scheduler, now time.Time, id uint64, left time.Duration) Decision {
	return s.Acquire(now, AcquireRequest{
		ID:             id,
		Kind:           timed,
		Deadline:       now.Add(time.Second),
		CallerTimeLeft: left,
	})
}

// TestPeakLoadRespectsMaxUtilization holds the calls at targets that slow down
// when nearly full.
func TestPeakLoadRespectsMaxUtilization(t *testing.T) {
	s := newFilling(2)
	granted := 0
	for id := range uint64(20) {
		if ask(s, start, id, 3*time.Second).Grant != nil {
			granted++
		}
	}
	if got, want := granted, 8; got != want {
		t.Errorf("got %d calls at two targets of five slots, want %d", got, want)
	}
}

// TestPeakLoadRejectsCallsThatMissTheirObjective holds that a call waits while it is
// of use, and is then told when to come back.
func TestPeakLoadRejectsCallsThatMissTheirObjective(t *testing.T) {
	s := newFilling(1)
	// The usual time of a call.
	s.stats(timed).take(usualTime)
	s.shortLatency = usualTime
	for id := range uint64(10) {
		ask(s, start, id, 3*time.Second)
	}
	if got := len(s.Poll(start.Add(timed.LatencyObjective / 2))); got != 0 {
		t.Errorf("within the objective: got %d ends, want none", got)
	}
	ends := s.Poll(start.Add(timed.LatencyObjective + time.Millisecond))
	if got, want := len(ends), 6; got != want {
		t.Fatalf("after the objective: got %d ends, want %d", got, want)
	}
	for _, d := range ends {
		if d.Rejection == nil || d.Rejection.RetryAfter <= 0 || d.Rejection.RetryAfter > time.Second {
			t.Errorf("got %+v, want a refusal with a time to come back within a third of 3 s", d.Rejection)
		}
	}
}

// TestPeakLoadServesRetryingCallersLast holds that calls which are late
// already take no place from calls that can still be in time.
func TestPeakLoadServesRetryingCallersLast(t *testing.T) {
	s := newFilling(1)
	ask(s, start, 1, 3*time.Second)
	ask(s, start, 2, 3*time.Second)
	ask(s, start, 3, 3*time.Second)
	if d := ask(s, start, 4, 2*time.Second); d.Grant != nil {
		t.Error("a call that is late already took the last place")
	}
	if d := ask(s, start, 5, 3*time.Second); d.Grant == nil {
		t.Errorf("a call in time got no place: %+v", d.Rejection)
	}
}

// TestPlacementProbesStayWithinProbeBudget counts the questions of ten seconds at a
// demand far above what the budget covers.
func TestPlacementProbesStayWithinProbeBudget(t *testing.T) {
	s := newFilling(10)
	asked := 0
	for n := range 100_000 {
		now := start.Add(time.Duration(n) * 100 * time.Microsecond)
		asked += len(s.PlacementProbeTargets(now, AcquireRequest{
			Kind: timed,
		}, 0))
	}
	// Ten targets, 60 a second, ten seconds, and the burst.
	if most := 60*10*10 + 60*10*int(surveyBurst.Seconds()); asked > most {
		t.Errorf("asked %d times, want at most %d", asked, most)
	}
}

// TestSlowMachinesGetNoCalls holds that of targets with the same load
// the one whose machine is slow at this moment gets nothing.
func TestSlowMachinesGetNoCalls(t *testing.T) {
	s := newFilling(4)
	for n, slowness := range []int{500, 100, 500, 500} {
		s.RecordPlacementProbe(start, listOf(4)[n].Address, tarragonwell.LoadReport{
			Slots:           5,
			SlowdownPercent: slowness,
		})
	}
	for id := range uint64(3) {
		d := ask(s, start.Add(time.Millisecond), id, 3*time.Second)
		if d.Grant == nil || d.Grant.TargetID != "t01" {
			t.Fatalf("got %+v, want the quiet target", d.Grant)
		}
	}
}

// TestExpiredTargetsAreLastResort holds that a target whose entry is gone gets
// calls only where there is no other.
func TestExpiredTargetsAreLastResort(t *testing.T) {
	s := newFilling(2)
	list := listOf(2)
	list[0].Delisted = true
	s.SetTargets(start, list)
	if d := ask(s, start, 1, 3*time.Second); d.Grant == nil || d.Grant.TargetID != "t01" {
		t.Errorf("got %+v, want the listed target", d.Grant)
	}
	list[1].Leaving = true
	s.SetTargets(start, list)
	if d := ask(s, start, 2, 3*time.Second); d.Grant == nil || d.Grant.TargetID != "t00" {
		t.Errorf("got %+v, want the lapsed target", d.Grant)
	}
}

// TestMisdirectedTargetGetsNoCalls holds that a target whose address another
// one answers at is tried once, and not again while it is listed.
func TestMisdirectedTargetGetsNoCalls(t *testing.T) {
	s := newFilling(2)
	s.begin(start, s.find("t00"), short)
	release(s, start, "t00", AttemptMisdirected, time.Millisecond)
	for id := range uint64(4) {
		d := ask(s, start.Add(time.Second), id, 3*time.Second)
		if d.Grant == nil || d.Grant.TargetID != "t01" {
			t.Fatalf("got %+v, want the target that is where the list says", d.Grant)
		}
	}
}

// TestCallerTimeSpreadIsNotLateness holds that callers whose patience
// differs, as it does where none was refused, are told from those that return.
func TestCallerTimeSpreadIsNotLateness(t *testing.T) {
	s := newFilling(1)
	s.stats(timed).take(usualTime)
	r := rand.New(rand.NewPCG(3, 4))
	brings := func() time.Duration {
		if r.IntN(20) == 0 {
			// Some wait for twice as long.
			return 6 * time.Second
		}
		return time.Duration(float64(3*time.Second) * (0.85 + 0.15*r.Float64()))
	}
	late, returned := 0, 0
	const calls = 2000
	for n := range calls {
		first := brings()
		w := &admission.PendingCall{
			Kind: timed,
		}
		s.setPatience(start, w, first)
		if n >= calls/2 && w.Late {
			late++
		}
		s.setPatience(start, w, min(first, 3*time.Second)-900*time.Millisecond)
		if n >= calls/2 && w.Late {
			returned++
		}
	}
	if late > calls/2/20 {
		t.Errorf("first attempts: got %d of %d late, want at most one in twenty", late, calls/2)
	}
	if returned < calls/2*9/10 {
		t.Errorf("returning callers: got %d of %d late, want nine in ten", returned, calls/2)
	}
}

// TestHedgeDelayMeetsLatencyObjective holds that a second attempt is sent while it
// can still meet the objective, and not before most calls have ended.
func TestHedgeDelayMeetsLatencyObjective(t *testing.T) {
	for _, x := range []struct {
		name string
		// late is the time within which nearly all calls end.
		late, want time.Duration
	}{
		{
			name: "nearly all calls end early",
			late: 200 * time.Millisecond,
			want: 200 * time.Millisecond,
		},
		{
			name: "some calls end late",
			late: 380 * time.Millisecond,
			want: timed.LatencyObjective - usualTime,
		},
	} {
		s := newFilling(1)
		k := s.stats(timed)
		k.latency = float64(usualTime)
		k.late.value = float64(x.late)
		d := ask(s, start, 1, 3*time.Second)
		if got := d.Grant.HedgeAfter; got != x.want {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}

// TestPeakLoadLimitsHedges holds that a second attempt beside the first
// goes only to a target that stays far from full.
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
		s := newFilling(1)
		s.options.ServiceRule.MaxUtilization = 1.2
		s.RecordPlacementProbe(start, "t00", tarragonwell.LoadReport{
			Running:         x.running,
			Slots:           5,
			SlowdownPercent: 100,
		})
		d := s.Acquire(start, AcquireRequest{
			ID:                1,
			Kind:              timed,
			Deadline:          start.Add(time.Second),
			SpareCapacityOnly: true,
		})
		if got := d.Grant != nil; got != x.want {
			t.Errorf("%d of 5 slots taken: got %v, want %v", x.running, got, x.want)
		}
	}
}
