package sockets

import (
	"errors"
	"math"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// lingerInterval is how often the progress of a connection that is being closed is
	// checked.
	lingerInterval = 100 * time.Millisecond
	// lingerTimeout is how long a caller may receive nothing of its last response.
	lingerTimeout = 5 * time.Second
	// deliveredTimeout is how long a caller may take to close the connection after it has
	// received all of it.
	deliveredTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds what is discarded of a caller that goes on sending.
	maxLingerBytes  = 1 << 20
	lingerReadBytes = 4 << 10
)

// Close implements net.Conn. After a response that closes the connection it returns at once,
// and the connection is closed when the caller has received the response. A response that breaks
// off is ended by a reset if the end of the connection would make it look complete.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	lingers := c.wrote && !c.inHandler && !c.ended && !c.http2
	if c.inHandler && c.unframed {
		c.resetOnClose()
	}
	// A second call closes at once.
	c.ended = true
	c.began.Broadcast()
	c.mu.Unlock()
	if !lingers {
		return c.closeNow()
	}
	go c.linger()
	return nil
}

// closeNow closes the connection and releases what is reserved for it.
func (c *guardedConn) closeNow() error {
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Close(c.entry)
	c.guard.countHTTP1Closed(c)
	return err
}

// closeForRoom closes a connection that was removed from the table. One whose response is unread
// is reset: the kernel discards what the caller has not received, and a caller whose response ends
// with the connection, as over HTTP/1.0, does not take it for complete.
func (c *guardedConn) closeForRoom(reason admission.CloseReason) {
	if reason == admission.CloseUnread {
		c.resetOnClose()
	}
	_ = c.Conn.Close()
}

// resetOnClose makes the close of the connection a reset.
func (c *guardedConn) resetOnClose() {
	if x, ok := c.Conn.(lingerer); ok {
		_ = x.SetLinger(0)
	}
}

// lingerer is implemented by *net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// linger closes a connection after its last response: first for writing and, once the caller has
// received the response, altogether. Meanwhile it discards what the caller sends: requests behind
// a response that closes the connection are not answered, and the kernel would reset the
// connection because of unread bytes, and discard what the caller has not yet received.
func (c *guardedConn) linger() {
	// The error is that of a connection that has failed already.
	defer func() { _ = c.closeNow() }()
	c.guard.beginLinger(c)
	if c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, lingerReadBytes)
	progress := lingerProgress{
		since: time.Now(),
		left:  unsentBytes(c.Conn),
	}
	for discarded := 0; discarded < maxLingerBytes; {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		n, err := c.Conn.Read(buffer)
		discarded += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if progress.record(time.Now(), unsentBytes(c.Conn)) {
			c.entry.BeginWrite(c.guard.options.Clock.Now())
		}
		if progress.isOver(time.Now()) {
			return
		}
	}
}

// lingerProgress is how far the caller of a connection that is being closed has received the
// response.
type lingerProgress struct {
	// since is when the caller last received a part.
	since time.Time
	// left is the number of bytes that it has not received.
	left int
}

// record records the number of bytes that are left and reports whether there are fewer.
func (l *lingerProgress) record(now time.Time, left int) bool {
	if left >= l.left {
		return false
	}
	l.since = now
	l.left = left
	return true
}

// isOver reports whether the connection is to be closed.
func (l *lingerProgress) isOver(now time.Time) bool {
	limit := lingerTimeout
	if l.left == 0 {
		limit = deliveredTimeout
	}
	return now.Sub(l.since) >= limit
}

// unsentUnknown is the result of unsentBytes if the number is not known.
const unsentUnknown = math.MaxInt

// unsentBytes returns the number of written bytes that the other side has not acknowledged. A
// connection that was closed for writing counts as one byte more.
func unsentBytes(c net.Conn) int {
	unsent := unsentUnknown
	useDescriptor(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}
