// Command 6 shows that a fleet on thin links does not come back after all its processes were
// killed, as it can't read a configuration in time that it had taken over while it ran.
package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
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
	// The configuration grows at growsAfter. All processes are killed at killedAfter, and start
	// again downTime later.
	growsAfter  = 4 * time.Second
	killedAfter = 12 * time.Second
	downTime    = 600 * time.Millisecond
	// recoverTime is the bound of the pages, and observed for how long requests are counted then.
	recoverTime = 15 * time.Second
	observed    = 10 * time.Second
	deadline    = 3 * time.Second
)

// otherServices are the services of the added routes.
var otherServices = []string{"casefile-production", "searchdesk-production", "packroom-production"}

func main() {
	rig2.Main("review/6", run)
}

// configuration returns the first or the grown version. Reads go to the service new in the latter.
func configuration(grown bool) map[string]any {
	route := func(path, service string) map[string]any {
		return map[string]any{
			"host":          rig2.Host,
			"pathPrefix":    path,
			"kind":          "idempotent",
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
	version, reads := "00000001", "old"
	if grown {
		version, reads = "00000002", "new"
	}
	routes := map[string]any{
		"r-read": route("/read/", reads),
	}
	services := map[string]any{
		"old": service,
		"new": service,
	}
	if grown {
		addRoutes(routes, services, route, service)
	}
	return map[string]any{
		"version":  version,
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
func addRoutes(routes, services map[string]any, route func(path, service string) map[string]any, service map[string]any) {
	var split []any
	for n, name := range otherServices {
		services[name] = service
		split = append(split, map[string]any{
			"service": name,
			"weight":  10 + n,
		})
	}
	for n := range addedRoutes {
		r := route(fmt.Sprintf("/member-agency/%04d/references/", n), "")
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
	for n := range 6 {
		service := []string{"old", "new"}[n%2]
		if _, err := rig2.StartBackend(ctx, store, &runs, fmt.Sprintf("i-%s-%d", service, n/2), service, rig2.Zone(n/2), 100*time.Millisecond); err != nil {
			return 0, err
		}
	}
	store.PutJSON("op/config", configuration(false))
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
	}
	time.Sleep(time.Until(begin.Add(growsAfter)))
	size := store.PutJSON("op/config", configuration(true))
	grown := time.Now()
	c.Note("the store has accepted a configuration of %d bytes", size)
	time.Sleep(time.Until(begin.Add(killedAfter)))
	killed := time.Now()
	if err := killAll(ctx, c, fleet); err != nil {
		return 0, err
	}
	back := time.Now()
	time.Sleep(recoverTime + observed)
	for _, i := range fleet {
		c.Note("%s runs: %t, is ready: %t", i.Name, i.Running(), i.AwaitReady(100*time.Millisecond) == nil)
	}
	endLoad()
	sent := clients.Wait()
	status := judge(c, grown, killed, back, sent, runs.All())
	c.WriteAll(sent, runs.All())
	return status, nil
}

// killAll kills all processes at once and starts them again.
func killAll(ctx context.Context, c *rig2.Case, fleet []*rig2.Instance) error {
	if !c.Trouble {
		time.Sleep(downTime)
		return nil
	}
	for _, i := range fleet {
		i.Signal(syscall.SIGKILL)
	}
	c.Note("all processes are killed")
	time.Sleep(downTime)
	for _, i := range fleet {
		i.End()
		if err := i.Start(ctx); err != nil {
			return err
		}
	}
	c.Note("all processes are started again")
	return nil
}

// judge applies RECOVER to the requests that were sent later than recoverTime after the machines
// were back.
func judge(c *rig2.Case, grown, killed, back time.Time, sent map[string]rig2.Sent, runs []rig2.Run) int {
	inForce := map[string]bool{}
	for _, r := range runs {
		inForce[r.ID] = r.Service == "new"
	}
	var before, served, after, servedAfter int
	var applied time.Duration
	for _, s := range sent {
		ok := s.Status == http.StatusOK
		switch {
		case s.At.Before(killed):
			before++
			if ok {
				served++
			}
			if ok && !inForce[s.ID] && s.At.After(grown) {
				applied = max(applied, s.At.Sub(grown))
			}
		case s.At.After(back.Add(recoverTime)):
			after++
			if ok {
				servedAfter++
			}
		}
	}
	c.Note("before: %d of %d requests served; the last that the old configuration allows was sent %d ms after the new one's confirmation", served, before, applied.Milliseconds())
	c.Note("RECOVER: %d of %d requests served that were sent later than %v after the machines were back", servedAfter, after, recoverTime)
	if after == 0 || served*4 < before {
		return rig2.CannotRun
	}
	if servedAfter*4 < after {
		return rig2.Broken
	}
	return rig2.Held
}
