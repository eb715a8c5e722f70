package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	// applyLimit is within what time a configuration is to be in force.
	applyLimit = 2 * time.Second
	// contact is how long an instance must have been undisturbed for bounds on
	// time to hold.
	contact = 3 * time.Second
	// drainLimit is the time after which a target that leaves gets nothing.
	drainLimit = 2 * time.Second
	// goneLimit is within what time work ends whose client has left, but for
	// goneShare of it.
	goneLimit = 500 * time.Millisecond
	goneShare = 0.25
	// goneLeast is the number of requests below which shares say nothing.
	goneLeast = 8
	// repeatShare and repeatSlack bound the arrivals beyond the first.
	repeatShare = 0.2
	repeatSlack = 60
	// servedShare is what must be served once everything has healed.
	servedShare = 0.9
)

// check holds what callers were told against what targets ran. It returns the
// promises that were broken.
func check(w *world, f *faults, requests []request, healed time.Time) []string {
	runs := map[string]int{}
	services := map[string]string{}
	for _, b := range w.backends {
		services[b.target.ID] = b.service
	}
	ranBy := map[string]string{}
	journal := w.journal.Runs()
	for _, r := range journal {
		runs[r.AttemptID]++
		ranBy[r.AttemptID] = services[r.Target]
	}
	var broken []string
	fail := func(rule string, r request, detail string) {
		broken = append(broken, fmt.Sprintf("%s: %s %s at %s, status %d, %d runs: %s", rule, r.id, r.path, r.node.name, r.status, runs[r.id], detail))
	}
	extra, recovered, asked := 0, 0, 0
	for _, r := range requests {
		extra += max(0, runs[r.id]-1)
		promise := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		switch {
		case r.operation && runs[r.id] > 1:
			fail("at most once", r, "ran again")
		case r.operation && promise && runs[r.id] > 0:
			fail("truthful refusal", r, "was told that it had not run")
		case r.status >= 200 && r.status < 300 && !r.whole:
			fail("whole answers", r, "not the target's answer")
		case r.status >= 300 && r.status < 500:
			fail("proper requests", r, "was denied")
		}
		if !r.operation && runs[r.id] == 1 && stale(f, r, ranBy[r.id]) {
			fail("configuration", r, "ran by "+ranBy[r.id])
		}
		if r.sent.After(healed) && !r.abandoned {
			asked++
			if r.whole {
				recovered++
			}
		}
	}
	if limit := repeatShare*float64(len(requests)) + repeatSlack; float64(extra) > limit {
		broken = append(broken, fmt.Sprintf("retry budget: %d arrivals beyond the first, at most %.0f", extra, limit))
	}
	if asked == 0 || float64(recovered) < servedShare*float64(asked) {
		broken = append(broken, fmt.Sprintf("recovery: %d of %d requests served after everything had healed", recovered, asked))
	}
	broken = append(broken, checkLeaving(f, requests, journal)...)
	broken = append(broken, checkGone(requests, journal)...)
	for _, name := range f.stopFailures {
		broken = append(broken, "graceful stop: "+name+" did not end in time")
	}
	return broken
}

// stale reports whether a read was run by a service that only an older
// configuration names, at an instance that had been undisturbed.
func stale(f *faults, r request, service string) bool {
	r.node.mu.Lock()
	disturbed := r.node.disturbed
	r.node.mu.Unlock()
	if !disturbed.IsZero() && r.sent.Sub(disturbed) < contact && disturbed.Sub(r.sent) < contact {
		return false
	}
	allowed := serviceDesk
	for _, c := range f.configs {
		if r.sent.Sub(c.at) > applyLimit {
			allowed = c.reads
			continue
		}
		// One that may be in force by now is allowed beside the last that must be.
		if c.at.Before(r.ended) && c.reads == service {
			return false
		}
	}
	return service != allowed
}

// checkLeaving holds that targets which leave get nothing from instances that no
// fault has touched.
func checkLeaving(f *faults, requests []request, journal []prepared.Run) []string {
	nodes := map[string]*node{}
	for _, r := range requests {
		nodes[r.id] = r.node
	}
	var broken []string
	for _, r := range journal {
		for _, l := range f.leaves {
			if r.Target != l.target || r.StartedAt.Sub(l.from) <= drainLimit || r.StartedAt.After(l.to) {
				continue
			}
			if n := nodes[r.AttemptID]; n != nil && n.inTouch(r.StartedAt) {
				broken = append(broken, fmt.Sprintf("leaving target: %s reached %s from %s %v after its word", r.AttemptID, r.Target, n.name, r.StartedAt.Sub(l.from)))
			}
		}
	}
	return broken
}

// checkGone holds that targets stop working on what nobody waits for.
func checkGone(requests []request, journal []prepared.Run) []string {
	left := map[string]time.Time{}
	for _, r := range requests {
		if r.abandoned && !r.operation && r.status == 0 {
			left[r.id] = r.ended
		}
	}
	all, late := 0, 0
	for _, r := range journal {
		at, ok := left[r.AttemptID]
		if !ok {
			continue
		}
		all++
		if r.EndedAt.IsZero() || r.EndedAt.Sub(at) > goneLimit {
			late++
		}
	}
	if all < goneLeast || float64(late) <= goneShare*float64(all) {
		return nil
	}
	return []string{fmt.Sprintf("clients that left: %d of %d targets worked on", late, all)}
}
