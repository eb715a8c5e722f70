package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// askedBackoff is the time that targets in these tests ask for.
const askedBackoff = 2 * time.Second

// TestTargetInBackoffGetsNoCalls checks that a target gets nothing for the time that it
// asked for, also if the call has tried all others.
func TestTargetInBackoffGetsNoCalls(t *testing.T) {
	s := newRollingScheduler(2, 7)
	s.RecordBackoff(startTime, "i-00", 7, askedBackoff)
	for now := startTime; now.Before(startTime.Add(askedBackoff)); now = now.Add(20 * time.Millisecond) {
		for _, exclude := range [][]string{nil, {"i-01"}} {
			d := s.Acquire(now, AcquireRequest{
				ID:       1,
				Kind:     shortKind,
				Deadline: now.Add(time.Second),
				Exclude:  exclude,
			})
			if got, want := d.Grant.TargetID, "i-01"; got != want {
				t.Fatalf("after %v: got %s, want %s", now.Sub(startTime), got, want)
			}
			release(s, now, "i-01", AttemptSucceeded, time.Millisecond)
		}
	}
}

// TestAllTargetsInBackoff checks that calls which no target will accept are rejected at
// once, with the time at which the first one returns, and that queued ones are too.
func TestAllTargetsInBackoff(t *testing.T) {
	s := newRollingScheduler(2, 7)
	for id := range uint64(20) {
		acquire(s, startTime, id, shortKind)
	}
	queued := s.Queued()
	first := s.RecordBackoff(startTime, "i-00", 7, askedBackoff)
	s.RecordBackoff(startTime, "i-01", 7, 2*askedBackoff)
	d := acquire(s, startTime, 100, shortKind)
	if d.Rejection == nil {
		t.Fatalf("got %+v, want a rejection", d)
	}
	if got, want := d.Rejection.RetryAfter, first.Sub(startTime); got != want {
		t.Errorf("Retry-After: got %v, want %v", got, want)
	}
	if got, want := len(s.Poll(startTime)), queued; got != want || want == 0 {
		t.Errorf("queued calls rejected: got %d, want %d, more than 0", got, want)
	}
}

// TestBackoffEndsWithOneTrialCall checks that a target which returns gets one call at a
// time until one succeeds, while the calls that come meanwhile are queued, and that a
// refusal puts it back into backoff.
func TestBackoffEndsWithOneTrialCall(t *testing.T) {
	s := newRollingScheduler(1, 7)
	now := s.RecordBackoff(startTime, "i-00", 7, askedBackoff)
	for id := range uint64(4) {
		d := acquire(s, now, id, shortKind)
		if got, want := d.Grant != nil, id == 0; got != want {
			t.Fatalf("call %d: got grant %v, want %v", id, got, want)
		}
		if got, want := d.Rejection == nil, true; got != want {
			t.Fatalf("call %d: got %+v, want it queued", id, d.Rejection)
		}
	}
	s.Release(now, Release{
		TargetID:     "i-00",
		JoinSequence: s.find("i-00").JoinSequence,
		Trial:        true,
		Kind:         shortKind,
		Result:       AttemptSucceeded,
		Latency:      time.Millisecond,
	})
	if got, want := len(s.Poll(now)), 3; got != want {
		t.Errorf("granted after the first success: got %d, want %d", got, want)
	}
	s.RecordBackoff(now, "i-00", 7, askedBackoff)
	if d := acquire(s, now, 9, shortKind); d.Rejection == nil {
		t.Errorf("after another refusal: got %+v, want a rejection", d)
	}
}

// TestOldCallDoesNotBlockTrial checks that a call from before a backoff or an ejection
// that is still in flight does not delay the trial call.
func TestOldCallDoesNotBlockTrial(t *testing.T) {
	for name, exclude := range map[string]func(s *Scheduler) time.Time{
		"backoff": func(s *Scheduler) time.Time {
			return s.RecordBackoff(startTime, "i-00", 7, askedBackoff)
		},
		"ejection": func(s *Scheduler) time.Time {
			x := s.find("i-00")
			for range ejectionThreshold {
				s.recordFailure(startTime, x, shortKind)
			}
			return x.EjectedUntil
		},
	} {
		s := newRollingScheduler(1, 7)
		kind := *longKind
		kind.SlotShare = 1
		if d := acquire(s, startTime, 1, &kind); d.Grant == nil {
			t.Fatalf("%s: got %+v, want a grant", name, d)
		}
		now := exclude(s)
		s.SetTargets(startTime, append(identifiedTargets(1, 7), tarragonwell.ListedTarget{
			ID:      "other",
			Address: "other",
			Born:    7,
		}))
		now = now.Add(time.Millisecond)
		got := 0
		for id := range uint64(4) {
			if d := acquire(s, now, 10+id, shortKind); d.Grant != nil && d.Grant.TargetID == "i-00" {
				got++
			}
		}
		if want := 1; got != want {
			t.Errorf("%s: got %d trial calls, want %d", name, got, want)
		}
	}
}

// TestReturnFromBackoffIsSpread checks that the instances of a fleet which were asked at
// the same moment do not return to the target at the same moment, and none too early.
func TestReturnFromBackoffIsSpread(t *testing.T) {
	const instances = 150
	const windows = 10
	counts := [windows]int{}
	for n := range instances {
		s := New(Options{
			ServiceRule: &tarragonwell.Service{
				Name: "s",
			},
			InstanceName: fmt.Sprintf("instance-%d", n),
			Policy:       policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
		})
		s.SetTargets(startTime, identifiedTargets(1, 7))
		wait := s.RecordBackoff(startTime, "i-00", 7, askedBackoff).Sub(startTime)
		extension := float64(wait-askedBackoff) / (backoffSpreadShare * float64(askedBackoff))
		if extension < 0 || extension >= 1 {
			t.Fatalf("instance %d returns after %v, want %v to %v", n, wait, askedBackoff, 5*askedBackoff/4)
		}
		counts[int(extension*windows)]++
	}
	for w, got := range counts {
		if limit := 2 * instances / windows; got > limit {
			t.Errorf("window %d: got %d instances, want at most %d", w, got, limit)
		}
	}
}

// TestMostTargetsInBackoff checks that the calls of a service of which most targets ask
// to be sent nothing go to the others up to their room, and that the rest is queued.
func TestMostTargetsInBackoff(t *testing.T) {
	s := newRollingScheduler(10, 7)
	for k := range 9 {
		s.RecordBackoff(startTime, fmt.Sprintf("i-%02d", k), 7, askedBackoff)
	}
	granted := 0
	for id := range uint64(40) {
		d := acquire(s, startTime, id, shortKind)
		if d.Grant == nil {
			continue
		}
		granted++
		if got, want := d.Grant.TargetID, "i-09"; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	}
	// The last target has 5 slots and a headroom of 2 calls.
	if got, want := granted, 7; got != want {
		t.Errorf("granted: got %d, want %d", got, want)
	}
	if got, want := s.Queued(), 33; got != want {
		t.Errorf("queued: got %d, want %d", got, want)
	}
}
