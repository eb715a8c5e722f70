package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// newRollingScheduler returns a scheduler with n identified targets, i-00 and so on, that
// were started at the time born.
func newRollingScheduler(n int, born uint64) *Scheduler {
	s := newScheduler(1, 0)
	s.SetTargets(startTime, identifiedTargets(n, born))
	return s
}

func identifiedTargets(n int, born uint64) []tarragonwell.ListedTarget {
	list := targetList(n)
	for k := range list {
		list[k].ID = fmt.Sprintf("i-%02d", k)
		list[k].Born = born
	}
	return list
}

// announcement returns a peer's announcement that expires after a minute.
func announcement(id string, born uint64) tarragonwell.LeavingTarget {
	return tarragonwell.LeavingTarget{
		Service:   "s",
		ID:        id,
		Born:      born,
		ExpiresAt: startTime.Add(time.Minute),
	}
}

func TestLeavingTargetGetsNoCalls(t *testing.T) {
	s := newScheduler(1, 2)
	if got, want := s.MarkLeaving(startTime, announcement("t00", 0)), true; got != want {
		t.Errorf("newly leaving: got %v, want %v", got, want)
	}
	for id := range uint64(6) {
		d := acquire(s, startTime, id, shortKind)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	s.RecordLeaving(startTime, "t01", 0)
	if got, want := acquire(s, startTime, 9, shortKind).Rejection.Reason, ReasonNoTargets; got != want {
		t.Errorf("with all targets leaving: got %q, want %q", got, want)
	}
}

// TestLeaverStaysOutWhileListed checks that a target which reported that it is leaving
// gets no calls as long as the platform lists that start of it, however late, and also
// after its entry was removed for a time.
func TestLeaverStaysOutWhileListed(t *testing.T) {
	s := newRollingScheduler(2, 7)
	s.RecordLeaving(startTime, "i-00", 7)
	now := startTime.Add(3 * time.Minute)
	check := func(name string) {
		t.Helper()
		for id := range uint64(6) {
			d := acquire(s, now, id, shortKind)
			if got, want := d.Grant.TargetID, "i-01"; got != want {
				t.Fatalf("%s: got %s, want %s", name, got, want)
			}
			release(s, now, "i-01", AttemptSucceeded, time.Millisecond)
		}
	}
	check("listed as ready")
	s.SetTargets(now, identifiedTargets(2, 7)[1:])
	s.SetTargets(now, identifiedTargets(2, 7))
	check("listed as ready again")
	s.Configure(Options{
		ServiceRule: s.options.ServiceRule,
	})
	check("after changed rules")
}

// TestRestartedTargetIsUsedAtOnce checks that the report of one start of a target does
// not keep calls from its next start under the same ID.
func TestRestartedTargetIsUsedAtOnce(t *testing.T) {
	s := newRollingScheduler(1, 7)
	s.RecordLeaving(startTime, "i-00", 7)
	s.SetTargets(startTime, identifiedTargets(1, 8))
	if got, want := s.RecordLeaving(startTime, "i-00", 7), false; got != want {
		t.Errorf("late report of the first start: got %v, want %v", got, want)
	}
	if got, want := s.MarkLeaving(startTime, announcement("i-00", 7)), false; got != want {
		t.Errorf("late announcement of the first start: got %v, want %v", got, want)
	}
	if d := acquire(s, startTime, 1, shortKind); d.Grant == nil {
		t.Errorf("got rejection %+v, want a grant", d.Rejection)
	}
}

// TestQueuedCallsAreRejectedWhenLastTargetLeaves checks that calls which wait for a slot
// are rejected at once when no target is left that could serve them.
func TestQueuedCallsAreRejectedWhenLastTargetLeaves(t *testing.T) {
	s := newRollingScheduler(1, 7)
	for id := range uint64(10) {
		acquire(s, startTime, id, shortKind)
	}
	queued := s.Queued()
	if queued == 0 {
		t.Fatal("got no queued calls, want some")
	}
	s.RecordLeaving(startTime, "i-00", 7)
	decisions := s.Poll(startTime)
	if got, want := len(decisions), queued; got != want {
		t.Fatalf("rejected: got %d, want %d", got, want)
	}
	for _, d := range decisions {
		if d.Rejection == nil || d.Rejection.Reason != ReasonNoTargets {
			t.Errorf("got %+v, want a rejection for %q", d, ReasonNoTargets)
		}
	}
}

// TestFalseAnnouncementsLeaveTargets checks that announcements of peers alone do not
// leave a service without targets, in any order and however often they are repeated.
func TestFalseAnnouncementsLeaveTargets(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10} {
		s := newRollingScheduler(n, 7)
		for range 3 {
			for _, l := range identifiedTargets(n, 7) {
				s.MarkLeaving(startTime, announcement(l.ID, l.Born))
			}
		}
		left := 0
		for _, x := range s.Targets() {
			if !x.Leaving(startTime) {
				left++
			}
		}
		if got, want := left, (n+1)/2; got < want {
			t.Errorf("%d targets: got %d that are left, want at least %d", n, got, want)
		}
	}
}

// TestOwnReportSurvivesRestartOfService checks that what the instance itself was told
// takes effect in full when the peers' records give it back to a restarted service.
func TestOwnReportSurvivesRestartOfService(t *testing.T) {
	s := newRollingScheduler(1, 7)
	l := announcement("i-00", 7)
	l.Observed = true
	s.MarkLeaving(startTime, l)
	late := startTime.Add(time.Hour)
	if d := acquire(s, late, 1, shortKind); d.Grant != nil {
		t.Errorf("got a grant, want none")
	}
}

// TestHedgeAvoidsLeaver checks that a call which was sent to one target is not hedged to
// another that has said meanwhile that it leaves.
func TestHedgeAvoidsLeaver(t *testing.T) {
	s := newRollingScheduler(2, 7)
	first := acquire(s, startTime, 1, shortKind).Grant.TargetID
	other := "i-00"
	if first == other {
		other = "i-01"
	}
	s.RecordLeaving(startTime, other, 7)
	d := s.Acquire(startTime, AcquireRequest{
		ID:                2,
		Kind:              shortKind,
		Deadline:          startTime.Add(time.Second),
		Exclude:           []string{first},
		Retry:             true,
		SpareCapacityOnly: true,
	})
	if d.Grant != nil && d.Grant.TargetID == other {
		t.Errorf("got a hedge to %s, which leaves", other)
	}
}
