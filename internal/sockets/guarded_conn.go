package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// respondTimeout bounds the write of a response to a head that is not received, and the
	// time for which bytes that have arrived are discarded afterwards. The kernel would
	// otherwise reset the connection before the caller has read the response.
	respondTimeout  = 50 * time.Millisecond
	maxDiscardBytes = 64 << 10
	// maxWriteBytes bounds one write to the socket, so that a long response to a caller that
	// reads slowly is many writes, each of which shows that the caller reads.
	maxWriteBytes = 64 << 10
)

// errRefused is the error of a body whose trailer exceeds the memory that is left.
var errRefused = eris.New("the trailer exceeds the memory that is left")

// errBegun is the error of a response that does not go on as it was begun.
var errBegun = eris.New("the response has begun otherwise")

// errClosed is the error of a head that was received whole just as its connection was closed.
var errClosed = eris.New("the connection was closed to make room")

// refusal is the error of a head that exceeds the limits.
type refusal struct {
	// response is written to the caller.
	response []byte
}

// Error implements error.
func (*refusal) Error() string {
	return "the head exceeds the limits"
}

// guardedConn is a connection of a Guard. Read returns no byte of a head before memory is
// reserved for it, and none beyond the end of a head or a body with it, so that the next head
// is counted from its first byte.
type guardedConn struct {
	net.Conn
	guard *Guard
	// entry is the connection's place in the table, which is guarded by guard.mu.
	entry *admission.Connection
	// counted is set while the connection counts in guard.http1, and guarded as that.
	counted bool

	// writing is held during writes, and guards sentPrefix.
	writing sync.Mutex
	// sentPrefix is the beginning of the current response that beginResponse has sent, until
	// net/http writes the response; otherwise empty.
	sentPrefix string

	// mu guards the fields below, but is not held while Read waits for the socket: net/http
	// reads a single byte while a request without a body is handled.
	mu sync.Mutex
	// pending holds bytes that were received and not yet returned.
	pending []byte
	head    headScanner
	body    bodyScanner
	// maxHeadBytes is the limit on the current head.
	maxHeadBytes int64
	// unreserved is the cost of bytes that were returned and not yet reserved.
	unreserved int64
	http2      bool
	// headEnded is set from the end of a request's head until its response was written whole.
	headEnded bool
	// handling is set while a request is handled.
	handling bool
	// began is signalled when the handling of a request has begun, or the read that watches the
	// caller meanwhile is to end.
	began sync.Cond
	// inHandler is set from the start of a request's handler until it returns; it stays set
	// if the handler panics, which breaks the response off.
	inHandler bool
	// unframed is set if the end of the connection may end the response to the current request,
	// as over HTTP/1.0.
	unframed bool
	// responseBegun is set once net/http has written a part of the response to the current
	// request, or an interim one.
	responseBegun bool
	// wrote is set once a part of a response was written after the connection was last idle.
	wrote bool
	// readDeadline is the deadline for reads without that of a drain; zero for none.
	readDeadline time.Time
	// ended is set when the caller sends nothing more: it has closed the connection for
	// writing, has announced that it closes it, or the connection has failed.
	ended bool
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.receivedRequest() {
		err := c.readWhileHandling()
		c.recordError(err)
		return 0, err
	}
	n, err := c.receive(p)
	for n == 0 && c.awaitsDelivery(err) {
		n, err = c.receive(p)
	}
	if n == 0 {
		c.recordError(err)
		return n, err
	}
	c.mu.Lock()
	k, admitErr := c.admit(p[:n], len(p) == 1)
	if k < n {
		c.pending = append(bytes.Clone(p[k:n]), c.pending...)
		err = nil
	}
	if c.guard.drainEnd.Load() != nil {
		// What was received may have begun a request.
		_ = c.applyReadDeadline()
	}
	c.mu.Unlock()
	if admitErr != nil {
		return 0, c.refuse(admitErr)
	}
	return k, err
}

// Write implements net.Conn. It records the writes that wait for the caller.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	defer c.entry.EndWrite()
	rest, err := c.withoutPrefix(p)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.responseBegun = true
	c.mu.Unlock()
	written, err := c.writeParts(rest)
	return len(p) - len(rest) + written, err
}

// writeParts writes in parts of maxWriteBytes.
func (c *guardedConn) writeParts(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+maxWriteBytes)]
		c.entry.BeginWrite(c.guard.options.Clock.Now())
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			c.recordError(err)
			return written, err
		}
		if written == len(p) {
			c.mu.Lock()
			c.wrote = true
			c.mu.Unlock()
			return written, nil
		}
	}
}

// recordError records an error of the socket. A deadline that has passed is none.
func (c *guardedConn) recordError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
}

