package scheduling

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// defaultNoTargetsRetryAfter is the retry delay if the service has no target that
	// will accept calls at a known time.
	defaultNoTargetsRetryAfter = time.Second
	// backoffSpreadShare and maxBackoffSpread bound the time by which an instance extends
	// a backoff. The extension differs between instances, so that they do not all return
	// to the target at once.
	backoffSpreadShare = 0.25
	maxBackoffSpread   = time.Second
)

// RecordBackoff records that a target asked to be sent nothing for a time. born is the
// Born of the target that the response came from. RecordBackoff returns when this
// instance sends to the target again, or the zero time if the service does not have the
// target. After that time the target receives one call at a time until the first success.
func (s *Scheduler) RecordBackoff(now time.Time, id string, born uint64, asked time.Duration) time.Time {
	t := s.find(id)
	if t == nil || t.Born != born {
		return time.Time{}
	}
	spread := min(maxBackoffSpread, time.Duration(backoffSpreadShare*float64(asked)))
	until := now.Add(asked + time.Duration(s.instanceFraction(id)*float64(spread)))
	if until.After(t.BackoffUntil) {
		t.BackoffUntil = until
	}
	t.BackoffTrial = true
	return t.BackoffUntil
}

// instanceFraction returns a number in [0, 1) that depends on the instance and the
// target.
func (s *Scheduler) instanceFraction(id string) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(s.options.InstanceName+" "+id)%steps) / steps
}

// accepts reports whether a target may be sent calls: it is neither drained nor leaving
// nor in backoff.
func accepts(now time.Time, t *tarragonwell.TargetState) bool {
	return inService(now, t) && !t.InBackoff(now)
}

// inService reports whether a target is neither drained nor leaving.
func inService(now time.Time, t *tarragonwell.TargetState) bool {
	return !t.Drained && !t.Leaving(now)
}

// noneAccepts reports whether the service has targets and all of them are drained, leaving
// or asked to be sent nothing for longer.
func (s *Scheduler) noneAccepts(now time.Time) bool {
	for _, t := range s.targets {
		if inService(now, t) && !now.Before(t.BackoffUntil) {
			return false
		}
	}
	return len(s.targets) > 0
}

// trialPending reports whether a target serves the trial call after its backoff, which
// may soon make it available to others, unless it is warming up.
func (s *Scheduler) trialPending(now time.Time) bool {
	for _, t := range s.targets {
		if inService(now, t) && !s.warmUpLimited(now, t) && !now.Before(t.BackoffUntil) && t.BackoffTrial {
			return true
		}
	}
	return false
}

// noTargetsRetryAfter returns the time until the first target ends its backoff.
func (s *Scheduler) noTargetsRetryAfter(now time.Time) time.Duration {
	first := time.Time{}
	for _, t := range s.targets {
		ends := inService(now, t) && now.Before(t.BackoffUntil)
		if ends && (first.IsZero() || t.BackoffUntil.Before(first)) {
			first = t.BackoffUntil
		}
	}
	if first.IsZero() {
		return defaultNoTargetsRetryAfter
	}
	return max(minRetryAfter, first.Sub(now))
}
