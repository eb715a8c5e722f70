package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

var (
	start = time.Unix(1_000_000, 0)
	short = &tarragonwell.Kind{
		Name:      "short",
		Weight:    1,
		SlotShare: 1,
	}
	long = &tarragonwell.Kind{
		Name:      "long",
		Weight:    1,
		Long:      true,
		SlotShare: 0.4,
	}
)

func newScheduler(seed uint64, targets int) *Scheduler {
	s := New(Options{
		ServiceRule: &tarragonwell.Service{
			Name:       "s",
			Slots:      5,
			RetryRatio: 0.1,
		},
		DataCenter:           "a",
		Chooser:              policy.New(policy.Default, rand.New(rand.NewPCG(seed, 1))),
		ServingInstanceCount: 1,
	})
	s.SetTargets(start, listOf(targets))
	return s
}

func listOf(n int) []tarragonwell.ListedTarget {
	var list []tarragonwell.ListedTarget
	for k := range n {
		list = append(list, tarragonwell.ListedTarget{
			Address:    fmt.Sprintf("t%02d", k),
			DataCenter: "a",
		})
	}
	return list
}

func acquire(s *Scheduler, now time.Time, id uint64, k *tarragonwell.Kind) Decision {
	return s.Acquire(now, AcquireRequest{
		ID:       id,
		Kind:     k,
		Deadline: now.Add(time.Second),
	})
}

func release(s *Scheduler, now time.Time, target string, end AttemptResult, latency time.Duration) {
	s.Release(now, Release{
		TargetID:     target,
		JoinSequence: s.find(target).JoinSequence,
		Kind:         short,
		Result:       end,
		Latency:      latency,
	})
}

func TestQueuesWhenTargetsSeemFull(t *testing.T) {
	s := newScheduler(1, 2)
	granted := 0
	for id := range uint64(30) {
		if acquire(s, start, id, short).Grant != nil {
			granted++
		}
	}
	// Two targets with 5 slots and a headroom of two calls each.
	if got, want := granted, 14; got != want {
		t.Errorf("granted: got %d, want %d", got, want)
	}
	if got, want := s.Queued(), 16; got != want {
		t.Errorf("waiting: got %d, want %d", got, want)
	}
	release(s, start, "t00", AttemptSucceeded, time.Millisecond)
	if got, want := len(s.Poll(start)), 1; got != want {
		t.Errorf("served by one release: got %d, want %d", got, want)
	}
}

func TestUnresponsiveTargetGetsNoCalls(t *testing.T) {
	s := newScheduler(1, 2)
	now := start
	for range 50 {
		d := acquire(s, now, 1, short)
		now = now.Add(time.Millisecond)
		release(s, now, d.Grant.TargetID, AttemptSucceeded, time.Millisecond)
	}
	var held Decision
	for held.Grant == nil || held.Grant.TargetID != "t00" {
		held = acquire(s, now, 2, short)
		if held.Grant.TargetID != "t00" {
			release(s, now, held.Grant.TargetID, AttemptSucceeded, time.Millisecond)
		}
	}
	now = now.Add(30 * time.Millisecond)
	for range 50 {
		d := acquire(s, now, 3, short)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		release(s, now, "t01", AttemptSucceeded, time.Millisecond)
	}
}

// TestSuspicionNeedsEvidence holds what peers are told and what they make of it:
// one slow call is no suspicion, and words alone never empty a service.
func TestSuspicionNeedsEvidence(t *testing.T) {
	s := newScheduler(1, 6)
	now := start
	for range 200 {
		d := acquire(s, now, 1, short)
		now = now.Add(time.Millisecond)
		release(s, now, d.Grant.TargetID, AttemptSucceeded, 10*time.Millisecond)
	}
	s.begin(now, s.find("t00"), short)
	s.begin(now, s.find("t01"), short)
	s.begin(now, s.find("t01"), short)
	now = now.Add(45 * time.Millisecond)
	if got, want := fmt.Sprint(s.SuspectsToAnnounce(now)), "[t01]"; got != want {
		t.Errorf("told: got %s, want %s", got, want)
	}
	if got, want := len(s.SuspectsToAnnounce(now)), 0; got != want {
		t.Errorf("told again at once: got %d, want %d", got, want)
	}
	for n := range 6 {
		s.MarkSuspect(now, fmt.Sprintf("t%02d", n), now.Add(time.Hour))
	}
	kept := 0
	for _, x := range s.Targets() {
		if !suspect(now, x) {
			kept++
		}
	}
	if got, want := kept, 4; got != want {
		t.Errorf("not kept out by words: got %d, want %d", got, want)
	}
	if got := s.find("t00").SuspectUntil.Sub(now); got > suspectLife {
		t.Errorf("believed for %v, want at most %v", got, suspectLife)
	}
}

