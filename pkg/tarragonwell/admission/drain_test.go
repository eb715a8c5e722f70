package admission

import (
	"testing"
	"time"
)

// TestDrainDeadline checks until when a drain waits for a connection: idle ones are closed soon,
// those that may be about to send their first request or are sending a head later, and none whose
// request is in progress.
func TestDrainDeadline(t *testing.T) {
	end := at(7)
	f := newFixture()
	c := f.open(t, at(1))
	check := func(state string, want time.Time) {
		t.Helper()
		if got := f.table.DrainDeadline(c, end); !got.Equal(want) {
			t.Errorf("%s: got %v, want %v", state, got, want)
		}
	}
	check("silent", at(1).Add(silentDrainTime))
	f.table.ReceiveHead(c, 1, at(2), testSlowAfter)
	check("head", end)
	f.table.BeginRequest(c, at(2))
	check("in progress", time.Time{})
	f.table.EndRequest(c, at(3))
	check("idle", at(3).Add(idleGrace))
	f.table.KeepIdle(c, at(4))
	check("idle, kept", at(4).Add(idleGrace))
	f.table.KeepIdle(c, end)
	check("idle at the end", end)
	f.table.BeginLinger(c, end)
	check("being closed", time.Time{})
}
