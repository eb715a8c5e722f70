package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// statusPrefix begins every response to a request of HTTP/1.1, and statusPrefix10 to one of
// HTTP/1.0.
const (
	statusPrefix   = "HTTP/1.1 "
	statusPrefix10 = "HTTP/1.0 "
)

// errCallerLeft is the error of a connection that the caller has closed.
var errCallerLeft = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: unix.ECONNRESET,
}

// receivedRequest reports whether the current request was received whole.
func (c *guardedConn) receivedRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headEnded && !c.http2 && c.body.ended()
}

// readWhileHandling takes the place of a read of a single byte, with which net/http watches the
// caller while it handles a request whose body it has received. net/http would take a byte for the
// next request and watch no further, so that a close behind waiting requests would go unseen. This
// read returns none: received bytes stay pending until the request has been handled. It ends when
// net/http stops it, or with an error when the caller has left.
func (c *guardedConn) readWhileHandling() error {
	waiting, err := c.awaitHandler()
	if err != nil {
		return err
	}
	if waiting {
		return c.awaitClose(false)
	}
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	if n == 0 && errors.Is(err, io.EOF) {
		return c.awaitClose(true)
	}
	if n == 0 {
		return err
	}
	c.mu.Lock()
	c.pending = append(c.pending, b[:n]...)
	c.mu.Unlock()
	return c.awaitClose(false)
}

// awaitHandler waits until the handling of the request has begun, or the read is stopped, and
// reports whether bytes wait behind the request.
func (c *guardedConn) awaitHandler() (waiting bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.handling {
		switch {
		case c.ended:
			return false, net.ErrClosed
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return false, os.ErrDeadlineExceeded
		}
		c.began.Wait()
	}
	return len(c.pending) > 0, nil
}

// awaitClose waits until the caller has closed the connection, or the read is stopped. ended is set
// if the caller is known to send nothing more and no requests wait.
//
// The end of what a caller sends does not tell a close from a caller that only sends nothing more
// and waits for its responses. The beginning of the response does, which is the same for all: the
// kernel of a caller that has closed answers with a reset. If the response has begun, the rest of
// it does the same.
func (c *guardedConn) awaitClose(ended bool) error {
	x, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return err
	}
	result := error(errCallerLeft)
	probed := false
	err = raw.Read(func(fd uintptr) (done bool) {
		events, pollErr := closeEvents(fd)
		switch {
		case pollErr != nil:
			result = pollErr
			return true
		case events&(unix.POLLERR|unix.POLLHUP) != 0:
			return true
		case !ended && events&unix.POLLRDHUP == 0:
			return false
		}
		probed = probed || c.beginResponse()
		if probed || !ended {
			return false
		}
		result = io.EOF
		return true
	})
	if err != nil {
		return err
	}
	return result
}

// closeEvents returns which of POLLRDHUP, POLLHUP and POLLERR hold for a socket, without waiting.
func closeEvents(fd uintptr) (int16, error) {
	fds := []unix.PollFd{
		{
			Fd:     int32(fd),
			Events: unix.POLLRDHUP,
		},
	}
	for {
		_, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}

// beginResponse sends the beginning of the response to the current request, unless it has begun or
// an earlier one is still on its way. It returns false if the response has begun, so that nothing
// more is sent for now.
func (c *guardedConn) beginResponse() bool {
	if !c.writing.TryLock() {
		return false
	}
	defer c.writing.Unlock()
	c.mu.Lock()
	begun, prefix := c.responseBegun, statusPrefix
	if c.unframed {
		prefix = statusPrefix10
	}
	c.mu.Unlock()
	if begun {
		return false
	}
	if c.sentPrefix != "" || unsentBytes(c.Conn) > 0 {
		return true
	}
	c.sentPrefix = prefix
	// The error shows as POLLERR or POLLHUP.
	_, _ = c.Conn.Write([]byte(prefix))
	return true
}

// withoutPrefix returns the bytes of a response without those that beginResponse has sent; writing
// must be held. It fails if they do not belong to it.
func (c *guardedConn) withoutPrefix(p []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(p, []byte(c.sentPrefix))
	if !ok {
		return nil, errBegun
	}
	c.sentPrefix = ""
	return rest, nil
}