// receive returns pending bytes or, if there are none, bytes of the socket.
func (c *guardedConn) receive(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// admit returns how many of the bytes belong to the current head or body. It fails if they
// are refused, with a *refusal if the caller is to get a response. A single byte that does
// not end a head is never refused, as net/http may read it while it writes the response of
// the request before; its cost is reserved with the next bytes.
func (c *guardedConn) admit(p []byte, single bool) (n int, err error) {
	if c.http2 {
		return len(p), nil
	}
	if !c.body.ended() {
		return c.admitBody(p)
	}
	if c.head.bytes == 0 {
		c.maxHeadBytes = c.guard.options.Limits().Bytes
	}
	lines := c.head.lines
	n, ended := c.head.scan(p)
	c.unreserved += admission.HeadCost(int64(n), c.head.lines-lines)
	if single && !ended {
		return n, nil
	}
	if c.head.bytes > c.maxHeadBytes {
		c.guard.refusedTooLarge.Inc()
		return n, &refusal{
			response: c.guard.options.TooLarge,
		}
	}
	if !c.guard.receiveHead(c, c.unreserved) {
		return n, c.outOfMemory()
	}
	c.unreserved = 0
	if !ended {
		return n, nil
	}
	return n, c.endHead()
}

// admitBody is admit for a request's body. Its memory is reserved elsewhere, except that of a
// trailer, which net/http adds to the header.
func (c *guardedConn) admitBody(p []byte) (n int, err error) {
	before := c.body.trailer
	n = c.body.scan(p)
	cost := admission.HeadCost(c.body.trailer.bytes-before.bytes, c.body.trailer.lines-before.lines)
	if cost <= 0 || c.guard.receiveTrailer(c, cost) {
		return n, nil
	}
	c.guard.refusedMemory.Inc()
	return 0, errRefused
}

// endHead begins the request whose head has ended. It fails if the connection was closed to
// make room, or if there is no room for one that uses HTTP/2.
func (c *guardedConn) endHead() error {
	isHTTP2 := c.head.isHTTP2() && c.guard.options.HTTP2
	c.head = headScanner{}
	c.headEnded = true
	c.responseBegun = false
	now := c.guard.options.Clock.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !isHTTP2 {
		if !c.guard.table.BeginRequest(c.entry, now) {
			return errClosed
		}
		return nil
	}
	c.http2 = true
	c.guard.countHTTP1Closed(c)
	if !c.guard.table.Resize(c.entry, http2ConnectionCost, now) {
		return c.outOfMemory()
	}
	return nil
}

// outOfMemory returns the error for a head that does not fit into the memory that is left.
func (c *guardedConn) outOfMemory() *refusal {
	c.guard.refusedMemory.Inc()
	return &refusal{
		response: c.guard.options.Unavailable,
	}
}

// beginRequest is called before a request is handled. What is received next over HTTP/1 is its
// body.
func (c *guardedConn) beginRequest(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
	defer c.began.Broadcast()
	if c.http2 {
		return
	}
	c.inHandler = true
	c.unframed = !r.ProtoAtLeast(1, 1)
	c.ended = c.ended || r.Close
	if r.ContentLength != 0 {
		c.body = newBodyScanner(r.ContentLength)
	}
}

// endHandler is called when the handler of a request has returned.
func (c *guardedConn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHandler = false
}

// setState is called when the state of the connection in net/http changes: it is idle when a
// response was written whole or, over HTTP/2, when no stream is open.
func (c *guardedConn) setState(s http.ConnState) {
	c.mu.Lock()
	isHTTP2 := c.http2
	if s == http.StateIdle {
		c.headEnded = false
		c.handling = false
		c.wrote = false
	}
	c.mu.Unlock()
	now := c.guard.options.Clock.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	switch {
	case s == http.StateIdle:
		c.guard.table.EndRequest(c.entry, now)
	case s == http.StateActive && isHTTP2:
		// If the connection was closed meanwhile, net/http ends its streams.
		_ = c.guard.table.BeginRequest(c.entry, now)
	}
}

// refuse ends a connection because of an error of admit. For a head, it writes the response and
// closes the connection; for a body, the request's handler responds. It returns an error for
// which net/http writes no response of its own.
func (c *guardedConn) refuse(err error) error {
	c.guard.logClosed(1, c.guard.options.Clock.Now())
	var head *refusal
	if errors.As(err, &head) {
		respond(c.Conn, head.response)
		_ = c.Close()
	}
	return &net.OpError{
		Op:     "read",
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    err,
	}
}

// respond writes a response to a connection that is about to be closed. Its errors are those
// of a caller that has left.
func respond(c net.Conn, response []byte) {
	end := time.Now().Add(respondTimeout)
	_ = c.SetDeadline(end)
	if _, err := c.Write(response); err != nil {
		return
	}
	if x, ok := c.(writeCloser); ok {
		_ = x.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscardBytes)
}

// writeCloser is implemented by *net.TCPConn.
type writeCloser interface {
	CloseWrite() error
}

// SetReadDeadline implements net.Conn. It extends the deadline that net/http sets for a head
// if the limit on heads is longer. Those that are set while a request is handled are for its
// body.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	forHead := !c.handling && !c.http2
	if extra := c.guard.options.Limits().Timeout - c.guard.options.ServerHeadTimeout; forHead && extra > 0 && time.Until(t) > 0 {
		t = t.Add(extra)
	}
	c.readDeadline = t
	c.began.Broadcast()
	return c.applyReadDeadline()
}

// CloseWrite closes the connection for writing. net/http calls it before it closes a
// connection whose caller may still send.
func (c *guardedConn) CloseWrite() error {
	if x, ok := c.Conn.(writeCloser); ok {
		return x.CloseWrite()
	}
	return nil
}
