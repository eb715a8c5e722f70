// Package integration tests complete fleets on loopback: instances as separate
// processes with stand-ins for the platform, the balancer and the targets.
package integration

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/client"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// program is the path of the binary, built with the race detector.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "tarragonwell")
	if err != nil {
		panic(err)
	}
	program, err = fleet.Build(folder, "tarragonwell", ".", "-race")
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// trustRules returns the rules file in examples/trust.
func trustRules(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../../examples/trust/rules.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// behaviour returns the default behaviour of targets.
func behaviour() target.Behaviour {
	return target.Behaviour{
		Slots:       5,
		Queue:       10,
		Connections: 250,
		ServiceMs:   3,
		LongBytes:   100_000,
		LongMs:      100,
	}
}

// startFleet starts a fleet and closes it at the end of the test, which fails if an
// instance reported a data race. n selects the loopback network of the fleet.
func startFleet(t *testing.T, n byte, instances int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Program:     program,
		Folder:      t.TempDir(),
		Subnet:      [2]byte{60, n},
		Instances:   instances,
		DataCenters: 3,
		Rules:       trustRules(t),
		Targets: map[string]int{
			"booking-tracking": 4,
			"stock-documents":  3,
		},
		Behaviour: behaviour(),
		Settings:  "shutdown: {balancer-wait: 300ms}\nlog: {level: debug}",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, line := range f.LogLines("DATA RACE") {
			t.Error(line)
		}
		f.Close()
	})
	return f
}

// get sends a short read or download and returns the response with its body.
func get(t *testing.T, address, path string) (*http.Response, string) {
	t.Helper()
	header := http.Header{
		target.HeaderTestRequest: []string{"r1"},
	}
	return send(t, http.MethodGet, "http://"+address+path, header, nil)
}

// TestEndToEndRequests checks reads, downloads and operations through all components.
func TestEndToEndRequests(t *testing.T) {
	f := startFleet(t, 1, 3)

	// A short read through the balancer is answered by a target.
	response, body := get(t, f.Balancer.Address, "/loads/7")
	if got, want := body, target.ShortBody("r1"); got != want {
		t.Errorf("short body: got %q, want %q", got, want)
	}
	if got, want := response.Header.Get("Tarragonwell-Outcome"), "complete"; got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}

	// A long download is streamed completely.
	_, body = get(t, f.Instances[0].CallerAddress(), "/manuals/winch")
	if got, want := body, string(target.LongBody("/manuals/winch", 100_000)); got != want {
		t.Errorf("long body: got %d bytes, want %d", len(got), len(want))
	}

	// An operation runs once although it is sent repeatedly through every instance.
	c := &client.Client{
		Addresses: f.CallerAddresses(),
	}
	o := &client.Operation{
		Method:     http.MethodPost,
		RequestURI: "/releases/1",
		Header: http.Header{
			target.HeaderTestOperation: []string{"release-1"},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 6 {
		r, err := c.Run(ctx, o)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := r.Outcome, tarragonwell.OutcomeComplete; got != want {
			t.Errorf("release: got %v (%s), want %v", got, r.Reason, want)
		}
	}
	runs := 0
	for _, x := range f.AllTargets() {
		runs += len(x.Runs())
	}
	if got, want := runs, 1; got != want {
		t.Errorf("runs of the release: got %d, want %d", got, want)
	}

	// A request that no rule routes is rejected as not run.
	response, _ = get(t, f.Balancer.Address, "/nowhere")
	if got, want := response.Header.Get("Tarragonwell-Outcome"), "not-run"; got != want {
		t.Errorf("outcome without a route: got %q, want %q", got, want)
	}
}
