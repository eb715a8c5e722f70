package main

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

// returnLimit is the time after the end of a drain within which a target must receive
// requests again.
const returnLimit = 6 * time.Second

// TestDrainedZoneUnderLoad guards against a fleet under load that sends requests to a
// drained zone, rejects requests although the other zone has room, or does not use the zone
// again afterwards, also if the store fails just after it has confirmed the drain.
func TestDrainedZoneUnderLoad(t *testing.T) {
	folder := t.TempDir()
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		t.Fatal(err)
	}
	for n, x := range []struct {
		name string
		// fault is the fault of the store for the first half of zoneDrainLimit.
		fault prepared.Fault
	}{
		{
			name: "store up",
		},
		{
			name:  "store down",
			fault: prepared.FaultUnresponsive,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			e, err := newEnvironment(program, folder, uint64(100+n), 4, 6)
			if err != nil {
				t.Fatal(err)
			}
			defer e.close()
			c, stop := startClients(t, e, 100, 6)
			time.Sleep(time.Second)
			in := &injector{
				environment: e,
			}
			go func() {
				time.Sleep(20 * time.Millisecond)
				e.store.SetFault(x.fault)
				time.Sleep(zoneDrainLimit / 2)
				e.store.SetFault(prepared.FaultNone)
			}()
			in.drainZone(nil, e.backends[0], 2*time.Second, 0)
			time.Sleep(returnLimit)
			stop()
			drain := in.zoneDrains[0]
			for _, v := range checkDrainedZones(e, in, c.requests, e.journal.Arrivals()) {
				t.Error(v)
			}
			checkServed(t, c.requests, drain)
			checkReturned(t, e, drain)
		})
	}
}

// checkServed checks that requests are served during the drain.
func checkServed(t *testing.T, requests []request, d zoneDrain) {
	t.Helper()
	sent, served := 0, 0
	for _, r := range requests {
		if r.abandoned || r.sent.Before(d.from) || r.sent.After(d.to) {
			continue
		}
		sent++
		if r.intact {
			served++
		}
	}
	t.Logf("%d of %d requests served during the drain", served, sent)
	if float64(served) < minRecoveredShare*float64(sent) || sent == 0 {
		t.Errorf("got %d of %d requests served during the drain, want a share of %v", served, sent, minRecoveredShare)
	}
}

// checkReturned checks that all targets of the zone receive requests after the drain, but
// for those of the service to which no route leads.
func checkReturned(t *testing.T, e *environment, d zoneDrain) {
	t.Helper()
	first, last := map[string]time.Duration{}, time.Duration(0)
	for _, a := range e.journal.Arrivals() {
		if since := a.At.Sub(d.to); since > 0 && first[a.Target] == 0 {
			first[a.Target] = since
		}
	}
	for _, a := range e.journal.Arrivals() {
		for _, b := range e.backends {
			if since := a.At.Sub(d.from); b.target.ID == a.Target && b.zone == d.zone && a.At.Before(d.to) {
				last = max(last, since)
			}
		}
	}
	for _, b := range e.backends {
		if b.zone == d.zone && b.service == serviceDesk && first[b.target.ID] == 0 {
			t.Errorf("%s: got no requests within %v of the end of the drain", b.target.ID, returnLimit)
		}
	}
	t.Logf("last request in the zone %v after the drain; first ones after its end: %v", last, first)
}
