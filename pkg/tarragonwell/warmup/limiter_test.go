package warmup

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func serving(address string) tarragonwell.Member {
	return tarragonwell.Member{
		PeerAddress: address,
		DataCenter:  "a",
		State:       tarragonwell.MemberServing,
	}
}

// availableAfter sets a view each second and reports whether the target gets a call at the
// end of the time.
func availableAfter(l *Limiter, from time.Time, d time.Duration, v tarragonwell.FleetView) bool {
	for at := time.Duration(0); at <= d; at += time.Second {
		l.SetFleet(from.Add(at), v)
		l.Available(from.Add(at), "t", "a")
	}
	return l.Available(from.Add(d), "t", "a")
}

// TestSendsOnlyWithSufficientView guards against calls to a target that is warming up from
// an instance that does not know, or no longer knows, what the others do.
func TestSendsOnlyWithSufficientView(t *testing.T) {
	peers := []tarragonwell.Member{serving("p1"), serving("p2")}
	leaving := serving("self")
	leaving.State = tarragonwell.MemberLeaving
	tests := []struct {
		name string
		view tarragonwell.FleetView
		want bool
	}{
		{name: "no view"},
		{name: "alone", view: tarragonwell.FleetView{Self: serving("self"), Known: 1}, want: true},
		{name: "has not heard from a seed", view: tarragonwell.FleetView{Self: serving("self"), Known: 2}},
		{name: "sees half of the fleet", view: tarragonwell.FleetView{Self: serving("self"), Alive: peers[:1], Known: 4}},
		{name: "sees most of the fleet", view: tarragonwell.FleetView{Self: serving("self"), Alive: peers[:1], Known: 3}, want: true},
		{name: "shuts down", view: tarragonwell.FleetView{Self: leaving, Alive: peers[:1], Known: 3}},
	}
	for _, tt := range tests {
		var l Limiter
		l.SetLimit(testLimit)
		if got := availableAfter(&l, startTime, 5*time.Second, tt.view); got != tt.want {
			t.Errorf("%s: got available %v, want %v", tt.name, got, tt.want)
		}
		l.SetFleet(startTime, tt.view)
		if l.Available(startTime.Add(30*time.Second), "t", "a") {
			t.Errorf("%s: got available with an outdated view", tt.name)
		}
	}
}

// TestPauseAndRestartEndSending guards against an instance that continues to send after a
// pause in which others took its place, and against a second burst after a restart.
func TestPauseAndRestartEndSending(t *testing.T) {
	alone := tarragonwell.FleetView{
		Self:  serving("self"),
		Known: 1,
	}
	pair := alone
	pair.Alive = []tarragonwell.Member{serving("p1")}
	pair.Known = 2
	var l Limiter
	l.SetLimit(testLimit)
	l.SetFleet(startTime, alone)
	if l.Available(startTime, "t", "a") {
		t.Error("got a full bucket in a new process")
	}
	if got, want := availableAfter(&l, startTime, 5*time.Second, pair), true; got != want {
		t.Fatalf("before the pause: got %v, want %v", got, want)
	}
	now := startTime.Add(5 * time.Second)
	l.RecordPause(now)
	if l.Available(now, "t", "a") {
		t.Error("got available directly after a pause")
	}
	if got, want := availableAfter(&l, now, 4*time.Second, pair), true; got != want {
		t.Errorf("later: got %v, want %v", got, want)
	}
}

// TestLostInstanceKeepsItsPlace guards against a second sender in place of one that a few
// views lack although it is running.
func TestLostInstanceKeepsItsPlace(t *testing.T) {
	view := tarragonwell.FleetView{
		Self:  serving("self"),
		Alive: []tarragonwell.Member{serving("p1"), serving("p2"), serving("p3"), serving("p4"), serving("p5")},
		Known: 6,
	}
	var f fleet
	f.set(startTime, view)
	before := f.rank("t", "a")
	view.Alive = nil
	f.set(startTime.Add(20*time.Second), view)
	if got := f.rank("t", "a"); got != before {
		t.Errorf("rank after the others were lost: got %d, want %d", got, before)
	}
	f.set(startTime.Add(40*time.Second), view)
	if got, want := f.rank("t", "a"), 0; got != want {
		t.Errorf("rank after the retention: got %d, want %d", got, want)
	}
}

// TestRosterCountsAllThatMayRun guards against a part of the fleet that takes itself for
// the whole, and against planned stops that count as a partition.
func TestRosterCountsAllThatMayRun(t *testing.T) {
	var r Roster
	gone := serving("p2")
	gone.State = tarragonwell.MemberGone
	count := func(at time.Duration, records ...tarragonwell.Member) int {
		return r.View(startTime.Add(at), serving("self"), records, nil, []string{"seed", "p1", "self", "", "seed"}).Known
	}
	for _, tt := range []struct {
		name      string
		got, want int
	}{
		{"new", count(0), 3},
		{"with records", count(0, serving("p1"), serving("p2")), 4},
		{"after a planned stop", count(time.Second, serving("p1"), gone), 3},
		{"after minutes without a record", count(5*time.Minute, serving("p3")), 4},
		{"after the retention", count(16 * time.Minute), 3},
	} {
		if tt.got != tt.want {
			t.Errorf("%s: got %d known instances, want %d", tt.name, tt.got, tt.want)
		}
	}
}

// TestShareKeepsBound guards against a rate at which the senders that the headroom allows
// for exceed the bound, and against a limit that takes effect where it is not set.
func TestShareKeepsBound(t *testing.T) {
	for _, l := range []Limit{testLimit, {Rate: 100, Overshoot: 1}, {Rate: 0.5, Slack: 6}, {Rate: 2, Overshoot: 1, Slack: 2}} {
		n, rate := l.share(false)
		if got := float64(leastHeadroom*n) * (bucketSize + rate*1.25); n == 0 || got > l.Bound()+1e-9 || rate*float64(n) > l.Rate {
			t.Errorf("%+v: got %d senders with %.2f calls a second each", l, n, rate)
		}
	}
	if n, rate := testLimit.share(false); float64(senderHeadroom*n)*(bucketSize+rate*1.25) > testLimit.Bound()+1e-9 {
		t.Errorf("got %d senders with %.2f calls a second each without the intended headroom", n, rate)
	}
	for _, tt := range []struct {
		limit Limit
		want  error
	}{
		{testLimit, nil},
		{Limit{}, nil},
		{Limit{Overshoot: 1.5, Slack: 8}, nil},
		{Limit{Rate: 5}, ErrNoBound},
		{Limit{Rate: 1, Overshoot: 1}, ErrBoundTooLow},
	} {
		if got := tt.limit.Check(); got != tt.want {
			t.Errorf("%+v: got %v, want %v", tt.limit, got, tt.want)
		}
	}
	for _, l := range []Limit{{}, {Rate: 5}, {Overshoot: 1.5, Slack: 8}} {
		if l.Enabled() {
			t.Errorf("%+v: got enabled", l)
		}
	}
}
