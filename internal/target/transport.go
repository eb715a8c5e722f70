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
	// singleSendIdleTimeout is shorter still, because a reset of a previously idle
	// connection leaves it unknown whether the target executed the call.
	singleSendIdleTimeout = 300 * time.Millisecond
	maxResponseHeaderSize = 64 << 10
	// connBufferSize is the size in bytes of the read buffer and of the write buffer of
	// a connection.
	connBufferSize = 2 << 10
)

// newTransport returns a transport for one target.
func newTransport(connections int, idle time.Duration) *http.Transport {
	dialer := sockets.NewDialer(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{
				Conn: conn,
			}, nil
		},
		MaxConnsPerHost:        max(minConnections, connections),
		MaxIdleConnsPerHost:    max(minConnections, connections),
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
		ReadBufferSize:         connBufferSize,
		WriteBufferSize:        connBufferSize,
	}
}

// transportFor returns the transport for a call. Calls that must not be repeated use
// the one that closes idle connections early.
func (t *Client) transportFor(c *tarragonwell.Call) *http.Transport {
	if c.Route.Kind.Repeatable {
		return t.transport
	}
	return t.singleSend
}

func (t *Client) closeIdleConnections() {
	t.transport.CloseIdleConnections()
	t.singleSend.CloseIdleConnections()
}
