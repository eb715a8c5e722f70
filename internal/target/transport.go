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
	// idleTimeout is below what targets usually allow, so that few connections
	// are closed under a call.
	idleTimeout = 4 * time.Second
	// singleIdleTimeout is shorter: a reset on a connection that idled leaves
	// open whether the call was run.
	singleIdleTimeout = 300 * time.Millisecond
	maxHeaderBytes    = 64 << 10
	// bufferBytes is the size of a connection's buffers, one each way.
	bufferBytes = 2 << 10
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
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// transportFor keeps what must not repeat off connections that have idled.
func (t *Client) transportFor(c *tarragonwell.Call) *http.Transport {
	if c.Route.Kind.Repeatable {
		return t.transport
	}
	return t.single
}

func (t *Client) closeIdle() {
	t.transport.CloseIdleConnections()
	t.single.CloseIdleConnections()
}
