package sockets

import (
	"context"
	"time"
)

// Drain closes the connections that wait for a request and the others after their requests, and
// returns when none is left but those that use HTTP/2, or when ctx is done. Every request that was
// received is handled: unlike http.Server.Shutdown, it drops none of which the head has been read.
// Connections on which nothing was received yet, and heads that have begun, are waited for until
// end at the latest. To be called once, when no more connections are accepted.
func (g *Guard) Drain(ctx context.Context, end time.Time) {
	drained := make(chan struct{})
	g.mu.Lock()
	g.drained = drained
	g.notifyDrained()
	g.drainEnd.Store(&end)
	waiting := g.table.Waiting()
	g.mu.Unlock()
	for _, x := range waiting {
		if c, ok := x.Owner.(*guardedConn); ok {
			c.mu.Lock()
			// The error is that of a connection that was closed meanwhile.
			_ = c.applyReadDeadline()
			c.mu.Unlock()
		}
	}
	select {
	case <-drained:
	case <-ctx.Done():
		g.mu.Lock()
		left := g.http1
		g.mu.Unlock()
		g.options.Log.Warn("connections-left", "reason", "the stop takes no longer", "open", left)
	}
}

// drainDeadline returns when a connection is closed by a drain; zero for not yet.
func (g *Guard) drainDeadline(c *guardedConn) time.Time {
	end := g.drainEnd.Load()
	if end == nil || c.http2 {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.DrainDeadline(c.entry, *end)
}

// keepIdle extends the time for which an idle connection stays open, and reports whether it is
// idle.
func (g *Guard) keepIdle(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.KeepIdle(c.entry, g.options.Clock.Now())
}

// countHTTP1Closed records that a connection was closed or uses HTTP/2; mu must be held.
func (g *Guard) countHTTP1Closed(c *guardedConn) {
	if !c.counted {
		return
	}
	c.counted = false
	g.http1--
	g.notifyDrained()
}

// notifyDrained ends Drain if no connection is left; mu must be held.
func (g *Guard) notifyDrained() {
	if g.drained != nil && g.http1 == 0 {
		close(g.drained)
		g.drained = nil
	}
}
