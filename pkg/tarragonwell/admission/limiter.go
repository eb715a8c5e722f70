package admission

import "time"

const (
	// minLimit is the number of calls in flight that is always allowed.
	minLimit = 2
	// maxShare is in parts of all slots: a lone instance may fill each slot and
	// keep as many calls waiting at the targets.
	maxShare = 2.0
	// decrease is the factor on congestion, at most once in a latency.
	decrease = 0.8
	// minDecreaseGap is the shortest time between two decreases.
	minDecreaseGap = 10 * time.Millisecond
)

// Limiter bounds the calls in flight to a service, as a share of the slots of
// all its targets. It grows with calls that succeed while the limit is in use
// and shrinks when targets shed. The zero value allows the highest share.
type Limiter struct {
	// cut is what has been taken off maxShare, from 0 to below maxShare.
	cut       float64
	decreased time.Time
}

// Limit returns the number of calls that may be in flight for so many slots.
func (l *Limiter) Limit(slots int) float64 {
	return max(minLimit, (maxShare-l.cut)*float64(slots))
}

// RecordSuccess takes in a call that succeeded with inFlight calls about.
func (l *Limiter) RecordSuccess(inFlight, slots int) {
	limit := l.Limit(slots)
	if slots > 0 && float64(inFlight) >= limit/2 {
		l.cut = max(0, l.cut-1/limit/float64(slots))
	}
}

// RecordCongestion takes in a sign of overload.
func (l *Limiter) RecordCongestion(now time.Time, latency time.Duration) {
	if now.Sub(l.decreased) < max(minDecreaseGap, latency) {
		return
	}
	l.decreased = now
	l.cut = maxShare - (maxShare-l.cut)*decrease
}
