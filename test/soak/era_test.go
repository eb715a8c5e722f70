package main

import (
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayFor how long it
	// is away.
	copyAge = 5 * time.Second
	awayFor = time.Second
)

// runThroughDrill runs a fleet under load. Its operators change the rules three times, then the
// store comes back from a copy from before these changes, and change runs. It returns the
// broken promises.
func runThroughDrill(t *testing.T, seed uint64, change func(in *injector)) []string {
	t.Helper()
	e := startEnvironment(t, seed, 3, 6)
	c, stop := startClients(t, e, seed, 6)
	in := &injector{
		environment: e,
	}
	// The copy is from after the start of the fleet.
	time.Sleep(copyAge)
	for range 3 {
		in.switchReads(nil, nil, 0, 0)
		time.Sleep(time.Second)
	}
	in.recordFaultOnAll()
	e.store.Drill(copyAge, awayFor, 0)
	in.recordFaultOnAll()
	time.Sleep(2 * time.Second)
	change(in)
	recovered := time.Now()
	time.Sleep(recoveryTime)
	stop()
	return check(e, in, c.requests, recovered)
}

// TestRulesAfterDrill guards against rules that never come into force because the store, which
// came back from a copy, gives them a revision before that of the rules in force.
func TestRulesAfterDrill(t *testing.T) {
	for _, v := range runThroughDrill(t, 110, func(in *injector) { in.switchReads(nil, nil, 0, 0) }) {
		t.Error(v)
	}
}

// TestAddedRouteAfterDrill guards against proper requests that are rejected because the route for
// them was added after the store had come back from a copy.
func TestAddedRouteAfterDrill(t *testing.T) {
	for _, v := range runThroughDrill(t, 112, func(in *injector) {
		e := in.environment
		c := newConfiguration(len(in.configChanges)+2, serviceDesk)
		routes := c["routes"].(map[string]any)
		added := maps.Clone(routes["r-read"].(map[string]any))
		added["pathPrefix"] = "/added/"
		routes["r-added"] = added
		e.store.PutJSON("op/config", c)
		in.configChanges = append(in.configChanges, configChange{
			reads: serviceDesk,
			at:    time.Now(),
		})
		time.Sleep(applyLimit)
		for _, i := range e.instances {
			if got, want := statusOf(t, i, "/added/x"), http.StatusOK; got != want {
				t.Errorf("%s: got status %d for a request on the added route, want %d", i.name, got, want)
			}
		}
	}) {
		t.Error(v)
	}
}

// statusOf sends a request to an instance and returns the status of the response.
func statusOf(t *testing.T, i *instance, path string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.callersAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	r.Header.Set("Attempt-Id", "added-"+i.name)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestLeavingTargetAfterDrill guards against requests that reach a target which has said that it
// is leaving after the store had come back from a copy.
func TestLeavingTargetAfterDrill(t *testing.T) {
	for _, v := range runThroughDrill(t, 113, func(in *injector) {
		b := in.environment.backends[0]
		in.environment.publishTarget(b, "draining")
		confirmed := time.Now()
		time.Sleep(2 * drainLimit)
		in.drainPeriods = append(in.drainPeriods, drainPeriod{
			target: b.target.ID,
			from:   confirmed,
			to:     time.Now(),
		})
	}) {
		t.Error(v)
	}
}

// TestDrainAfterDrill guards against a drained zone that goes on receiving requests because the
// store, which came back from a copy, gives the drain a revision before that of the list.
func TestDrainAfterDrill(t *testing.T) {
	for _, v := range runThroughDrill(t, 111, func(in *injector) { in.drainZone(nil, in.environment.backends[0], time.Second, 0) }) {
		t.Error(v)
	}
}
