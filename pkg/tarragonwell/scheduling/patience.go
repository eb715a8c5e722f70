package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// shortestPatience is the part of its objective that every call may wait, so
	// that the end of one call makes room for the next.
	shortestPatience = 8
	// lateFill is the part of a target's room that is given to calls that can't
	// meet their objective any more.
	lateFill = 0.65
	// spareFill is the share of its slots up to which a target is given second
	// attempts: at a crest they would make first attempts late.
	spareFill = 0.67
	// retryShare is the part of a caller's time after which it is told to return:
	// late enough for a crest to pass, early enough to return more than once.
	retryShare = 0.3
	// minRetryAfter keeps callers that have little time from returning at once.
	minRetryAfter = 50 * time.Millisecond
)

// setPatience decides how long a call may wait for a target: as long as it can
// still meet its objective. Callers that were refused before bring less time
// than the others; what they have waited is counted.
func (s *Scheduler) setPatience(now time.Time, w *admission.PendingCall, left time.Duration) {
	objective := w.Kind.LatencyObjective
	if objective == 0 || s.options.ServiceRule.MaxUtilization == 0 {
		return
	}
	k := s.stats(w.Kind)
	w.CallerTimeLeft = left
	waited := time.Duration(0)
	if left > 0 {
		waited = k.waited(left)
	}
	useful := objective - waited - k.mean()
	w.Late = useful <= 0
	w.QueueDeadline = now.Add(max(useful, objective/shortestPatience))
}

// fillOf is the share of its slots up to which a target is given a call; 0 for
// the usual. Calls that come too late for their objective leave room for those
// that do not: served first, they would make these late as well.
func (s *Scheduler) fillOf(w *admission.PendingCall) float64 {
	fill := s.options.ServiceRule.MaxUtilization
	switch {
	case w.SpareCapacityOnly:
		return min(fill, spareFill)
	case w.Late:
		return fill * lateFill
	default:
		return fill
	}
}

// retryAfter is when a refused caller is told to return.
func (s *Scheduler) retryAfter(now time.Time, w *admission.PendingCall) time.Duration {
	if w.CallerTimeLeft == 0 {
		return s.estimatedWait(w)
	}
	return max(minRetryAfter, time.Duration(retryShare*float64(w.CallerTimeLeft)))
}
