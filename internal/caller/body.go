package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// errNoMemory means that the body of a request does not fit into the memory account.
var errNoMemory = eris.New("too many requests are in hand")

// bodyGrace extends the wait for a request's body beyond the call's deadline, so that the
// connection of a caller that is a little late is not closed.
const bodyGrace = 500 * time.Millisecond

// discardTimeout bounds the time for which the body of a rejected request is read.
const discardTimeout = time.Second

// readBody reads a request's body into memory that counts against the account until the
// body is closed. Memory for a body of known length is reserved before it is read, so that
// two large bodies are not both read in part and then rejected; for others it is reserved
// as the bytes arrive. The cause is only valid with an error; with errNoMemory the request
// may succeed later.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*tarragonwell.Body, tarragonwell.FailureCause, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	// If the body is not read to its end, the deadline stays in force for the rest of it,
	// which the HTTP server discards.
	s.setReadDeadline(w, deadline.Add(bodyGrace))
	if r.ContentLength > limit {
		return nil, tarragonwell.CauseTooLarge, bodyTooLarge(limit)
	}
	b := &common.BlockBuffer{
		Budget: &s.options.Common.RequestBytes,
		// An operation is sent to its holder in one message.
		OneBlock: s.ticketText(r) != "",
	}
	if r.ContentLength > 0 && !b.Reserve(r.ContentLength) {
		return nil, tarragonwell.CauseUnavailable, errNoMemory
	}
	if cause, err := fillBody(b, r, limit); err != nil {
		b.Release()
		return nil, cause, err
	}
	s.setReadDeadline(w, time.Time{})
	if b.Size == 0 {
		b.Release()
		return nil, 0, nil
	}
	return &tarragonwell.Body{
		Blocks:  b.Blocks,
		Size:    b.Size,
		Release: b.Release,
	}, 0, nil
}

// fillBody reads a body into a buffer. The cause is only valid with an error.
func fillBody(b *common.BlockBuffer, r *http.Request, limit int64) (tarragonwell.FailureCause, error) {
	ended, err := b.Fill(r.Body, r.ContentLength, limit)
	if err == nil && !ended && b.Size < limit {
		return tarragonwell.CauseUnavailable, errNoMemory
	}
	if err == nil && !ended {
		ended, err = atEnd(r.Body)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return tarragonwell.CauseDeadlineExceeded, eris.New("the body did not arrive before the deadline")
	case err != nil:
		return tarragonwell.CauseMalformed, eris.New("the body broke off")
	case !ended:
		return tarragonwell.CauseTooLarge, bodyTooLarge(limit)
	}
	return 0, nil
}

// atEnd reports whether no byte follows.
func atEnd(body io.Reader) (bool, error) {
	var next [1]byte
	_, err := io.ReadFull(body, next[:])
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

func bodyTooLarge(limit int64) error {
	return eris.Errorf("the body is larger than %d bytes", limit)
}

// discardBody sends the response that was written and then reads what is left of the
// request's body, for discardTimeout at most. A connection that is closed while its caller
// sends is reset, and the caller may then lose a response that it has not read.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.ProtoMajor > 1 || r.Header.Get("Expect") != "" {
		// A stream of HTTP/2 ends without its connection, and a caller that expects to be
		// told to continue has not begun to send.
		return
	}
	s.setReadDeadline(w, time.Now().Add(discardTimeout))
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	// An error means that the caller has left, or that the time is over: the HTTP server
	// closes the connection.
	_, _ = io.Copy(io.Discard, r.Body)
}

// setReadDeadline bounds reading from the caller's connection; the zero time removes the
// bound.
func (s *Server) setReadDeadline(w http.ResponseWriter, t time.Time) {
	err := http.NewResponseController(w).SetReadDeadline(t)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.options.Common.Log.Debug("can't set the read deadline", "error", err)
	}
}

// limitBodyTime bounds the time that net/http waits for a body which the handler does not
// read, such as that of a request for tickets. readBody sets a limit of its own.
func (s *Server) limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			s.setReadDeadline(w, time.Now().Add(discardTimeout))
		}
		next.ServeHTTP(w, r)
	})
}
