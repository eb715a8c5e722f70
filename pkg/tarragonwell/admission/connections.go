package admission

import (
	"container/heap"
	"container/list"
	"sync/atomic"
	"time"
)

const (
	// headByteCost and headLineCost estimate the memory that a head takes from its first
	// byte to the end of its request: a parsed line has a name, a value, their headers and a
	// place in a map, and a part of them again in the request to a target.
	headByteCost = 2
	headLineCost = 384
	// SmallHeadCost is the cost up to which a head counts as small: that of 4 KiB in 60
	// lines. The whole cost of a larger one is reserved in ConnectionTable.LargeHeads.
	SmallHeadCost = 32 << 10
	// silentGrace is how long a new connection may send nothing before it is closed to make
	// room.
	silentGrace = time.Second
	// idleGrace is the same for a connection after a response, so that the caller has read
	// the response: closing resets the connection if further bytes have arrived.
	idleGrace = 100 * time.Millisecond
	// UnreadGrace is how long one write of a response may wait for the caller to read before
	// the connection is closed to make room.
	UnreadGrace = 10 * time.Second
)

// HeadCost estimates the memory in bytes that a request head takes while its request is in
// progress.
func HeadCost(bytes, lines int64) int64 {
	return bytes*headByteCost + lines*headLineCost
}

// Budget bounds memory. Its methods may be called concurrently.
type Budget interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// CloseReason is why a connection is closed to make room.
type CloseReason int

// Reasons.
const (
	// CloseSilent is for connections that have sent nothing since they were opened.
	CloseSilent CloseReason = iota
	// CloseIdle is for connections that wait for their next request.
	CloseIdle
	// CloseSlowHead is for heads that take longer than callers are allowed.
	CloseSlowHead
	// CloseLargeHead is for heads that are not small.
	CloseLargeHead
	// CloseUnread is for connections whose caller does not read the response.
	CloseUnread
	// CloseReasons is the number of reasons.
	CloseReasons
)

var closeReasonNames = [CloseReasons]string{
	CloseSilent:    "silent",
	CloseIdle:      "idle",
	CloseSlowHead:  "slow-head",
	CloseLargeHead: "large-head",
	CloseUnread:    "unread",
}

// String returns the name of the reason in metrics.
func (r CloseReason) String() string {
	return closeReasonNames[r]
}

// ClosedConnection is a connection that is closed to make room for others.
type ClosedConnection struct {
	Connection *Connection
	Reason     CloseReason
}

// connectionState is what a connection does. A connection whose request is in progress is
// closed to make room only if a write of its response waits for the caller.
type connectionState int

const (
	// stateSilent: nothing was received since the connection was opened.
	stateSilent connectionState = iota
	// stateIdle: a request has ended and the next has not begun.
	stateIdle
	// stateReading: a head is being received.
	stateReading
	// stateBusy: a request is in progress.
	stateBusy
	// stateClosed: the connection was closed and nothing is reserved for it.
	stateClosed
)

// Connection is a caller's connection in a ConnectionTable.
type Connection struct {
	// Owner is the connection's socket. The table does not use it.
	Owner any
	state connectionState
	// since is when the state began.
	since time.Time
	// place is the element of the list of the state; nil while a request is in progress.
	place *list.Element
	// largePlace is the element of the list of large heads; nil if the head that is being
	// received is small.
	largePlace *list.Element
	// headCost is reserved for the heads that are being received or whose requests are in
	// progress.
	headCost int64
	// connectionCost is reserved in ConnectionTable.Connections.
	connectionCost int64

	// opened is when the connection was opened.
	opened time.Time
	// writeBegin is when the write in progress began, in nanoseconds after opened; 0 if there
	// is none.
	writeBegin atomic.Int64
	// notBefore is a time before which no write in progress has begun, the order of
	// ConnectionTable.busy. busyIndex is the place there.
	notBefore time.Time
	busyIndex int
}

