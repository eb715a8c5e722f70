package common

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopping is the cause with which the calls still in progress end when an instance
// stops. It wraps context.Canceled.
var ErrStopping = eris.Wrap(context.Canceled, "the instance stops")

// Drain is the state of a planned stop. It is safe for concurrent use. The zero value is
// that of an instance which is not stopping.
type Drain struct {
	// limits is nil before the stop begins.
	limits atomic.Pointer[DrainLimits]
}

// DrainLimits are the limits on the calls of an instance that stops.
type DrainLimits struct {
	// LateFrom is when all callers should have noticed that the instance stops.
	LateFrom time.Time
	// End is when the calls in progress are ended.
	End time.Time
}

// Begin records that the stop has begun, and its limits.
func (d *Drain) Begin(l DrainLimits) {
	d.limits.Store(&l)
}

// Begun reports whether the stop has begun.
func (d *Drain) Begun() bool {
	return d.limits.Load() != nil
}

// Bound returns the deadline of a call that begins now: the given one, or the end of the
// drain if that is earlier. late is set for a call that begins late in the stop and may be cut off
// by its end.
func (d *Drain) Bound(now, deadline time.Time) (bounded time.Time, late bool) {
	l := d.limits.Load()
	if l == nil || !l.End.Before(deadline) {
		return deadline, false
	}
	return l.End, !now.Before(l.LateFrom)
}
