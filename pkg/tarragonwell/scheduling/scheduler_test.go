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
	startTime = time.Unix(1_000_000, 0)
	shortKind = &tarragonwell.Kind{
		Name:      "short",
		Weight:    1,
		SlotShare: 1,
	}
	longKind = &tarragonwell.Kind{
		Name:      "long",
		Weight:    1,
		Long:      true,
		SlotShare: 0.4,
	}
)

// newScheduler returns a scheduler with the default policy and local targets of
// five slots.
func newScheduler(seed uint64, targets int) *Scheduler {
	s := New(Options{
		ServiceRule: &tarragonwell.Service{
			Name:       "s",
			Slots:      5,
			RetryRatio: 0.1,
		},
		DataCenter:           "a",
		Policy:               policy.New(policy.Default, rand.New(rand.NewPCG(seed, 1))),
		ServingInstanceCount: 1,
	})
	s.SetTargets(startTime, targetList(targets))
	return s
}

// targetList returns n targets named t00, t01 and so on.
func targetList(n int) []tarragonwell.ListedTarget {
	var list []tarragonwell.ListedTarget
	for k := range n {
		list = append(list, tarragonwell.ListedTarget{
			Address:    fmt.Sprintf("t%02d", k),
			DataCenter: "a",
		})
	}
	return list
}

// acquire requests a target for a call with a deadline of one second.
func acquire(s *Scheduler, now time.Time, id uint64, k *tarragonwell.Kind) Decision {
	return s.Acquire(now, AcquireRequest{
		ID:       id,
		Kind:     k,
		Deadline: now.Add(time.Second),
	})
}

// release ends a short call at a target.
func release(s *Scheduler, now time.Time, target string, result AttemptResult, latency time.Duration) {
	s.Release(now, Release{
		TargetID:     target,
		JoinSequence: s.find(target).JoinSequence,
		Kind:         shortKind,
		Result:       result,
		Latency:      latency,
	})
}

func TestQueuesWhenTargetsSeemFull(t *testing.T) {
	s := newScheduler(1, 2)
	granted := 0
	for id := range uint64(30) {
		if acquire(s, startTime, id, shortKind).Grant != nil {
			granted++
		}
	}
	// Two targets, each with 5 slots and a headroom of 2 calls.
	if got, want := granted, 14; got != want {
		t.Errorf("granted: got %d, want %d", got, want)
	}
	if got, want := s.Queued(), 16; got != want {
		t.Errorf("queued: got %d, want %d", got, want)
	}
	release(s, startTime, "t00", AttemptSucceeded, time.Millisecond)
	if got, want := len(s.Poll(startTime)), 1; got != want {
		t.Errorf("granted after one release: got %d, want %d", got, want)
	}
}

func TestUnresponsiveTargetGetsNoCalls(t *testing.T) {
	s := newScheduler(1, 2)
	now := startTime
	for range 50 {
		d := acquire(s, now, 1, shortKind)
		now = now.Add(time.Millisecond)
		release(s, now, d.Grant.TargetID, AttemptSucceeded, time.Millisecond)
	}
	var pending Decision
	for pending.Grant == nil || pending.Grant.TargetID != "t00" {
		pending = acquire(s, now, 2, shortKind)
		if pending.Grant.TargetID != "t00" {
			release(s, now, pending.Grant.TargetID, AttemptSucceeded, time.Millisecond)
		}
	}
	now = now.Add(30 * time.Millisecond)
	for range 50 {
		d := acquire(s, now, 3, shortKind)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		release(s, now, "t01", AttemptSucceeded, time.Millisecond)
	}
}

// TestSuspicionNeedsEvidence checks that a single slow call does not make a
// target suspected, that suspects are not announced again at once, and that
// peers' announcements alone never leave a service without targets.
func TestSuspicionNeedsEvidence(t *testing.T) {
	s := newScheduler(1, 6)
	now := startTime
	for range 200 {
		d := acquire(s, now, 1, shortKind)
		now = now.Add(time.Millisecond)
		release(s, now, d.Grant.TargetID, AttemptSucceeded, 10*time.Millisecond)
	}
	s.recordStart(now, s.find("t00"), shortKind)
	s.recordStart(now, s.find("t01"), shortKind)
	s.recordStart(now, s.find("t01"), shortKind)
	// With a mean latency of 10 ms, a target with two calls in flight is unresponsive
	// after 30 ms, and one with a single call after 60 ms.
	now = now.Add(45 * time.Millisecond)
	if got, want := fmt.Sprint(s.SuspectsToAnnounce(now)), "[t01]"; got != want {
		t.Errorf("announced: got %s, want %s", got, want)
	}
	if got, want := len(s.SuspectsToAnnounce(now)), 0; got != want {
		t.Errorf("announced again at once: got %d, want %d", got, want)
	}
	for n := range 6 {
		s.MarkSuspect(now, fmt.Sprintf("t%02d", n), now.Add(time.Hour))
	}
	unsuspected := 0
	for _, x := range s.Targets() {
		if !suspected(now, x) {
			unsuspected++
		}
	}
	if got, want := unsuspected, 4; got != want {
		t.Errorf("not suspected after announcements on all targets: got %d, want %d", got, want)
	}
	if got := s.find("t00").SuspectUntil.Sub(now); got > suspicionTTL {
		t.Errorf("suspected for %v, want at most %v", got, suspicionTTL)
	}
}

