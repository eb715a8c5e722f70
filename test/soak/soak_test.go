package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

// TestSoakHasNoViolations runs seeds of a few seconds each, including every seed that
// has failed before.
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
		r := runSeed(o, program, folder, seed)
		if r.err != nil {
			t.Fatalf("seed %d: %v", seed, r.err)
		}
		for _, v := range r.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if r.served == 0 {
			t.Errorf("seed %d: no request was served", seed)
		}
	}
}

// TestCheckDetectsRepeatedOperation guards against a check that misses operations that
// run more than once: it runs a fleet whose instances retry operations after lost
// responses, and checks that a violation is reported.
func TestCheckDetectsRepeatedOperation(t *testing.T) {
	folder := t.TempDir()
	program, err := fleet.Build(folder, "without", ".", "-tags", "negativecontrol")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TARRAGONWELL_WITHOUT", "single-send")
	e, err := newEnvironment(program, folder, 90, 2, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer e.close()
	for _, b := range e.backends {
		b.target.UpdateFaults(func(f *prepared.Faults) { f.DropRate = 0.5 })
	}
	c := &clients{
		environment: e,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c.run(ctx, 90, 6)
	in := &injector{
		environment: e,
	}
	detected := false
	for _, v := range check(e, in, c.requests, time.Now()) {
		detected = detected || strings.HasPrefix(v, "at most once")
	}
	if !detected {
		t.Error("got no violation of \"at most once\", want one")
	}
}

// TestChecksDetectWorkAfterDrainAndDisconnect checks that requests at a draining target
// and work for disconnected clients are reported, and that requests at a draining
// target are excused if the instance had a recent fault.
func TestChecksDetectWorkAfterDrainAndDisconnect(t *testing.T) {
	begin := time.Now()
	i := &instance{
		name: "i",
	}
	var requests []request
	var journal []prepared.Run
	for k := range minCancelSamples {
		id := string(rune('a' + k))
		requests = append(requests, request{
			id:        id,
			instance:  i,
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
	in := &injector{
		drainPeriods: []drainPeriod{
			{
				target: "i-1",
				from:   begin,
				to:     begin.Add(2 * drainLimit),
			},
		},
	}
	if got, want := len(checkDrainedTargets(in, requests, journal)), minCancelSamples; got != want {
		t.Errorf("requests at a draining target: got %d violations, want %d", got, want)
	}
	if got := checkCancellation(requests, journal); len(got) != 1 {
		t.Errorf("work for disconnected clients: got %v, want 1 violation", got)
	}
	i.faultTimes = []time.Time{begin}
	if got := checkDrainedTargets(in, requests, journal); len(got) != 0 {
		t.Errorf("requests from an instance with a recent fault: got %v, want no violations", got)
	}
}

// TestCheckDetectsRequestsInDrainedZone checks that requests which reach a drained zone are
// reported, and excused within the limit, after the end, and by a recent fault of the
// instance.
func TestCheckDetectsRequestsInDrainedZone(t *testing.T) {
	begin := time.Now()
	i := &instance{
		name: "i",
	}
	e := &environment{
		backends: []*backend{
			{
				target: prepared.NewTarget("i-1", "", 0, nil),
				zone:   "zone-1",
			},
		},
	}
	in := &injector{
		zoneDrains: []zoneDrain{
			{
				zone: "zone-1",
				from: begin,
				to:   begin.Add(2 * zoneDrainLimit),
			},
		},
	}
	requests := []request{
		{
			id:       "a",
			instance: i,
		},
	}
	var arrivals []prepared.Arrival
	for _, after := range []time.Duration{zoneDrainLimit, zoneDrainLimit + time.Millisecond, 2*zoneDrainLimit + time.Millisecond} {
		arrivals = append(arrivals, prepared.Arrival{
			AttemptID: "a",
			Target:    "i-1",
			At:        begin.Add(after),
		})
	}
	if got, want := len(checkDrainedZones(e, in, requests, arrivals)), 1; got != want {
		t.Errorf("got %d violations, want %d", got, want)
	}
	i.faultTimes = []time.Time{begin.Add(zoneDrainLimit)}
	if got, want := len(checkDrainedZones(e, in, requests, arrivals)), 0; got != want {
		t.Errorf("after a fault: got %d violations, want %d", got, want)
	}
}

// TestChecksDetectLeaversAndBackoff checks that requests which reach a target that said
// that it leaves, or asked to be sent nothing, are reported, and that a restart of the
// instance excuses them.
func TestChecksDetectLeaversAndBackoff(t *testing.T) {
	begin := time.Now()
	i := &instance{
		name: "i",
	}
	told := request{
		id:       "told",
		instance: i,
		leaver:   "i-1",
		sent:     begin.Add(time.Millisecond),
		ended:    begin.Add(2 * time.Millisecond),
	}
	late := request{
		id:       "late",
		instance: i,
		sent:     begin.Add(drainLimit + time.Second),
	}
	in := &injector{
		silentLeavings: []drainPeriod{
			{
				target: "i-1",
				from:   begin,
				to:     begin.Add(3 * drainLimit),
			},
		},
	}
	arrivals := []prepared.Arrival{
		{
			AttemptID: "late",
			Target:    "i-1",
			At:        late.sent.Add(time.Millisecond),
		},
	}
	requests := []request{told, late}
	if got, want := len(checkLeavers(in, requests, arrivals)), 1; got != want {
		t.Errorf("leaver: got %d violations, want %d", got, want)
	}
	asked := []prepared.Arrival{
		{
			AttemptID:  "told",
			Target:     "i-1",
			At:         begin,
			RetryAfter: 2 * time.Second,
		},
	}
	for n := range maxBackoffArrivals + 1 {
		asked = append(asked, prepared.Arrival{
			AttemptID: "late",
			Target:    "i-1",
			At:        begin.Add(time.Second + time.Duration(n)*time.Millisecond),
		})
	}
	e := &environment{}
	if got, want := len(checkBackoff(e, requests, asked)), 1; got != want {
		t.Errorf("backoff: got %d violations, want %d", got, want)
	}
	if got, want := len(checkBackoff(e, requests, asked[:maxBackoffArrivals+1])), 0; got != want {
		t.Errorf("backoff, few requests: got %d violations, want %d", got, want)
	}
	i.processFaults = []time.Time{begin.Add(500 * time.Millisecond)}
	if got, want := len(checkLeavers(in, requests, arrivals))+len(checkBackoff(e, requests, asked)), 0; got != want {
		t.Errorf("after a restart: got %d violations, want %d", got, want)
	}
}
