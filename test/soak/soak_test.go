package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

// TestSoakHasNoViolations plays seeds of a few seconds, those that ever failed among them.
func TestSoakHasNoViolations(t *testing.T) {
	o := options{
		Instances: 4,
		Targets:   6,
		Clients:   6,
		Length:    4 * time.Second,
		Logs:      t.TempDir(),
	}
	folder := t.TempDir()
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{1, 2} {
		r := play(o, program, folder, seed)
		if r.err != nil {
			t.Fatalf("seed %d: %v", seed, r.err)
		}
		for _, b := range r.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if r.served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}

// TestCheckDetectsRepeatedOperation plays a fleet whose instances send again what must not
// repeat, and holds that the checks notice.
func TestCheckDetectsRepeatedOperation(t *testing.T) {
	folder := t.TempDir()
	program, err := fleet.Build(folder, "without", ".", "-tags", "negativecontrol")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TARRAGONWELL_WITHOUT", "single-send")
	w, err := newWorld(program, folder, 90, 2, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	for _, b := range w.backends {
		b.target.SetFaults(0.5, 1)
	}
	c := &clients{
		world: w,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c.run(ctx, 90, 6)
	f := &faults{
		world: w,
	}
	seen := false
	for _, b := range check(w, f, c.requests, time.Now()) {
		seen = seen || strings.HasPrefix(b, "at most once")
	}
	if !seen {
		t.Error("no request that must not repeat was seen to run again")
	}
}

// TestChecksDetectWorkAfterDrainAndDisconnect holds that work at a target that leaves,
// and for a client that has left, is noticed, and that faults excuse the first.
func TestChecksDetectWorkAfterDrainAndDisconnect(t *testing.T) {
	begin := time.Now()
	n := &node{
		name: "n",
	}
	var requests []request
	var journal []prepared.Run
	for k := range goneLeast {
		id := string(rune('a' + k))
		requests = append(requests, request{
			id:        id,
			node:      n,
			abandoned: true,
			ended:     begin,
		})
		journal = append(journal, prepared.Run{
			AttemptID: id,
			Target:    "i-1",
			StartedAt: begin.Add(drainLimit + time.Millisecond),
			EndedAt:   begin.Add(2 * drainLimit),
		})
	}
	f := &faults{
		leaves: []leave{
			{
				target: "i-1",
				from:   begin,
				to:     begin.Add(2 * drainLimit),
			},
		},
	}
	if got, want := len(checkLeaving(f, requests, journal)), goneLeast; got != want {
		t.Errorf("work at a target that left: got %d, want %d", got, want)
	}
	if got := checkGone(requests, journal); len(got) != 1 {
		t.Errorf("work for clients that left: got %v, want it noticed", got)
	}
	n.faults = []time.Time{begin}
	if got := checkLeaving(f, requests, journal); len(got) != 0 {
		t.Errorf("from an instance under a fault: got %v, want none", got)
	}
}
