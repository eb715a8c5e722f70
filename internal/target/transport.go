package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/sockets"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is shorter than the idle timeouts that are common on targets, so that
	// targets rarely close a connection while a call is being sent on it.
	idleTimeout = 4 * time.Second
	// nonRepeatableIdleTimeout is shorter still, because a reset of a previously idle
	// connection leaves it unknown whether the target executed a call that can't be
	// repeated.
	nonRepeatableIdleTimeout = 300 * time.Millisecond
	maxResponseHeaderSize    = 64 << 10
	// connBufferSize is the size in bytes of the read buffer and of the write buffer of
	// a connection.
	connBufferSize = 2 << 10
)

// newTransport returns a transport for one target, whose connections count against the
// limit.
func newTransport(limit *connLimit, connections int, idle time.Duration) *http.Transport {
	dialer := sockets.NewDialer(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := limit.acquire(ctx); err != nil {
				return nil, err
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				limit.release()
				return nil, err
			}
			return &trackedConn{
				Conn:  conn,
				limit: limit,
			}, nil
		},
		MaxIdleConnsPerHost:    max(minConnections, connections),
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
		ReadBufferSize:         connBufferSize,
		WriteBufferSize:        connBufferSize,
	}
}

// transportFor returns the transport for a call.
func (cl *Client) transportFor(c *tarragonwell.Call) *http.Transport {
	switch {
	case c.OwnConnection:
		return cl.ownConnection
	case c.Route.Kind.Repeatable:
		return cl.repeatable
	default:
		return cl.nonRepeatable
	}
}

func (cl *Client) closeIdleConnections() {
	cl.repeatable.CloseIdleConnections()
	cl.nonRepeatable.CloseIdleConnections()
}
