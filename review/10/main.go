// Command 10 shows that a fleet on thin links stops following the store once the store forgets its
// history, as it can't read a configuration in time that it had taken over before.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonwell/tarragonwell/review/rig2"
)

const (
	instances = 3
	// linkBytesPerSecond is 10 Mbit/s, the thinnest link of the site.
	linkBytesPerSecond = 10e6 / 8
	// addedRoutes is the number of routes by which the configuration grows. Each is split among the
	// services of otherServices.
	addedRoutes = 1500
	// The configuration grows at growsAfter. At gapAfter the watches hear nothing for gapTime, while
	// a change is made; then the history is dropped. The changes that are judged are made when the
	// store counts as stable again: contact after the longest platform_compact of the site file.
	growsAfter  = 4 * time.Second
	gapAfter    = 9 * time.Second
	gapTime     = time.Second
	compactTime = 12 * time.Second
	// servesFor is how long the backend that leaves still serves: the time that is asked for, and a
	// little longer.
	servesFor = drain + time.Second
	// drain and configApply are bounds of the site.
	drain       = 2500 * time.Millisecond
	configApply = 2500 * time.Millisecond
	// bookingBackends is such that the one that leaves is less than 0.13 of its service.
	bookingBackends = 8
	observed        = 15 * time.Second
	deadline        = 3 * time.Second
)

// otherServices are the services of the added routes.
var otherServices = []string{"casefile-production", "searchdesk-production", "packroom-production"}

func main() {
	rig2.Main("review/10", run)
}

// lastVersion is the version that moves the reads.
const lastVersion = 4

// configuration returns a version. The first is small. Reads go to the service new in the last.
func configuration(version int) map[string]any {
	route := func(path, kind, service string) map[string]any {
		return map[string]any{
			"host":          rig2.Host,
			"pathPrefix":    path,
			"kind":          kind,
			"timeout":       "2000ms",
			"targetLatency": "500ms",
			"priority":      1,
			"service":       service,
			"maxAttempts":   2,
		}
	}
	service := map[string]any{
		"healthPath": "/health",
		"maxConns":   240,
		"protocol":   "h1",
		"tls":        false,
	}
	reads := "old"
	if version == lastVersion {
		reads = "new"
	}
	routes := map[string]any{
		"r-read": route("/read/", "idempotent", reads),
		"r-book": route("/book/", "non_idempotent", "booking"),
	}
	services := map[string]any{
		"old":     service,
		"new":     service,
		"booking": service,
	}
	if version > 1 {
		addRoutes(routes, services, route, service)
	}
	return map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     64 << 20,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	}
}

// addRoutes adds the routes by which the configuration grows.
func addRoutes(routes, services map[string]any, route func(path, kind, service string) map[string]any, service map[string]any) {
	var split []any
	for n, name := range otherServices {
		services[name] = service
		split = append(split, map[string]any{
			"service": name,
			"weight":  10 + n,
		})
	}
	for n := range addedRoutes {
		r := route(fmt.Sprintf("/member-agency/%04d/references/", n), "idempotent", "")
		delete(r, "service")
		r["trafficSplit"] = split
		routes[fmt.Sprintf("r-member-agency-%04d-references", n)] = r
	}
}

func run(ctx context.Context, c *rig2.Case) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, err := rig2.StartStore(ctx)
	if err != nil {
		return 0, err
	}
	var runs rig2.Runs
	var leaver *rig2.Backend
	for service, n := range map[string]int{
		"old":     3,
		"new":     3,
		"booking": bookingBackends,
	} {
		for k := range n {
			b, err := rig2.StartBackend(ctx, store, &runs, fmt.Sprintf("i-%s-%d", service, k), service, rig2.Zone(k), 180*time.Millisecond)
			if err != nil {
				return 0, err
			}
			if service == "booking" {
				leaver = b
			}
		}
	}
	store.PutJSON("op/config", configuration(1))
	fleet, err := rig2.StartThinInstances(ctx, store, c.Folder, instances, linkBytesPerSecond)
	for _, i := range fleet {
		defer i.End()
	}
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	c.Note("all instances are ready")
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var clients rig2.Clients
	for _, i := range fleet {
		clients.Load(loadCtx, i, "GET", "/read/", "", 100*time.Millisecond, deadline)
		clients.Load(loadCtx, i, "POST", "/book/", "a booking", 25*time.Millisecond, deadline)
	}
	time.Sleep(time.Until(begin.Add(growsAfter)))
	size := store.PutJSON("op/config", configuration(2))
	c.Note("the store has accepted a configuration of %d bytes", size)
	time.Sleep(time.Until(begin.Add(gapAfter)))
	t := change(c, store, leaver)
	time.Sleep(time.Until(t.moved.Add(observed)))
	endLoad()
	sent := clients.Wait()
	status := judge(c, t, sent, runs.All())
	c.WriteAll(sent, runs.All())
	return status, nil
}

// times are the confirmations from which the rules count.
type times struct {
	moved, drained time.Time
	leaver         string
}

// change lets the store forget its history. When it is stable again, it moves the reads and lets a
// backend leave.
func change(c *rig2.Case, store *rig2.Store, leaver *rig2.Backend) times {
	t := times{
		leaver: leaver.ID,
	}
	begin := time.Now()
	if c.Trouble {
		store.BeginGap()
		c.Note("the watches hear nothing")
	}
	time.Sleep(gapTime / 2)
	store.PutJSON("op/config", configuration(lastVersion-1))
	time.Sleep(gapTime / 2)
	if c.Trouble {
		store.EndGap()
		c.Note("the store has dropped its history")
	}
	time.Sleep(time.Until(begin.Add(compactTime + rig2.Contact + time.Second)))
	store.PutJSON("op/config", configuration(lastVersion))
	t.moved = time.Now()
	leaver.Register("draining")
	t.drained = time.Now()
	c.Note("the store has accepted that reads move to the service new and that %s is draining", leaver.ID)
	time.Sleep(time.Until(t.drained.Add(servesFor)))
	leaver.End()
	c.Note("%s has ended", leaver.ID)
	return t
}

// judge applies DRAIN and CONFIG.
func judge(c *rig2.Case, t times, sent map[string]rig2.Sent, runs []rig2.Run) int {
	stale, late, lost := 0, 0, 0
	var lastStale, followed time.Duration
	for _, r := range runs {
		s, ok := sent[r.ID]
		if !ok {
			continue
		}
		if r.Service == "old" && s.At.After(t.moved.Add(configApply)) {
			stale++
			lastStale = max(lastStale, s.At.Sub(t.moved))
		}
		if r.Service == "new" {
			followed = max(followed, s.At.Sub(t.moved))
		}
		if r.Backend == t.leaver && r.Reached.After(t.drained.Add(drain)) {
			late++
			if r.Cut && s.Method == "POST" && s.Status != 200 {
				lost++
			}
		}
	}
	c.Note("CONFIG: %d reads that were sent more than %v after the confirmation ran at the old service, the last %.1f s after it; the last at the new one %.1f s after it",
		stale, configApply, lastStale.Seconds(), followed.Seconds())
	c.Note("DRAIN: %d requests reached %s more than %v after the confirmation of its draining", late, t.leaver, drain)
	c.Note("DRAIN: %d bookings among them were cut off when it ended, and their callers got no success", lost)
	if late > 0 {
		return rig2.Broken
	}
	return rig2.Held
}
