package sockets

import (
	"context"
	"errors"
	"os"
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

// applyReadDeadline sets the earlier one of readDeadline and the deadline of a drain; mu must be
// held. A read that has returned bytes is never undone by it, so that a connection is closed
// either before or after a request was received, but not by dropping the request.
func (c *guardedConn) applyReadDeadline() error {
	t := c.readDeadline
	if limit := c.guard.drainDeadline(c); !limit.IsZero() && (t.IsZero() || limit.Before(t)) {
		t = limit
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitsDelivery reports whether a read has failed because a drain closes the connection while it
// waits for a request, but has to be repeated: the caller has not yet received the last response,
// which a further request would cut off once the connection is closed.
func (c *guardedConn) awaitsDelivery(err error) bool {
	end := c.guard.drainEnd.Load()
	if end == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) || !now.Before(*end) {
		return false
	}
	if left := unsentBytes(c.Conn); left == 0 || left == unsentUnknown || !c.guard.keepIdle(c) {
		return false
	}
	return c.applyReadDeadline() == nil
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
