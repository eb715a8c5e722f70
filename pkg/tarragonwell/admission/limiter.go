package admission

import "time"

const (
	minLimit = 2
	maxLimit = 100_000
	// decrease is the factor on congestion, at most once in a latency.
	decrease = 0.8
	// minDecreaseGap is the shortest time between two decreases.
	minDecreaseGap = 10 * time.Millisecond
)

// Limiter bounds the calls in flight to a service. It grows with calls that
// succeed while the limit is in use and shrinks when targets shed or time out.
// The zero value begins at the first limit that Start sets.
type Limiter struct {
	// Limit is at least minLimit once started.
	Limit     float64
	decreased time.Time
}

// Start sets the first limit, once.
func (l *Limiter) Start(limit float64) {
	if l.Limit == 0 {
		l.Limit = min(maxLimit, max(minLimit, limit))
	}
}

// Allows reports whether one more call may be in flight.
func (l *Limiter) Allows(inFlight int) bool {
	return float64(inFlight) < l.Limit
}

// Succeed takes in a call that succeeded with inFlight calls about.
func (l *Limiter) Succeed(inFlight int) {
	if float64(inFlight) >= l.Limit/2 {
		l.Limit = min(maxLimit, l.Limit+1/l.Limit)
	}
}

// Congest takes in a sign of overload.
func (l *Limiter) Congest(now time.Time, latency time.Duration) {
	if now.Sub(l.decreased) < max(minDecreaseGap, latency) {
		return
	}
	l.decreased = now
	l.Limit = max(minLimit, l.Limit*decrease)
}
