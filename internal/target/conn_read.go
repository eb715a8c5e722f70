package target

import (
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/sockets"
)

// errReset means that the target has reset a connection on which a call was being written.
var errReset = eris.New("the target reset the connection before the call was written")

// Read implements net.Conn. It fails at the first line of a head that is malformed.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.scanHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// scanHead checks the bytes that belong to the head of a response.
func (c *trackedConn) scanHead(p []byte) error {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	return c.head.scan(p)
}

// endOfStream returns io.EOF if the stream has ended because the target has ended it, and the error
// of the connection otherwise. A response without a length would then look complete: the kernel
// reports a reset only once, and if a write has got that report, reads get the end of the stream.
func (c *trackedConn) endOfStream() error {
	early := !c.awaitWrites()
	if failure := c.writeFailure(); failure != nil {
		return failure
	}
	if early && sockets.IsReset(c.Conn) {
		return errReset
	}
	return io.EOF
}

// earlyEndWait is how long the end of a response to a call that is still being written is held back.
// It is longer than a round trip, after which a target that has closed the connection resets it.
const earlyEndWait = 50 * time.Millisecond

// awaitWrites waits for the rest of the call to be written, if its response has ended before. It
// reports whether the call has been written or a write has failed.
func (c *trackedConn) awaitWrites() bool {
	c.callMutex.Lock()
	responded, written := c.head.ended, c.written
	c.callMutex.Unlock()
	if !responded || written == nil {
		return true
	}
	timer := time.NewTimer(earlyEndWait)
	defer timer.Stop()
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// writeFailure returns the error of the write that has failed, if one has. It is called at the end
// of the stream: no response can follow, so that a write for which the target makes no room is
// ended.
func (c *trackedConn) writeFailure() error {
	if !c.writing.TryLock() {
		// The error is that of a closed connection, which has no writes in progress.
		_ = c.Conn.SetWriteDeadline(time.Now())
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}