func TestFailingTargetIsEjectedAndTriedAgain(t *testing.T) {
	s := newScheduler(1, 2)
	now := start
	for range ejectAfter {
		s.begin(now, s.find("t00"), short)
		release(s, now, "t00", AttemptFailed, 0)
	}
	for range 20 {
		d := acquire(s, now, 1, short)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Fatalf("ejected: got %s, want %s", got, want)
		}
		release(s, now, "t01", AttemptSucceeded, time.Millisecond)
	}
	now = now.Add(firstEjection + time.Millisecond)
	trials := 0
	for id := range uint64(6) {
		if d := acquire(s, now, id, short); d.Grant != nil && d.Grant.TargetID == "t00" {
			trials++
		}
	}
	if got, want := trials, 1; got > want {
		t.Errorf("trials at a time: got %d, want at most %d", got, want)
	}
}

func TestLeavingTargetGetsNoCalls(t *testing.T) {
	s := newScheduler(1, 2)
	if got, want := s.MarkLeaving(start, "t00", start.Add(time.Minute)), true; got != want {
		t.Errorf("news: got %v, want %v", got, want)
	}
	for id := range uint64(6) {
		d := acquire(s, start, id, short)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	s.MarkLeaving(start, "t01", start.Add(time.Minute))
	if got, want := acquire(s, start, 9, short).Rejection.Reason, ReasonNoTargets; got != want {
		t.Errorf("with none left: got %q, want %q", got, want)
	}
}

func TestSuspendQueuesCalls(t *testing.T) {
	s := newScheduler(1, 2)
	s.SuspendGrants(start.Add(time.Second))
	if got := acquire(s, start, 1, short); got.Grant != nil || got.Rejection != nil {
		t.Errorf("suspended: got %+v, want a wait", got)
	}
	s.ResumeGrants()
	if got, want := len(s.Poll(start)), 1; got != want {
		t.Errorf("resumed: got %d decisions, want %d", got, want)
	}
	s.SuspendGrants(start.Add(time.Second))
	if got := acquire(s, start.Add(time.Second), 2, short); got.Grant == nil {
		t.Errorf("after the time: got %+v, want a grant", got)
	}
}

// TestLongShareFollowsShortDemand holds the share of long work: with short work about
// it is what the rules say, without any it is more, and short work that comes
// back finds targets free of long work.
func TestLongShareFollowsShortDemand(t *testing.T) {
	longTargets := func(s *Scheduler, now time.Time) map[string]bool {
		used := map[string]bool{}
		for id := range uint64(200) {
			if d := acquire(s, now, id, long); d.Grant != nil {
				used[d.Grant.TargetID] = true
			}
		}
		return used
	}
	idle := newScheduler(1, 10)
	if got, want := len(longTargets(idle, start)), 8; got != want {
		t.Errorf("without short work: got %d targets, want %d", got, want)
	}
	busy := newScheduler(1, 10)
	for id := range uint64(24) {
		acquire(busy, start, id, short)
	}
	later := start.Add(5 * time.Second)
	busy.observeDemand(later)
	for _, x := range busy.Targets() {
		for x.InFlight > 0 {
			release(busy, later, x.Address, AttemptSucceeded, time.Millisecond)
		}
	}
	used := longTargets(busy, later)
	if got, want := len(used), 4; got != want {
		t.Errorf("beside short work: got %d targets, want %d", got, want)
	}
	for id := range uint64(12) {
		d := acquire(busy, later, 1000+id, short)
		if d.Grant == nil || used[d.Grant.TargetID] {
			t.Fatalf("short call %d: got %+v", id, d)
		}
	}
}

func TestNewTargetSlowStart(t *testing.T) {
	s := newScheduler(1, 1)
	s.options.ServiceRule.Ramp = time.Second
	s.SetTargets(start, listOf(2))
	// count returns how many calls the new target may have at a time.
	count := func(now time.Time) int {
		granted := map[string]int{}
		for id := range uint64(30) {
			d := acquire(s, now, id, short)
			s.Cancel(id)
			if d.Grant != nil {
				granted[d.Grant.TargetID]++
			}
		}
		for target, n := range granted {
			for range n {
				release(s, now, target, AttemptSucceeded, time.Millisecond)
			}
		}
		return granted["t01"]
	}
	if got, want := count(start), 1; got != want {
		t.Errorf("at once: got %d, want %d", got, want)
	}
	if got, want := count(start.Add(500*time.Millisecond)), 4; got != want {
		t.Errorf("half way: got %d, want %d", got, want)
	}
	if got, want := count(start.Add(time.Second)), 7; got != want {
		t.Errorf("after the ramp: got %d, want %d", got, want)
	}
}

func TestRejectsCallsThatMissTheirDeadline(t *testing.T) {
	s := newScheduler(1, 1)
	now := start
	s.stats(short).take(50 * time.Millisecond)
	for id := range uint64(20) {
		acquire(s, now, id, short)
	}
	d := s.Acquire(now, AcquireRequest{
		ID:       99,
		Kind:     short,
		Deadline: now.Add(20 * time.Millisecond),
	})
	if got, want := d.Rejection.Reason, ReasonDeadline; got != want {
		t.Errorf("at once: got %q, want %q", got, want)
	}
	late := s.Acquire(now, AcquireRequest{
		ID:       100,
		Kind:     short,
		Deadline: now,
	})
	if got, want := late.Rejection.Reason, ReasonDeadline; got != want {
		t.Errorf("past its deadline: got %q, want %q", got, want)
	}
	now = now.Add(960 * time.Millisecond)
	refused := 0
	for _, d := range s.Poll(now) {
		if d.Rejection != nil {
			refused++
		}
	}
	if got, want := refused, 13; got != want {
		t.Errorf("in the queue: got %d refused, want %d", got, want)
	}
}

// TestShortCallsDoNotQueueBehindLongOnes holds the kinds apart: long calls that
// wait for their own targets keep no short call waiting.
func TestShortCallsDoNotQueueBehindLongOnes(t *testing.T) {
	s := newScheduler(1, 5)
	for id := range uint64(50) {
		acquire(s, start, id, long)
	}
	if got, want := s.Queued() > 0, true; got != want {
		t.Fatalf("long calls wait: got %v, want %v", got, want)
	}
	if got := acquire(s, start, 99, short); got.Grant == nil {
		t.Errorf("short call: got %+v, want a grant", got)
	}
}

// TestStateInvariants draws histories of all that can happen and checks the
// invariants of the state.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(rapid.Uint64().Draw(t, "seed"), 3)
		now := start
		var grants []*Grant
		kinds := map[uint64]*tarragonwell.Kind{}
		take := func(ds ...Decision) {
			for _, d := range ds {
				if d.Grant != nil {
					grants = append(grants, d.Grant)
				}
			}
		}
		for id := range uint64(120) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch act := rapid.IntRange(0, 9).Draw(t, "act"); {
			case act < 5:
				kinds[id] = []*tarragonwell.Kind{short, long}[rapid.IntRange(0, 1).Draw(t, "kind")]
				take(acquire(s, now, id, kinds[id]))
			case act < 8 && len(grants) > 0:
				g := grants[0]
				grants = grants[1:]
				s.Release(now, Release{
					TargetID:     g.TargetID,
					JoinSequence: g.JoinSequence,
					Kind:         kinds[g.ID],
					Result:       AttemptResult(rapid.IntRange(0, 3).Draw(t, "end")),
					Latency:      time.Duration(rapid.IntRange(1, 50).Draw(t, "latency")) * time.Millisecond,
					Load: &tarragonwell.LoadReport{
						Running: rapid.IntRange(0, 9).Draw(t, "running"),
					},
				})
			case act == 8:
				s.SetTargets(now, listOf(rapid.IntRange(0, 4).Draw(t, "targets")))
			case act == 9:
				s.Cancel(id - min(id, 3))
			}
			take(s.Poll(now)...)
			if got, want := s.InFlight(), len(grants); got != want {
				t.Fatalf("in flight: got %d, want %d", got, want)
			}
			for _, x := range s.Targets() {
				if x.InFlight < 0 || x.InFlightLong < 0 || x.InFlightLong > x.InFlight || x.ExternalCalls < 0 || x.FailureRate > 1 {
					t.Fatalf("got %+v", x)
				}
			}
		}
	})
}
