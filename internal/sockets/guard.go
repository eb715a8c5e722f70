package sockets

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// ConnectionCost estimates the memory of a caller's connection without its heads: a
	// goroutine, the buffers of net/http and those of the kernel's socket structures.
	ConnectionCost = 24 << 10
	// http2ConnectionCost is the same for HTTP/2, with the frame, the tables of header
	// compression and the header list that is being decoded.
	http2ConnectionCost = 512 << 10
	// logInterval is the minimum time between two log lines on rejected callers.
	logInterval = time.Second
)

// HeadLimits are the limits on one head.
type HeadLimits struct {
	// Bytes is the maximum size.
	Bytes int64
	// Timeout is the maximum time from the first byte to the last.
	Timeout time.Duration
	// SlowAfter is the time after which a head may be given up to make room for others; at
	// most Timeout.
	SlowAfter time.Duration
}

// GuardOptions configures a Guard.
type GuardOptions struct {
	// MaxConnections is the maximum number of open connections; 0 for no limit.
	MaxConnections int
	// ConnectionBytes bounds the memory of connections, HeadBytes that of heads, and
	// LargeHeadBytes, a part of HeadBytes, that of heads that are not small.
	ConnectionBytes admission.Budget
	HeadBytes       admission.Budget
	LargeHeadBytes  admission.Budget
	// Limits returns the limits on heads that begin now.
	Limits func() HeadLimits
	// ServerHeadTimeout is the http.Server's ReadHeaderTimeout. A longer HeadLimits.Timeout
	// extends it.
	ServerHeadTimeout time.Duration
	// Unavailable and TooLarge are the responses to callers whose head exceeds the memory
	// that is left, or the limits on one head. Nothing was run for them.
	Unavailable []byte
	TooLarge    []byte
	// HTTP2 is set if the server offers HTTP/2 without TLS.
	HTTP2   bool
	Clock   tarragonwell.Clock
	Log     *log.Logger
	Metrics *metrics.Set
}

// Guard bounds what the callers of an http.Server take up before and while their requests are
// handled: its connections reserve memory for the bytes and lines of a head before net/http
// reads them. The decisions are those of admission.ConnectionTable. Use NewGuard to create
// one, Listen for the listener, and Attach for the server.
type Guard struct {
	options GuardOptions

	mu    sync.Mutex
	table admission.ConnectionTable
	// lastLog is the time of the last log line, and unlogged counts the connections that were
	// closed since.
	lastLog  time.Time
	unlogged int
	// http1 is the number of open connections that do not use HTTP/2, and drained is closed
	// when there are none; nil before a drain.
	http1   int
	drained chan struct{}
	// drainEnd is when no connection waits for a request any more; nil before a drain.
	drainEnd atomic.Pointer[time.Time]

	closed          [admission.CloseReasons]*metrics.Counter
	refusedOpen     *metrics.Counter
	refusedMemory   *metrics.Counter
	refusedTooLarge *metrics.Counter
}

// NewGuard returns a guard with the given options.
func NewGuard(o GuardOptions) *Guard {
	g := &Guard{
		options: o,
		table: admission.ConnectionTable{
			MaxOpen:        o.MaxConnections,
			ConnectionCost: ConnectionCost,
			Connections:    o.ConnectionBytes,
			Heads:          o.HeadBytes,
			LargeHeads:     o.LargeHeadBytes,
		},
		refusedOpen:     o.Metrics.GetOrCreateCounter(`tarragonwell_connections_refused_total`),
		refusedMemory:   o.Metrics.GetOrCreateCounter(`tarragonwell_heads_refused_total{reason="memory"}`),
		refusedTooLarge: o.Metrics.GetOrCreateCounter(`tarragonwell_heads_refused_total{reason="size"}`),
	}
	for r := range admission.CloseReasons {
		g.closed[r] = o.Metrics.GetOrCreateCounter(`tarragonwell_connections_closed_total{reason="` + r.String() + `"}`)
	}
	o.Metrics.GetOrCreateGauge(`tarragonwell_connections`, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.OpenCount())
	})
	o.Metrics.GetOrCreateGauge(`tarragonwell_connections_limit`, func() float64 { return float64(o.MaxConnections) })
	return g
}

// connKey is the key of a request context's *guardedConn.
type connKey struct{}

// Attach sets the hooks of a server that serves connections of Listen, and wraps its handler.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*guardedConn); ok {
			x.setState(state)
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*guardedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.beginRequest(r)
		next.ServeHTTP(w, r)
		c.endHandler()
	})
}

// Listen returns a listener whose connections are those of l, within the limits.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return &guardedListener{
		Listener: l,
		guard:    g,
	}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := l.guard.open(c); x != nil {
			return x, nil
		}
	}
}

// open admits a connection, or closes it and returns nil.
func (g *Guard) open(c net.Conn) *guardedConn {
	now := g.options.Clock.Now()
	slowAfter := g.options.Limits().SlowAfter
	x := &guardedConn{
		Conn:  c,
		guard: g,
	}
	x.began.L = &x.mu
	g.mu.Lock()
	entry, closed := g.table.Open(now, slowAfter)
	if entry != nil {
		entry.Owner = x
		x.entry = entry
		x.counted = true
		g.http1++
	}
	g.mu.Unlock()
	g.closeAll(closed)
	if entry != nil {
		return x
	}
	g.refusedOpen.Inc()
	g.logClosed(1, now)
	// The buffer of a new connection has room for the response; nothing is awaited here, as
	// other connections are.
	_ = c.SetWriteDeadline(now.Add(respondTimeout))
	_, _ = c.Write(g.options.Unavailable)
	_ = c.Close()
	return nil
}

// receiveHead reserves memory for a further part of a connection's head.
func (g *Guard) receiveHead(c *guardedConn, cost int64) bool {
	slowAfter := g.options.Limits().SlowAfter
	g.mu.Lock()
	closed, ok := g.table.ReceiveHead(c.entry, cost, g.options.Clock.Now(), slowAfter)
	g.mu.Unlock()
	g.closeAll(closed)
	return ok
}

// receiveTrailer reserves memory for a part of the trailer of a connection's request.
func (g *Guard) receiveTrailer(c *guardedConn, cost int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.ReceiveTrailer(c.entry, cost)
}

// beginLinger records that a connection is closed once its caller has received the response.
func (g *Guard) beginLinger(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.BeginLinger(c.entry, g.options.Clock.Now())
}

// closeAll closes connections that were removed from the table.
func (g *Guard) closeAll(closed []admission.ClosedConnection) {
	for _, x := range closed {
		g.closed[x.Reason].Inc()
		if c, ok := x.Connection.Owner.(*guardedConn); ok {
			c.closeForRoom(x.Reason)
		}
	}
	if len(closed) > 0 {
		g.logClosed(len(closed), g.options.Clock.Now())
	}
}

// logClosed logs that connections were closed, at most once within logInterval.
func (g *Guard) logClosed(n int, now time.Time) {
	g.mu.Lock()
	g.unlogged += n
	count := g.unlogged
	due := now.Sub(g.lastLog) >= logInterval
	if due {
		g.lastLog = now
		g.unlogged = 0
	}
	open := g.table.OpenCount()
	g.mu.Unlock()
	if due {
		g.options.Log.Warn("connections-closed", "reason", "limits of connections and heads", "closed", count, "open", open, "limit", g.options.MaxConnections)
	}
}
