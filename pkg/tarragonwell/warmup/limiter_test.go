package warmup

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestSendsOnlyWithSufficientView guards against calls to a target that is warming up from
// an instance that does not know, or after a pause no longer knows, what the others do.
func TestSendsOnlyWithSufficientView(t *testing.T) {
	for _, tt := range []struct {
		name         string
		alive, known int
		noSeeds      bool
		state        tarragonwell.MemberState
		want         bool
	}{
		{"alone", 0, 1, false, tarragonwell.MemberServing, true},
		{"has not heard from a seed", 0, 2, false, tarragonwell.MemberServing, false},
		{"sees half of the fleet", 1, 4, false, tarragonwell.MemberServing, false},
		{"sees most of the fleet", 1, 3, false, tarragonwell.MemberServing, true},
		{"sees most of what it knows, but few of the seeds", 1, 2, true, tarragonwell.MemberServing, false},
		{"shuts down", 1, 3, false, tarragonwell.MemberLeaving, false},
		{"no view", 0, 0, false, tarragonwell.MemberUnspecified, false},
	} {
		v := tarragonwell.FleetView{
			Self:         simulatedMembers[0],
			Known:        tt.known,
			SeedMajority: !tt.noSeeds,
		}
		v.Self.State = tt.state
		for i := range tt.alive {
			v.Alive = append(v.Alive, simulatedMembers[i+1])
		}
		var l Limiter
		l.SetLimit(testLimit)
		for at := range 6 {
			now := startTime.Add(time.Duration(at) * time.Second)
			l.SetFleet(now, v)
			if early := at == 0 || at < 3 && tt.known > 1; early && l.Available(now, "t", "0") {
				t.Errorf("%s: got a call %d s after the start", tt.name, at)
			}
		}
		now := startTime.Add(5 * time.Second)
		if got := l.Available(now, "t", "0"); got != tt.want || l.Available(now.Add(time.Minute), "t", "0") {
			t.Errorf("%s: got available %v, or with an outdated view, want %v", tt.name, got, tt.want)
		}
		if l.RecordPause(now); !l.fleet.alone() && l.Available(now, "t", "0") {
			t.Errorf("%s: got available directly after a pause", tt.name)
		}
	}
}

// TestRosterCountsAllThatMayRun guards against a part of the fleet that takes itself for
// the whole, and against planned stops that count as a partition.
func TestRosterCountsAllThatMayRun(t *testing.T) {
	var r Roster
	self, p1, p2, gone := simulatedMembers[0], simulatedMembers[1], simulatedMembers[2], simulatedMembers[2]
	gone.State = tarragonwell.MemberGone
	check := func(at time.Duration, want int, records ...tarragonwell.Member) {
		t.Helper()
		v := r.View(startTime.Add(at), self, records, nil, []string{"seed", p1.PeerAddress, self.PeerAddress, "seed"})
		if v.Known != want {
			t.Errorf("after %v: got %d known instances, want %d", at, v.Known, want)
		}
	}
	check(0, 3)
	check(0, 4, p1, p2)
	check(time.Second, 3, p1, gone)
	check(5*time.Minute, 4, p2)
	check(16*time.Minute, 3)
}

// TestCheckFindsUnusableBound guards against a rate that is ignored, or a bound that keeps
// all calls from targets that are warming up, without a word.
func TestCheckFindsUnusableBound(t *testing.T) {
	for limit, want := range map[Limit]error{
		testLimit:                  nil,
		{Overshoot: 1.5, Slack: 8}: nil,
		{Rate: 2, Slack: 4}:        nil,
		{Rate: 5}:                  ErrNoBound,
		{Rate: 1, Overshoot: 1}:    ErrBoundTooLow,
	} {
		if got := limit.Check(); got != want {
			t.Errorf("%+v: got %v, want %v", limit, got, want)
		}
	}
}
