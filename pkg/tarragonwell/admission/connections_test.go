package admission

import (
	"testing"
	"time"
)

// testBudget is a Budget with a limit, a part of parent.
type testBudget struct {
	limit    int64
	parent   *testBudget
	reserved int64
}

func (b *testBudget) Reserve(n int64) bool {
	if b.reserved+n > b.limit || (b.parent != nil && !b.parent.Reserve(n)) {
		return false
	}
	b.reserved += n
	return true
}

func (b *testBudget) Release(n int64) {
	b.reserved -= n
	if b.parent != nil {
		b.parent.Release(n)
	}
}

// fixture is a table with room for 3 connections and 4 small heads, three quarters of which
// large heads may take.
type fixture struct {
	table       *ConnectionTable
	connections *testBudget
	heads       *testBudget
	large       *testBudget
}

func newFixture() *fixture {
	f := &fixture{
		connections: &testBudget{
			limit: 300,
		},
		heads: &testBudget{
			limit: 4 * SmallHeadCost,
		},
	}
	f.large = &testBudget{
		limit:  3 * SmallHeadCost,
		parent: f.heads,
	}
	f.table = &ConnectionTable{
		MaxOpen:        3,
		ConnectionCost: 100,
		Connections:    f.connections,
		Heads:          f.heads,
		LargeHeads:     f.large,
	}
	return f
}

const testSlowAfter = 3 * time.Second

// at returns a time in seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// open opens a connection and checks which connections are closed for it.
func (f *fixture) open(t *testing.T, now time.Time, want ...CloseReason) *Connection {
	t.Helper()
	c, closed := f.table.Open(now, testSlowAfter)
	checkReasons(t, closed, want)
	return c
}

// receive receives a part of a head and checks the result.
func (f *fixture) receive(t *testing.T, c *Connection, cost int64, now time.Time, wantOK bool, want ...CloseReason) {
	t.Helper()
	closed, ok := f.table.ReceiveHead(c, cost, now, testSlowAfter)
	if ok != wantOK {
		t.Errorf("head of %d: got %v, want %v", cost, ok, wantOK)
	}
	checkReasons(t, closed, want)
}

func checkReasons(t *testing.T, closed []ClosedConnection, want []CloseReason) {
	t.Helper()
	var got []CloseReason
	for _, x := range closed {
		got = append(got, x.Reason)
	}
	if len(got) != len(want) {
		t.Errorf("closed: got %v, want %v", got, want)
		return
	}
	for n := range got {
		if got[n] != want[n] {
			t.Errorf("closed: got %v, want %v", got, want)
		}
	}
}

// TestWaitingConnectionsMakeRoom guards against callers that keep connections open without
// using them and so lock out others, and against closing one whose request is in progress.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	f := newFixture()
	busy, slow, idle := f.open(t, at(0)), f.open(t, at(0)), f.open(t, at(0))
	for _, c := range []*Connection{busy, slow, idle} {
		f.receive(t, c, 10, at(0), true)
	}
	f.table.BeginRequest(busy, at(0))
	f.table.BeginRequest(idle, at(0))
	f.table.EndRequest(idle, at(0.5))

	if c := f.open(t, at(0.55)); c != nil {
		t.Error("just after a response: got a connection, want none")
	}
	silent := f.open(t, at(1), CloseIdle)
	if c := f.open(t, at(1.5)); c != nil {
		t.Error("just after a connection was opened: got another, want none")
	}
	f.receive(t, silent, 10, at(2), true)
	f.table.BeginRequest(silent, at(2))
	if f.open(t, at(3), CloseSlowHead) == nil {
		t.Error("beside a slow head: got no connection, want one")
	}
	if f.open(t, at(4), CloseSilent) == nil {
		t.Error("beside a silent connection: got no connection, want one")
	}
	if got, want := f.table.OpenCount(), 3; got != want {
		t.Errorf("open: got %d, want %d", got, want)
	}
}

// TestLargeHeadsMakeRoomForSmallOnes guards against heads of very many lines that keep
// ordinary callers out.
func TestLargeHeadsMakeRoomForSmallOnes(t *testing.T) {
	f := newFixture()
	f.table.MaxOpen = 4
	f.connections.limit = 400
	first, second := f.open(t, at(0)), f.open(t, at(0))
	ordinary, last := f.open(t, at(0)), f.open(t, at(0))
	f.receive(t, first, 3*SmallHeadCost/2, at(0), true)
	f.receive(t, second, 3*SmallHeadCost/2, at(0), true)
	f.receive(t, first, SmallHeadCost, at(0), false)
	f.receive(t, ordinary, SmallHeadCost, at(0), true)
	f.receive(t, last, 10, at(0), true, CloseLargeHead)
	f.receive(t, second, 10, at(0), false)
	f.table.BeginRequest(first, at(0))
	f.receive(t, last, 2*SmallHeadCost, at(0), false)
	f.receive(t, last, SmallHeadCost-10, at(0), true)
	if got, want := f.heads.reserved, int64(7*SmallHeadCost/2); got != want {
		t.Errorf("reserved: got %d, want %d", got, want)
	}
}