func TestSuspendedGrantsQueueCalls(t *testing.T) {
	s := newScheduler(1, 2)
	s.SuspendGrants(startTime.Add(time.Second))
	if got := acquire(s, startTime, 1, shortKind); got.Grant != nil || got.Rejection != nil {
		t.Errorf("suspended: got %+v, want the call queued", got)
	}
	s.ResumeGrants()
	if got, want := len(s.Poll(startTime)), 1; got != want {
		t.Errorf("resumed: got %d decisions, want %d", got, want)
	}
	s.SuspendGrants(startTime.Add(time.Second))
	if got := acquire(s, startTime.Add(time.Second), 2, shortKind); got.Grant == nil {
		t.Errorf("after the suspension: got %+v, want a grant", got)
	}
}

// TestLongShareFollowsShortDemand checks that long calls are limited to the share
// in the rules while there is demand for short calls, that they may use more
// without it, and that new short calls find targets without long ones.
func TestLongShareFollowsShortDemand(t *testing.T) {
	longTargets := func(s *Scheduler, now time.Time) map[string]bool {
		used := map[string]bool{}
		for id := range uint64(200) {
			if d := acquire(s, now, id, longKind); d.Grant != nil {
				used[d.Grant.TargetID] = true
			}
		}
		return used
	}
	idle := newScheduler(1, 10)
	if got, want := len(longTargets(idle, startTime)), 8; got != want {
		t.Errorf("without short calls: got %d targets, want %d", got, want)
	}
	busy := newScheduler(1, 10)
	// 24 calls in 50 slots leave long calls no more than their share in the rules.
	for id := range uint64(24) {
		acquire(busy, startTime, id, shortKind)
	}
	later := startTime.Add(5 * time.Second)
	busy.observeDemand(later)
	for _, x := range busy.Targets() {
		for x.InFlight > 0 {
			release(busy, later, x.Address, AttemptSucceeded, time.Millisecond)
		}
	}
	used := longTargets(busy, later)
	if got, want := len(used), 4; got != want {
		t.Errorf("with short calls: got %d targets, want %d", got, want)
	}
	for id := range uint64(12) {
		d := acquire(busy, later, 1000+id, shortKind)
		if d.Grant == nil || used[d.Grant.TargetID] {
			t.Fatalf("short call %d: got %+v", id, d)
		}
	}
}

func TestNewTargetSlowStart(t *testing.T) {
	s := newScheduler(1, 1)
	s.options.ServiceRule.Ramp = time.Second
	s.SetTargets(startTime, targetList(2))
	// count returns the number of concurrent calls that the new target is given.
	count := func(now time.Time) int {
		granted := map[string]int{}
		for id := range uint64(30) {
			d := acquire(s, now, id, shortKind)
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
	if got, want := count(startTime), 1; got != want {
		t.Errorf("at once: got %d, want %d", got, want)
	}
	if got, want := count(startTime.Add(500*time.Millisecond)), 4; got != want {
		t.Errorf("half-way through the slow start: got %d, want %d", got, want)
	}
	if got, want := count(startTime.Add(time.Second)), 7; got != want {
		t.Errorf("after the slow start: got %d, want %d", got, want)
	}
}

func TestRejectsCallsThatMissTheirDeadline(t *testing.T) {
	s := newScheduler(1, 1)
	now := startTime
	s.stats(shortKind).recordLatency(50 * time.Millisecond)
	for id := range uint64(20) {
		acquire(s, now, id, shortKind)
	}
	d := s.Acquire(now, AcquireRequest{
		ID:       99,
		Kind:     shortKind,
		Deadline: now.Add(20 * time.Millisecond),
	})
	if got, want := d.Rejection.Reason, ReasonDeadline; got != want {
		t.Errorf("at once: got %q, want %q", got, want)
	}
	expired := s.Acquire(now, AcquireRequest{
		ID:       100,
		Kind:     shortKind,
		Deadline: now,
	})
	if got, want := expired.Rejection.Reason, ReasonDeadline; got != want {
		t.Errorf("past the deadline: got %q, want %q", got, want)
	}
	now = now.Add(960 * time.Millisecond)
	rejected := 0
	for _, d := range s.Poll(now) {
		if d.Rejection != nil {
			rejected++
		}
	}
	if got, want := rejected, 13; got != want {
		t.Errorf("in the queue: got %d rejected, want %d", got, want)
	}
}

// TestShortCallsDoNotQueueBehindLongOnes checks that queued long calls, which are
// limited to a share of the targets, do not delay short calls.
func TestShortCallsDoNotQueueBehindLongOnes(t *testing.T) {
	s := newScheduler(1, 5)
	for id := range uint64(50) {
		acquire(s, startTime, id, longKind)
	}
	if got, want := s.Queued() > 0, true; got != want {
		t.Fatalf("long calls queued: got %v, want %v", got, want)
	}
	if got := acquire(s, startTime, 99, shortKind); got.Grant == nil {
		t.Errorf("short call: got %+v, want a grant", got)
	}
}

// TestStateInvariants runs random sequences of the main operations and checks the
// invariants of the scheduler's state.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(rapid.Uint64().Draw(t, "seed"), 3)
		now := startTime
		var grants []*Grant
		kinds := map[uint64]*tarragonwell.Kind{}
		collect := func(decisions ...Decision) {
			for _, d := range decisions {
				if d.Grant != nil {
					grants = append(grants, d.Grant)
				}
			}
		}
		for id := range uint64(120) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch action := rapid.IntRange(0, 9).Draw(t, "act"); {
			case action < 5:
				kinds[id] = []*tarragonwell.Kind{shortKind, longKind}[rapid.IntRange(0, 1).Draw(t, "kind")]
				collect(acquire(s, now, id, kinds[id]))
			case action < 8 && len(grants) > 0:
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
			case action == 8:
				s.SetTargets(now, targetList(rapid.IntRange(0, 4).Draw(t, "targets")))
			case action == 9:
				s.Cancel(id - min(id, 3))
			}
			collect(s.Poll(now)...)
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
