package scheduling

import (
	"testing"
	"time"
)

// TestHedgesLeaveRoomWithoutMaxUtilization checks that hedges take spare capacity only,
// also in services that set no maximum utilization.
func TestHedgesLeaveRoomWithoutMaxUtilization(t *testing.T) {
	s := newScheduler(1, 2)
	hedges := 0
	for id := range uint64(20) {
		s.retries.Deposit()
		d := s.Acquire(startTime, AcquireRequest{
			ID:                id,
			Kind:              shortKind,
			Deadline:          startTime.Add(time.Second),
			SpareCapacityOnly: true,
		})
		if d.Grant != nil {
			hedges++
		}
	}
	// Three of the five slots of each target are below the maximum utilization.
	if got, want := hedges, 6; got != want {
		t.Errorf("got %d hedges, want %d", got, want)
	}
}
