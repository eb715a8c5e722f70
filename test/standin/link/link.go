// Package link is a stand-in for the network link of a machine.
package link

import (
	"net"
	"sync"
	"time"
)

// chunkBytes is what a connection sends before others get their turn.
const chunkBytes = 16 << 10

// Listener bounds the bandwidth of its connections, all together, in each direction.
type Listener struct {
	net.Listener
	BytesPerSecond float64

	sent     direction
	received direction
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: c,
		link: l,
	}, nil
}

// direction is one direction of a link.
type direction struct {
	mu sync.Mutex
	// free is when the bytes that were passed so far will have arrived.
	free time.Time
}

// pass returns when n more bytes have arrived.
func (d *direction) pass(n int, bytesPerSecond float64) {
	d.mu.Lock()
	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(float64(n) / bytesPerSecond * float64(time.Second)))
	end := d.free
	d.mu.Unlock()
	time.Sleep(time.Until(end))
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	link *Listener
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkBytes)])
	c.link.received.pass(n, c.link.BytesPerSecond)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+chunkBytes)]
		c.link.sent.pass(len(part), c.link.BytesPerSecond)
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
