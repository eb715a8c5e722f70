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
	// end is when the calls in progress are ended; nil before the stop begins.
	end atomic.Pointer[time.Time]
}

// Begin records that the stop has begun and when the calls in progress will be ended.
func (d *Drain) Begin(end time.Time) {
	d.end.Store(&end)
}

// Begun reports whether the stop has begun.
func (d *Drain) Begun() bool {
	return d.end.Load() != nil
}

// Bound returns the deadline of a call that begins now: the given one, or the end of the
// drain if that is earlier.
func (d *Drain) Bound(deadline time.Time) time.Time {
	if end := d.end.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}
