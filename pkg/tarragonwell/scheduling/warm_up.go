package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/warmup"
)

// configureWarmUp sets the limit on calls to targets that are warming up.
func (s *Scheduler) configureWarmUp() {
	s.warmUp.SetLimit(s.warmUpLimit())
}

func (s *Scheduler) warmUpLimit() warmup.Limit {
	return warmup.Limit{
		Rate:      s.options.ServiceRule.WarmUpRate,
		Overshoot: s.options.WarmUpOvershoot,
		Slack:     s.options.WarmUpSlack,
	}
}

// CheckWarmUp returns an error if the limit on calls to targets that are warming up does
// not do what the rule asks for; see warmup.Limit.Check.
func (s *Scheduler) CheckWarmUp() error {
	return s.warmUpLimit().Check()
}

// SetFleet replaces the view of the fleet, which determines whether this instance may send
// calls to a target that is warming up. It has to be set at least every few seconds.
func (s *Scheduler) SetFleet(now time.Time, v tarragonwell.FleetView) {
	s.warmUp.SetFleet(now, v)
}

// RecordPause records that the process was paused, so that its view of the fleet may be
// outdated.
func (s *Scheduler) RecordPause(now time.Time) {
	s.warmUp.RecordPause(now)
}

// listedWarmUpHold is the time after a change of the list in which a target's statement
// does not shorten its warm-up: the response may be from before the change. It is longer
// than a probe may take.
const listedWarmUpHold = time.Second

// RecordWarmUp records for how long a target states that it is still warming up. born is
// the Born of the target that the response came from.
func (s *Scheduler) RecordWarmUp(now time.Time, id string, born uint64, remaining time.Duration) {
	t := s.find(id)
	if t == nil || t.Born != born {
		return
	}
	until := now.Add(min(remaining, tarragonwell.MaxWarmUp))
	if until.Before(t.WarmUpUntil) && now.Sub(t.ListedWarmUpAt) < listedWarmUpHold {
		return
	}
	t.WarmUpUntil = until
	t.WarmUpReported = true
}

// applyListedWarmUp applies the end of the warm-up on the platform's list if it has
// changed. The list may lag behind what the target itself has stated, so it can only extend
// that.
func applyListedWarmUp(now time.Time, t *tarragonwell.TargetState, until time.Time) {
	if until.Equal(t.ListedWarmUpUntil) {
		return
	}
	t.ListedWarmUpUntil = until
	t.ListedWarmUpAt = now
	if !t.WarmUpReported || until.After(t.WarmUpUntil) {
		t.WarmUpUntil = until
		t.WarmUpReported = false
	}
}

// warmUpLimited reports whether calls to a target are limited because it is warming up.
func (s *Scheduler) warmUpLimited(now time.Time, t *tarragonwell.TargetState) bool {
	return now.Before(t.WarmUpUntil) && s.warmUp.Enabled()
}

// warmUpAdmits reports whether a target may be sent a call as far as its warm-up is
// concerned.
func (s *Scheduler) warmUpAdmits(now time.Time, t *tarragonwell.TargetState) bool {
	return !s.warmUpLimited(now, t) || s.warmUp.Available(now, t.ID, t.DataCenter)
}

// takeWarmUpToken counts a call that is granted a target, if the target is limited. It
// returns the time within which the call must be sent; 0 if the target is not limited.
func (s *Scheduler) takeWarmUpToken(now time.Time, t *tarragonwell.TargetState) time.Duration {
	if !s.warmUpLimited(now, t) {
		return 0
	}
	s.warmUp.Take(now, t.ID, t.DataCenter)
	return warmup.MaxSendDelay
}

// onlyWarmUpLimited reports whether all targets that accept calls at all are limited
// because they are warming up. Calls are not queued then, as the rate is low.
func (s *Scheduler) onlyWarmUpLimited(now time.Time) bool {
	limited := false
	for _, t := range s.targets {
		if !accepts(now, t) {
			continue
		}
		if !s.warmUpLimited(now, t) {
			return false
		}
		limited = true
	}
	return limited
}

// warmUpRetryAfter returns the time after which a call that was rejected because all
// targets are warming up is more likely to be accepted.
func (s *Scheduler) warmUpRetryAfter(now time.Time) time.Duration {
	first := defaultNoTargetsRetryAfter
	for _, t := range s.targets {
		if accepts(now, t) && s.warmUpLimited(now, t) {
			first = min(first, s.warmUp.RetryAfter(now, t.ID, t.DataCenter, t.WarmUpUntil))
		}
	}
	return max(minRetryAfter, first)
}

// WarmUp is the state of a target that is warming up.
type WarmUp struct {
	// Remaining is the remaining warm-up time.
	Remaining time.Duration
	// Sender is set if this instance may send calls to the target. It is not set if the
	// service has no warm-up rate.
	Sender bool
}

// WarmUps returns the targets that are warming up, by ID.
func (s *Scheduler) WarmUps(now time.Time) map[string]WarmUp {
	out := map[string]WarmUp{}
	for _, t := range s.targets {
		if now.Before(t.WarmUpUntil) {
			out[t.ID] = WarmUp{
				Remaining: t.WarmUpUntil.Sub(now),
				Sender:    s.warmUp.Enabled() && s.warmUp.IsSender(now, t.ID, t.DataCenter),
			}
		}
	}
	return out
}