// BeginWrite records that a write to the caller begins. Unlike the methods of the table, it may
// be called concurrently with all others. Of concurrent writes, the last counts.
func (c *Connection) BeginWrite(now time.Time) {
	c.writeBegin.Store(max(1, int64(now.Sub(c.opened))))
}

// EndWrite records that a write has returned. It may be called as BeginWrite.
func (c *Connection) EndWrite() {
	c.writeBegin.Store(0)
}

// ConnectionTable decides which connections of callers are accepted, which heads are
// received and which connections are closed to make room. It responds to crowds of callers
// that open more connections than there are descriptors, that send heads of very many lines,
// or that send heads slowly or never, beside ordinary callers. It is not safe for concurrent
// use.
type ConnectionTable struct {
	// MaxOpen is the maximum number of connections; 0 for no limit.
	MaxOpen int
	// ConnectionCost is the estimated memory of a connection without its heads.
	ConnectionCost int64
	// Connections bounds the memory of connections without their heads.
	Connections Budget
	// Heads bounds the memory of heads, and LargeHeads that of heads above SmallHeadCost.
	// LargeHeads is a part of Heads that leaves room for the heads of ordinary callers.
	Heads      Budget
	LargeHeads Budget

	open int
	// silent, idle and reading hold the connections of these states, the longest first;
	// large those whose head is large and is still being received, the newest last.
	silent  list.List
	idle    list.List
	reading list.List
	large   list.List
	// busy holds the connections whose request is in progress.
	busy busyHeap
}

// Open adds a connection. It returns nil if there is no room for it. The connections in
// closed are to be closed. slowAfter is the time after which a head counts as slow.
func (t *ConnectionTable) Open(now time.Time, slowAfter time.Duration) (c *Connection, closed []ClosedConnection) {
	for t.full() || !t.Connections.Reserve(t.ConnectionCost) {
		x, ok := t.closeWaiting(now, slowAfter)
		if !ok {
			return nil, closed
		}
		closed = append(closed, x)
	}
	t.open++
	c = &Connection{
		connectionCost: t.ConnectionCost,
		opened:         now,
	}
	t.enter(c, stateSilent, now)
	return c, closed
}

func (t *ConnectionTable) full() bool {
	return t.MaxOpen > 0 && t.open >= t.MaxOpen
}

// OpenCount returns the number of connections.
func (t *ConnectionTable) OpenCount() int {
	return t.open
}

// ReceiveHead reserves memory for a further part of a connection's head. If it returns false
// the connection must be closed. Large heads give way to small ones, the newest first, and
// slow heads to others.
func (t *ConnectionTable) ReceiveHead(c *Connection, cost int64, now time.Time, slowAfter time.Duration) (closed []ClosedConnection, ok bool) {
	if c.state == stateClosed {
		return nil, false
	}
	if c.state != stateReading {
		t.enter(c, stateReading, now)
	}
	for !t.reserveHead(c, cost) {
		x, ok := t.closeReading(c, cost, now, slowAfter)
		if !ok {
			return closed, false
		}
		closed = append(closed, x)
	}
	if c.headCost > SmallHeadCost && c.largePlace == nil {
		c.largePlace = t.large.PushBack(c)
	}
	return closed, true
}

// reserveHead reserves a further cost of a head: in Heads while the head is small, and in
// LargeHeads once it is not. A head that becomes large is moved there as a whole: it is reserved
// there first, so that no other head takes its place meanwhile if that fails.
func (t *ConnectionTable) reserveHead(c *Connection, cost int64) bool {
	after := c.headCost + cost
	switch {
	case after <= SmallHeadCost:
		if !t.Heads.Reserve(cost) {
			return false
		}
	case c.headCost > SmallHeadCost:
		if !t.LargeHeads.Reserve(cost) {
			return false
		}
	default:
		if !t.LargeHeads.Reserve(after) {
			return false
		}
		t.Heads.Release(c.headCost)
	}
	c.headCost = after
	return true
}

