package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// countedConn counts the bytes of the traffic between instances.
type countedConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

// CountConn counts the bytes of a connection in the metrics of peer traffic.
func CountConn(c net.Conn, s *metrics.Set) net.Conn {
	return &countedConn{
		Conn: c,
		in:   s.GetOrCreateCounter(`tarragonwell_peer_bytes_total{direction="in"}`),
		out:  s.GetOrCreateCounter(`tarragonwell_peer_bytes_total{direction="out"}`),
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	metrics *metrics.Set
}

// CountListener counts the bytes of all connections that a listener accepts.
func CountListener(l net.Listener, s *metrics.Set) net.Listener {
	return &countedListener{
		Listener: l,
		metrics:  s,
	}
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(c, l.metrics), nil
}
