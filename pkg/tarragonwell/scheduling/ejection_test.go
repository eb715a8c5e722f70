package scheduling

import (
	"fmt"
	"testing"
	"time"
)

func TestFailingTargetIsEjectedAndTriedAgain(t *testing.T) {
	s := newScheduler(1, 2)
	now := startTime
	for range ejectionThreshold {
		s.recordStart(now, s.find("t00"), shortKind)
		release(s, now, "t00", AttemptFailed, 0)
	}
	for range 20 {
		d := acquire(s, now, 1, shortKind)
		if got, want := d.Grant.TargetID, "t01"; got != want {
			t.Fatalf("ejected: got %s, want %s", got, want)
		}
		release(s, now, "t01", AttemptSucceeded, time.Millisecond)
	}
	now = now.Add(minEjection + time.Millisecond)
	trials := 0
	for id := range uint64(6) {
		if d := acquire(s, now, id, shortKind); d.Grant != nil && d.Grant.TargetID == "t00" {
			trials++
		}
	}
	if got, want := trials, 1; got > want {
		t.Errorf("concurrent trial calls: got %d, want at most %d", got, want)
	}
}

// TestRecoveredTargetIsNotAnnounced checks that a target which was ejected and has
// succeeded since is no longer announced to the peers.
func TestRecoveredTargetIsNotAnnounced(t *testing.T) {
	s := newScheduler(1, 2)
	x := s.find("t00")
	for range ejectionThreshold {
		s.recordFailure(startTime, x, shortKind)
	}
	if got, want := fmt.Sprint(s.SuspectsToAnnounce(startTime)), "[t00]"; got != want {
		t.Errorf("ejected: got %s, want %s", got, want)
	}
	s.recordSuccess(startTime, x, Release{
		Kind: shortKind,
	})
	x.SuspectAnnouncedAt = time.Time{}
	if got, want := len(s.SuspectsToAnnounce(startTime)), 0; got != want {
		t.Errorf("recovered: got %d announcements, want %d", got, want)
	}
	if got, want := x.EjectedUntil.IsZero(), true; got != want {
		t.Errorf("recovered: got ejected until %v, want no ejection", x.EjectedUntil)
	}
}
