package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	// backoffSlack is the time after a target has asked to be sent nothing within which
	// requests may still reach it.
	backoffSlack = 500 * time.Millisecond
	// maxBackoffArrivals is the number of requests that may reach it after that.
	maxBackoffArrivals = 2
)

// pair is an instance and a target.
type pair struct {
	instance *instance
	target   string
}

// checkLeavers checks that a target gets no request from an instance that has passed on
// its word, in a response, that it leaves, if the client sent the request later than
// drainLimit after that.
func checkLeavers(in *injector, requests []request, arrivals []prepared.Arrival) []string {
	byID := requestsByID(requests)
	var violations []string
	for _, period := range in.silentLeavings {
		told := map[*instance]time.Time{}
		for _, r := range requests {
			first, known := told[r.instance]
			within := r.leaver == period.target && r.sent.After(period.from) && r.ended.Before(period.to)
			if within && (!known || r.ended.Before(first)) {
				told[r.instance] = r.ended
			}
		}
		for _, a := range arrivals {
			r, known := byID[a.AttemptID]
			if !known || a.Target != period.target || a.At.After(period.to) {
				continue
			}
			since, known := told[r.instance]
			if known && r.sent.Sub(since) > drainLimit && r.instance.ranThrough(since, a.At) {
				violations = append(violations, fmt.Sprintf("leaver: %s reached %s from %s, sent %v after it was told", a.AttemptID, a.Target, r.instance.name, r.sent.Sub(since)))
			}
		}
	}
	return violations
}

// checkBackoff checks that a target which refused a request and asked to be sent nothing
// gets at most maxBackoffArrivals requests from that instance until the end of that time,
// not counting backoffSlack.
func checkBackoff(e *environment, requests []request, arrivals []prepared.Arrival) []string {
	byID := requestsByID(requests)
	byPair := map[pair][]prepared.Arrival{}
	for _, a := range arrivals {
		if r, known := byID[a.AttemptID]; known {
			p := pair{
				instance: r.instance,
				target:   a.Target,
			}
			byPair[p] = append(byPair[p], a)
		}
	}
	var violations []string
	for p, list := range byPair {
		for _, a := range list {
			n := countBetween(list, a.At.Add(backoffSlack), a.At.Add(a.RetryAfter))
			if n > maxBackoffArrivals && p.undisturbed(e, a.At, a.At.Add(a.RetryAfter)) {
				violations = append(violations, fmt.Sprintf("backoff: %d requests from %s reached %s, which had asked for %v without any", n, p.instance.name, p.target, a.RetryAfter))
			}
		}
	}
	return violations
}

// undisturbed reports whether the instance and its path to the target had no fault.
func (p pair) undisturbed(e *environment, from, to time.Time) bool {
	if !p.instance.ranThrough(from, to) || !p.instance.undisturbed(to) {
		return false
	}
	return !slices.ContainsFunc(e.backends, func(b *backend) bool {
		return b.target.ID == p.target && !b.undisturbed(to)
	})
}

func countBetween(arrivals []prepared.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

func requestsByID(requests []request) map[string]request {
	out := map[string]request{}
	for _, r := range requests {
		out[r.id] = r
	}
	return out
}
