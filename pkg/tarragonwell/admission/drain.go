package admission

import (
	"container/list"
	"time"
)

// silentDrainTime is how long a connection that has sent nothing stays open in a drain after it
// was opened: its caller may be about to send its first request.
const silentDrainTime = 5 * time.Second

// BeginLinger records that the connection is being closed and its caller is still receiving the
// last response: it counts as one whose write waits for the caller.
func (t *ConnectionTable) BeginLinger(c *Connection, now time.Time) {
	if c.state == stateClosed {
		return
	}
	t.releaseHead(c)
	t.enter(c, stateBusy, now)
	c.BeginWrite(now)
}

// Waiting returns the connections that wait for a request or for the rest of a head.
func (t *ConnectionTable) Waiting() []*Connection {
	var out []*Connection
	for _, l := range []*list.List{&t.silent, &t.idle, &t.reading} {
		for e := l.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*Connection))
		}
	}
	return out
}

// DrainDeadline returns when a connection is to be closed in a drain that waits for requests until
// end at the latest: soon if it is idle, later if it has sent nothing yet or is sending a head.
// It returns zero for one whose request is in progress.
func (t *ConnectionTable) DrainDeadline(c *Connection, end time.Time) time.Time {
	deadline := end
	switch c.state {
	case stateSilent:
		deadline = c.since.Add(silentDrainTime)
	case stateIdle:
		deadline = c.since.Add(idleGrace)
	case stateReading:
	default:
		return time.Time{}
	}
	if deadline.After(end) {
		return end
	}
	return deadline
}

// KeepIdle records that an idle connection is still in use, and reports whether it is idle.
func (t *ConnectionTable) KeepIdle(c *Connection, now time.Time) bool {
	if c.state != stateIdle {
		return false
	}
	t.enter(c, stateIdle, now)
	return true
}