// BeginRequest records that a head was received whole and its request begins. What is
// reserved for it stays reserved until EndRequest or Close. It returns false if the connection
// was closed meanwhile; the request must not be handled then.
func (t *ConnectionTable) BeginRequest(c *Connection, now time.Time) bool {
	if c.state == stateClosed {
		return false
	}
	t.enter(c, stateBusy, now)
	return true
}

// ReceiveTrailer reserves memory for a part of the trailer of a request in progress. If it
// returns false the request must fail.
func (t *ConnectionTable) ReceiveTrailer(c *Connection, cost int64) bool {
	return c.state != stateClosed && t.reserveHead(c, cost)
}

// EndRequest records that the response of a request was written whole.
func (t *ConnectionTable) EndRequest(c *Connection, now time.Time) {
	if c.state == stateClosed {
		return
	}
	t.releaseHead(c)
	t.enter(c, stateIdle, now)
}

// Resize changes the memory that is reserved for a connection without its heads, and reports
// whether there was room. The connection counts as idle until BeginRequest.
func (t *ConnectionTable) Resize(c *Connection, cost int64, now time.Time) bool {
	if c.state == stateClosed || !t.Connections.Reserve(cost-c.connectionCost) {
		return false
	}
	c.connectionCost = cost
	t.EndRequest(c, now)
	return true
}

// Close removes a connection and releases what is reserved for it. Further calls have no
// effect.
func (t *ConnectionTable) Close(c *Connection) {
	if c.state == stateClosed {
		return
	}
	t.leave(c)
	c.state = stateClosed
	t.releaseHead(c)
	t.Connections.Release(c.connectionCost)
	t.open--
}

func (t *ConnectionTable) releaseHead(c *Connection) {
	budget := t.Heads
	if c.headCost > SmallHeadCost {
		budget = t.LargeHeads
	}
	budget.Release(c.headCost)
	c.headCost = 0
}

// first returns the first connection of a list, or nil.
func first(l *list.List) *Connection {
	if e := l.Front(); e != nil {
		return e.Value.(*Connection)
	}
	return nil
}

// enter moves a connection to a state.
func (t *ConnectionTable) enter(c *Connection, s connectionState, now time.Time) {
	t.leave(c)
	c.state = s
	c.since = now
	if l := t.stateList(s); l != nil {
		c.place = l.PushBack(c)
	}
	if s == stateBusy {
		c.notBefore = now
		heap.Push(&t.busy, c)
	}
}

// leave removes a connection from the lists.
func (t *ConnectionTable) leave(c *Connection) {
	if c.state == stateBusy {
		heap.Remove(&t.busy, c.busyIndex)
	}
	if c.place != nil {
		t.stateList(c.state).Remove(c.place)
		c.place = nil
	}
	if c.largePlace != nil {
		t.large.Remove(c.largePlace)
		c.largePlace = nil
	}
}

// stateList returns the list of the connections in a state, or nil if there is none.
func (t *ConnectionTable) stateList(s connectionState) *list.List {
	switch s {
	case stateSilent:
		return &t.silent
	case stateIdle:
		return &t.idle
	case stateReading:
		return &t.reading
	default:
		return nil
	}
}

// busyHeap is a heap of connections by notBefore.
type busyHeap []*Connection

// Len implements heap.Interface.
func (h busyHeap) Len() int {
	return len(h)
}

// Less implements heap.Interface.
func (h busyHeap) Less(i, j int) bool {
	return h[i].notBefore.Before(h[j].notBefore)
}

// Swap implements heap.Interface.
func (h busyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].busyIndex = i
	h[j].busyIndex = j
}

// Push implements heap.Interface.
func (h *busyHeap) Push(x any) {
	c := x.(*Connection)
	c.busyIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *busyHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
