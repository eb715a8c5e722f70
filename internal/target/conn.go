package target

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errTooLate means that a write was refused because the call's deadline has
// passed, as after the process was paused.
var errTooLate = eris.New("the deadline passed before the call was written")

// trackedConn tells whether a byte of a call could have reached the target, and
// refuses to begin writing a call after its deadline.
type trackedConn struct {
	net.Conn
	// writes counts the writes that were attempted.
	writes atomic.Uint64
	// notAfter is the deadline of the present call by the monotonic clock, in
	// nanoseconds since epoch; 0 for none.
	notAfter atomic.Int64
}

// epoch is the zero of the monotonic clock of this process.
var epoch = time.Now()

// arm sets the deadline for the writes of the next call and returns the count
// of writes so far.
func (c *trackedConn) arm(deadline time.Time) uint64 {
	c.notAfter.Store(int64(deadline.Sub(epoch)))
	return c.writes.Load()
}

// Write implements net.Conn. The check stands next to the write: what remains
// is a pause between the two, which the target's own deadline check covers.
func (c *trackedConn) Write(p []byte) (int, error) {
	limit := c.notAfter.Load()
	if limit != 0 && int64(time.Since(epoch)) > limit {
		return 0, errTooLate
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}