// TestLargeHeadsInProgressLeaveRoom guards against large heads of requests in progress that take
// the memory which is kept for small heads, whether they grow or arrive at once.
func TestLargeHeadsInProgressLeaveRoom(t *testing.T) {
	for _, part := range []int64{SmallHeadCost / 4, 2 * SmallHeadCost} {
		f := newFixture()
		f.table.MaxOpen = 0
		f.connections.limit = 10_000
		for range 4 {
			c := f.open(t, at(0))
			ok := true
			for cost := int64(0); ok && cost < 2*SmallHeadCost; cost += part {
				_, ok = f.table.ReceiveHead(c, part, at(0), testSlowAfter)
			}
			if ok {
				f.table.BeginRequest(c, at(0))
			} else {
				f.table.Close(c)
			}
		}
		if got, want := f.heads.reserved, int64(2*SmallHeadCost); got != want {
			t.Errorf("parts of %d: reserved for large heads: got %d, want %d", part, got, want)
		}
		if got, want := f.large.reserved, f.heads.reserved; got != want {
			t.Errorf("parts of %d: reserved in the share of large heads: got %d, want %d", part, got, want)
		}
		f.receive(t, f.open(t, at(0)), SmallHeadCost, at(0), true)
		f.receive(t, f.open(t, at(0)), SmallHeadCost, at(0), true)
	}
}

// TestNothingStaysReserved guards against memory that stays reserved after connections have
// ended, in any state.
func TestNothingStaysReserved(t *testing.T) {
	f := newFixture()
	a, b, c := f.open(t, at(0)), f.open(t, at(0)), f.open(t, at(0))
	f.receive(t, a, 2*SmallHeadCost, at(0), true)
	f.table.BeginRequest(a, at(0))
	if !f.table.ReceiveTrailer(a, 10) {
		t.Error("trailer: got false, want true")
	}
	f.receive(t, b, 10, at(0), true)
	f.receive(t, c, SmallHeadCost, at(0), true)
	f.receive(t, c, SmallHeadCost, at(0), false)
	if got, want := f.heads.reserved, int64(3*SmallHeadCost+20); got != want {
		t.Errorf("after a head that found no room: got %d reserved, want %d", got, want)
	}
	f.table.Close(c)
	if !f.table.Resize(b, 200, at(0)) || f.table.Resize(a, 200, at(0)) {
		t.Error("resize: got other results than true and then false")
	}
	for _, x := range []*Connection{a, b, c, a} {
		f.table.EndRequest(x, at(1))
		f.table.Close(x)
		if f.table.BeginRequest(x, at(1)) {
			t.Error("request on a closed connection: got true, want false")
		}
	}
	if got := f.heads.reserved + f.connections.reserved + int64(f.table.OpenCount()); got != 0 {
		t.Errorf("reserved: got %d, want 0", got)
	}
	if got := f.large.reserved; got != 0 {
		t.Errorf("reserved in the share of large heads: got %d, want 0", got)
	}
}

// TestUnreadResponsesMakeRoom guards against callers that keep all connections by not reading
// their responses, and against closing one whose request is worked on or whose caller reads.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	f := newFixture()
	working, reading, unread := f.open(t, at(0)), f.open(t, at(0)), f.open(t, at(0))
	for _, c := range []*Connection{working, reading, unread} {
		f.receive(t, c, 10, at(0), true)
		f.table.BeginRequest(c, at(0))
	}
	working.BeginWrite(at(0))
	working.EndWrite()
	reading.BeginWrite(at(0))
	unread.BeginWrite(at(1))
	reading.EndWrite()
	reading.BeginWrite(at(2))
	if c := f.open(t, at(10.9)); c != nil {
		t.Error("before the time has passed: got a connection, want none")
	}
	next := f.open(t, at(13), CloseUnread)
	if next == nil {
		t.Fatal("beside unread responses: got no connection, want one")
	}
	if f.table.BeginRequest(unread, at(13)) {
		t.Error("the write that waited longest: got an open connection, want a closed one")
	}
	f.receive(t, next, 10, at(13), true)
	f.table.BeginRequest(next, at(13))
	reading.EndWrite()
	if c := f.open(t, at(100)); c != nil {
		t.Error("while all requests are worked on: got a connection, want none")
	}
	reading.BeginWrite(at(101))
	if c := f.open(t, at(110.9)); c != nil {
		t.Error("before the time of a later write has passed: got a connection, want none")
	}
	if f.open(t, at(111), CloseUnread) == nil {
		t.Error("beside an unread response: got no connection, want one")
	}
}
