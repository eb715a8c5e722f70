package target

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// errDeadlinePassed means that a write was rejected because the call's deadline, or that
// for its first write, has passed, for example because the process was paused.
var errDeadlinePassed = eris.New("the deadline passed before the call was written")

// trackedConn is a connection that counts writes, which shows whether a byte of a call
// can have reached the target, and rejects writes after the call's deadline. Its stream ends
// with io.EOF only if the target has ended it.
type trackedConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error by which a write learnt that the connection has failed; nil for
	// none. It is guarded by writing.
	failure error
	// writes is the number of writes that were attempted.
	writes atomic.Uint64
	// headMutex guards head.
	headMutex sync.Mutex
	// head checks the response to the current call.
	head responseHead
	// callDeadline is the deadline of the current call on the monotonic clock, in
	// nanoseconds since processStart; 0 if there is none.
	callDeadline atomic.Int64
	// firstWriteBy bounds the first write of the current call in the same way; 0 after
	// that write, or if there is no bound.
	firstWriteBy atomic.Int64
	// limit counts the connection until it is closed; nil for no limit.
	limit *connLimit
	// closed is set once the connection has been closed.
	closed atomic.Bool
}

// processStart is the reference time for monotonic times in this process.
var processStart = time.Now()

// beginCall prepares the connection for the next call: it awaits the head of a response, and sets
// the deadline for the writes, and for the first of them unless firstWriteBy is zero. It returns
// the number of writes so far.
func (c *trackedConn) beginCall(deadline, firstWriteBy time.Time) uint64 {
	writes := c.writes.Load()
	// On a new connection, the target may have begun its first response already.
	if writes > 0 {
		c.headMutex.Lock()
		c.head = responseHead{}
		c.headMutex.Unlock()
	}
	c.callDeadline.Store(int64(deadline.Sub(processStart)))
	c.firstWriteBy.Store(0)
	if !firstWriteBy.IsZero() {
		c.firstWriteBy.Store(int64(firstWriteBy.Sub(processStart)))
	}
	return writes
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) && c.limit != nil {
		c.limit.release()
	}
	return err
}

// Write implements net.Conn. The deadline is checked immediately before the write. A
// pause of the process between the two is covered by the deadline check of the target.
func (c *trackedConn) Write(p []byte) (int, error) {
	deadline := c.callDeadline.Load()
	if by := c.firstWriteBy.Swap(0); by != 0 && by < deadline {
		deadline = by
	}
	if deadline != 0 && int64(time.Since(processStart)) > deadline {
		return 0, errDeadlinePassed
	}
	c.writes.Add(1)
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isConnectionFailure(err) {
		c.failure = err
	}
	return n, err
}

// isConnectionFailure reports whether a write failed because the connection has, for example
// by a reset. EPIPE does not tell: it also follows a reset after the target has ended its stream.
func isConnectionFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn. It fails at the first line of a head that is malformed.
//
// The kernel reports the failure of a connection only once. If a write has got that report, the
// kernel ends the stream as if the target had, so that a response without a length would look
// complete. Read then returns the error of the write.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.scanHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// scanHead checks the bytes that belong to the head of a response.
func (c *trackedConn) scanHead(p []byte) error {
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	return c.head.scan(p)
}

// writeFailure returns the error by which a write learnt that the connection has failed, if one
// did. It is called at the end of the stream: no response can follow, so that a write for which
// the target makes no room is ended.
func (c *trackedConn) writeFailure() error {
	if !c.writing.TryLock() {
		// The error is that of a closed connection, which has no writes in progress.
		_ = c.Conn.SetWriteDeadline(time.Now())
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}

// ReadFrom implements io.ReaderFrom. The transport writes a body with it, within the length
// that the header states. The bytes of a tarragonwell.Body are written from the blocks in
// which they are held; of any other reader they are copied.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	if l, ok := r.(*io.LimitedReader); ok {
		if b, ok := l.R.(*tarragonwell.BodyReader); ok {
			n, err := b.WriteTo(writerOnly{c})
			l.N -= n
			return n, err
		}
	}
	return io.Copy(writerOnly{c}, r)
}

// writerOnly hides all methods of a writer but Write.
type writerOnly struct {
	io.Writer
}
