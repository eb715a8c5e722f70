package admission

import (
	"testing"
	"time"
)

// TestDrainDeadline checks until when a drain waits for a connection: idle ones are closed soon,
// those that may be about to send their first request or are sending a head later, and none whose
// request is in progress.
func TestDrainDeadline(t *testing.T) {
	end := at(7)
	for _, x := range []struct {
		name  string
		enter func(f *fixture, c *Connection)
		want  time.Time
	}{
		{
			name:  "silent",
			enter: func(*fixture, *Connection) {},
			want:  at(1).Add(silentDrainTime),
		},
		{
			name: "head",
			enter: func(f *fixture, c *Connection) {
				f.table.ReceiveHead(c, 1, at(2), testSlowAfter)
			},
			want: end,
		},
		{
			name: "in progress",
			enter: func(f *fixture, c *Connection) {
				f.table.BeginRequest(c, at(2))
			},
		},
		{
			name: "idle",
			enter: func(f *fixture, c *Connection) {
				f.table.BeginRequest(c, at(2))
				f.table.EndRequest(c, at(3))
			},
			want: at(3).Add(idleGrace),
		},
		{
			name: "idle, kept",
			enter: func(f *fixture, c *Connection) {
				f.table.EndRequest(c, at(3))
				f.table.KeepIdle(c, at(4))
			},
			want: at(4).Add(idleGrace),
		},
		{
			name: "idle at the end",
			enter: func(f *fixture, c *Connection) {
				f.table.EndRequest(c, end)
			},
			want: end,
		},
		{
			name: "being closed",
			enter: func(f *fixture, c *Connection) {
				f.table.EndRequest(c, at(3))
				f.table.BeginLinger(c, at(4))
			},
		},
	} {
		f := newFixture()
		c := f.open(t, at(1))
		x.enter(f, c)
		if got := f.table.DrainDeadline(c, end); !got.Equal(x.want) {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}
