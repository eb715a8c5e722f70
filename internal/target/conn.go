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
// with io.EOF only if the target has ended it and no write has failed.
type trackedConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error of the first write that failed because the connection had; nil for
	// none. It is guarded by writing.
	failure error
	// writes is the number of writes that were attempted.
	writes atomic.Uint64
	// callMutex guards the fields of the current call below.
	callMutex sync.Mutex
	// head checks the response.
	head responseHead
	// written is closed when all of the call was written, or a write has failed; nil after that.
	written chan struct{}
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
	c.callMutex.Lock()
	c.written = make(chan struct{})
	// On a new connection, the target may have begun its first response already.
	if writes > 0 {
		c.head = responseHead{}
	}
	c.callMutex.Unlock()
	c.callDeadline.Store(int64(deadline.Sub(processStart)))
	c.firstWriteBy.Store(0)
	if !firstWriteBy.IsZero() {
		c.firstWriteBy.Store(int64(firstWriteBy.Sub(processStart)))
	}
	return writes
}

// endWrites is called when all of the call was written, or a write has failed.
func (c *trackedConn) endWrites() {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	if c.written != nil {
		close(c.written)
		c.written = nil
	}
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
// by a reset.
func isConnectionFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
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
