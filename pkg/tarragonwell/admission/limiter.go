package admission

import "time"

const (
	// minLimit is the lowest limit, in calls in flight.
	minLimit = 2
	// maxLimitPerSlot is the highest limit, in calls in flight per slot. At 2, a
	// single instance can fill every slot and keep as many calls queued at the
	// targets.
	maxLimitPerSlot = 2.0
	// decreaseFactor is applied to the limit on congestion, at most once within one
	// mean latency.
	decreaseFactor = 0.8
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval = 10 * time.Millisecond
)

// Limiter is an adaptive concurrency limit for a service, relative to the total
// number of slots of its targets. Successful calls raise it while at least half of
// it is in use; load shedding by targets lowers it. The zero value has the highest
// limit.
type Limiter struct {
	// reduction is subtracted from maxLimitPerSlot; at least 0 and below
	// maxLimitPerSlot.
	reduction    float64
	lastDecrease time.Time
}

// Limit returns the maximum number of calls in flight for a total number of slots.
func (l *Limiter) Limit(slots int) float64 {
	return max(minLimit, (maxLimitPerSlot-l.reduction)*float64(slots))
}

// RecordSuccess records a successful call that ended while inFlight calls were in
// flight.
func (l *Limiter) RecordSuccess(inFlight, slots int) {
	limit := l.Limit(slots)
	if slots > 0 && float64(inFlight) >= limit/2 {
		l.reduction = max(0, l.reduction-1/limit/float64(slots))
	}
}

// RecordCongestion records a sign of overload and lowers the limit, unless it was
// lowered within the last mean latency, which is passed as latency.
func (l *Limiter) RecordCongestion(now time.Time, latency time.Duration) {
	if now.Sub(l.lastDecrease) < max(minDecreaseInterval, latency) {
		return
	}
	l.lastDecrease = now
	l.reduction = maxLimitPerSlot - (maxLimitPerSlot-l.reduction)*decreaseFactor
}
