package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	// applyLimit is the time within which a published configuration must take effect.
	applyLimit = 2 * time.Second
	// gracePeriod is the time around a fault during which an instance is exempt from
	// the checks that have a time limit.
	gracePeriod = 3 * time.Second
	// drainLimit is the time after a target's draining announcement within which
	// instances must stop sending requests to it.
	drainLimit = 2 * time.Second
	// zoneDrainLimit is the time after the store has confirmed the drain of a zone within
	// which instances must stop sending requests to its targets.
	zoneDrainLimit = 5 * time.Second
	// cancelLimit is the time within which a target must stop work on a request
	// after its client has disconnected. A share of maxLateCancelShare may take
	// longer.
	cancelLimit        = 500 * time.Millisecond
	maxLateCancelShare = 0.25
	// minCancelSamples is the number of abandoned requests below which the share of
	// late cancellations is not significant.
	minCancelSamples = 8
	// retryShare and retrySlack bound the runs beyond the first of each request: at
	// most retryShare of all requests, plus retrySlack.
	retryShare = 0.2
	retrySlack = 60
	// minRecoveredShare is the share of requests that must be served after the
	// recovery time.
	minRecoveredShare = 0.9
)

// check compares the responses that clients received with the requests that targets
// ran, and returns the violated promises. Requests sent after recovered must be
// served.
func check(e *environment, in *injector, requests []request, recovered time.Time) []string {
	runs := map[string]int{}
	services := map[string]string{}
	for _, b := range e.backends {
		services[b.target.ID] = b.service
	}
	ranBy := map[string]string{}
	journal := e.journal.Runs()
	for _, r := range journal {
		runs[r.AttemptID]++
		ranBy[r.AttemptID] = services[r.Target]
	}
	var violations []string
	fail := func(promise string, r request, detail string) {
		violations = append(violations, fmt.Sprintf("%s: %s %s at %s, status %d, %d runs: %s", promise, r.id, r.path, r.instance.name, r.status, runs[r.id], detail))
	}
	extra, served, sent := 0, 0, 0
	for _, r := range requests {
		extra += max(0, runs[r.id]-1)
		refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		switch {
		case r.operation && runs[r.id] > 1:
			fail("at most once", r, "ran more than once")
		case r.operation && refused && runs[r.id] > 0:
			fail("truthful refusal", r, "ran although the response reported that it had not")
		case r.status >= 200 && r.status < 300 && !r.intact:
			fail("whole answers", r, "the response differs from the target's")
		case r.status >= 300 && r.status < 500:
			fail("proper requests", r, "was rejected")
		}
		if !r.operation && runs[r.id] == 1 && usedStaleConfig(in, r, ranBy[r.id]) {
			fail("configuration", r, "ran by "+ranBy[r.id])
		}
		if r.sent.After(recovered) && !r.abandoned {
			sent++
			if r.intact {
				served++
			}
		}
	}
	if limit := retryShare*float64(len(requests)) + retrySlack; float64(extra) > limit {
		violations = append(violations, fmt.Sprintf("retry budget: %d runs beyond the first of each request, want at most %.0f", extra, limit))
	}
	if sent == 0 || float64(served) < minRecoveredShare*float64(sent) {
		violations = append(violations, fmt.Sprintf("recovery: %d of %d requests served after the recovery time", served, sent))
	}
	violations = append(violations, checkDrainedTargets(in, requests, journal)...)
	violations = append(violations, checkDrainedZones(e, in, requests, e.journal.Arrivals())...)
	violations = append(violations, checkCancellation(requests, journal)...)
	violations = append(violations, checkLeavers(in, requests, e.journal.Arrivals())...)
	violations = append(violations, checkBackoff(e, requests, e.journal.Arrivals())...)
	for _, name := range in.stopFailures {
		violations = append(violations, "graceful stop: "+name+" did not exit in time")
	}
	return violations
}

// usedStaleConfig reports whether a read ran at a service to which only an outdated
// configuration routes it, through an instance that had no recent fault.
func usedStaleConfig(in *injector, r request, service string) bool {
	r.instance.mu.Lock()
	lastFault := r.instance.lastFault
	r.instance.mu.Unlock()
	if !lastFault.IsZero() && r.sent.Sub(lastFault) < gracePeriod && lastFault.Sub(r.sent) < gracePeriod {
		return false
	}
	allowed := serviceDesk
	for _, c := range in.configChanges {
		if r.sent.Sub(c.at) > applyLimit {
			allowed = c.reads
			continue
		}
		// A configuration within applyLimit may be in force already, so both its
		// service and the previous one are allowed.
		if c.at.Before(r.ended) && c.reads == service {
			return false
		}
	}
	return service != allowed
}

// checkDrainedTargets checks that draining targets receive no requests from
// instances that had no recent fault.
func checkDrainedTargets(in *injector, requests []request, journal []prepared.Run) []string {
	instances := map[string]*instance{}
	for _, r := range requests {
		instances[r.id] = r.instance
	}
	var violations []string
	for _, r := range journal {
		for _, d := range in.drainPeriods {
			if r.Target != d.target || r.StartedAt.Sub(d.from) <= drainLimit || r.StartedAt.After(d.to) {
				continue
			}
			if i := instances[r.AttemptID]; i != nil && i.undisturbed(r.StartedAt) {
				violations = append(violations, fmt.Sprintf("leaving target: %s reached %s from %s %v after its draining announcement", r.AttemptID, r.Target, i.name, r.StartedAt.Sub(d.from)))
			}
		}
	}
	return violations
}

// checkDrainedZones checks that the targets of drained zones receive no requests from
// instances that had no recent fault.
func checkDrainedZones(e *environment, in *injector, requests []request, arrivals []prepared.Arrival) []string {
	byID := requestsByID(requests)
	zones := map[string]string{}
	for _, b := range e.backends {
		zones[b.target.ID] = b.zone
	}
	var violations []string
	for _, a := range arrivals {
		for _, d := range in.zoneDrains {
			if zones[a.Target] != d.zone || a.At.Sub(d.from) <= zoneDrainLimit || a.At.After(d.to) {
				continue
			}
			if r, known := byID[a.AttemptID]; known && r.instance.undisturbed(a.At) {
				violations = append(violations, fmt.Sprintf("drained zone: %s reached %s from %s %v after the drain of %s", a.AttemptID, a.Target, r.instance.name, a.At.Sub(d.from), d.zone))
			}
		}
	}
	return violations
}

// checkCancellation checks that targets stop work on requests whose clients have
// disconnected.
func checkCancellation(requests []request, journal []prepared.Run) []string {
	abandonedAt := map[string]time.Time{}
	for _, r := range requests {
		if r.abandoned && !r.operation && r.status == 0 {
			abandonedAt[r.id] = r.ended
		}
	}
	total, late := 0, 0
	for _, r := range journal {
		at, ok := abandonedAt[r.AttemptID]
		if !ok {
			continue
		}
		total++
		if r.EndedAt.IsZero() || r.EndedAt.Sub(at) > cancelLimit {
			late++
		}
	}
	if total < minCancelSamples || float64(late) <= maxLateCancelShare*float64(total) {
		return nil
	}
	return []string{fmt.Sprintf("clients that left: %d of %d abandoned requests ran on at their targets", late, total)}
}
