// Package link is a stand-in for the network link of a machine.
package link

import (
	"net"
	"sync"
	"time"
)

// chunkBytes is what a connection sends before others get their turn.
const chunkBytes = 16 << 10

// Listener bounds the bandwidth of what its connections send, all together.
type Listener struct {
	net.Listener
	BytesPerSecond float64

	mu sync.Mutex
	// free is when the bytes that were sent so far will have passed.
	free time.Time
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

// pass returns when n more bytes have passed the link.
func (l *Listener) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.BytesPerSecond * float64(time.Second)))
	end := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	link *Listener
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+chunkBytes)]
		c.link.pass(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
