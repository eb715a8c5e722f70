package target

import (
	"context"
	"sync/atomic"
	"time"
)

// connLimitRecheck is the time after which a dial that waits for the limit checks it
// again, in case the limit was raised.
const connLimitRecheck = 20 * time.Millisecond

// connLimit bounds the open connections of all transports of a client together.
type connLimit struct {
	limit atomic.Int64
	open  atomic.Int64
	// closed has a message after a connection was closed.
	closed chan struct{}
	// closeIdle closes the idle connections of all transports.
	closeIdle func()
}

func newConnLimit(limit int, closeIdle func()) *connLimit {
	l := &connLimit{
		closed:    make(chan struct{}, 1),
		closeIdle: closeIdle,
	}
	l.set(limit)
	return l
}

// set changes the limit, which is at least minConnections. If it is exceeded, idle
// connections are closed.
func (l *connLimit) set(limit int) {
	l.limit.Store(int64(max(minConnections, limit)))
	if l.open.Load() > l.limit.Load() {
		l.closeIdle()
	}
}

// acquire waits until a further connection may be opened, or until ctx ends. If the limit
// is reached it closes idle connections, which may be those of another transport.
func (l *connLimit) acquire(ctx context.Context) error {
	for n := 0; ; n++ {
		if l.open.Add(1) <= l.limit.Load() {
			return nil
		}
		l.open.Add(-1)
		if n == 0 {
			l.closeIdle()
		}
		timer := time.NewTimer(connLimitRecheck)
		select {
		case <-l.closed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// release counts a connection as closed.
func (l *connLimit) release() {
	l.open.Add(-1)
	select {
	case l.closed <- struct{}{}:
	default:
	}
}
