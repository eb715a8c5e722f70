package admission

import (
	"container/heap"
	"time"
)

// closeWaiting closes a connection to make room for a new one: one that was silent for a
// while, the one that is idle for longest, one whose head is slow, or the one whose write waits
// for longest.
func (t *ConnectionTable) closeWaiting(now time.Time, slowAfter time.Duration) (ClosedConnection, bool) {
	if c := first(&t.silent); c != nil && now.Sub(c.since) >= silentGrace {
		return t.makeRoom(c, CloseSilent), true
	}
	if c := first(&t.idle); c != nil && now.Sub(c.since) >= idleGrace {
		return t.makeRoom(c, CloseIdle), true
	}
	if x, ok := t.closeSlowHead(nil, now, slowAfter); ok {
		return x, true
	}
	return t.closeUnread(now)
}

// closeUnread closes the connection whose write to the caller waits for longest, if that is
// UnreadGrace or more. Writes do not change the order of busy, as they are frequent: a connection
// is put in its place when it is the first and its time has passed, at most once within
// UnreadGrace.
func (t *ConnectionTable) closeUnread(now time.Time) (ClosedConnection, bool) {
	for len(t.busy) > 0 {
		c := t.busy[0]
		if now.Sub(c.notBefore) < UnreadGrace {
			break
		}
		begin := now
		if n := c.writeBegin.Load(); n != 0 {
			begin = c.opened.Add(time.Duration(n))
		}
		if !begin.After(c.notBefore) {
			return t.makeRoom(c, CloseUnread), true
		}
		c.notBefore = begin
		heap.Fix(&t.busy, 0)
	}
	return ClosedConnection{}, false
}

// closeReading closes a connection whose head is being received, to make room for a further
// part of that of c. A large head makes no room for a large one.
func (t *ConnectionTable) closeReading(c *Connection, cost int64, now time.Time, slowAfter time.Duration) (ClosedConnection, bool) {
	if c.headCost+cost <= SmallHeadCost {
		if e := t.large.Back(); e != nil {
			return t.makeRoom(e.Value.(*Connection), CloseLargeHead), true
		}
	}
	return t.closeSlowHead(c, now, slowAfter)
}

// closeSlowHead closes the connection whose head was begun first, if it is slow and not that
// of c.
func (t *ConnectionTable) closeSlowHead(c *Connection, now time.Time, slowAfter time.Duration) (ClosedConnection, bool) {
	x := first(&t.reading)
	if x == nil || x == c || now.Sub(x.since) < slowAfter {
		return ClosedConnection{}, false
	}
	return t.makeRoom(x, CloseSlowHead), true
}

func (t *ConnectionTable) makeRoom(c *Connection, reason CloseReason) ClosedConnection {
	t.Close(c)
	return ClosedConnection{
		Connection: c,
		Reason:     reason,
	}
}
