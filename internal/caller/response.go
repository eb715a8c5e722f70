package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	streamBufferBytes = 32 << 10
	// minStreamBufferBytes is no more than the buffers that a connection has anyway.
	minStreamBufferBytes = 4 << 10
)

// internalHeaders are exchanged between instances and targets only and removed
// from responses to callers.
var internalHeaders = []string{target.HeaderLoad, target.HeaderState, target.HeaderAttemptID}

// writeResult writes the response of a call that has ended.
func (s *Server) writeResult(w http.ResponseWriter, call *tarragonwell.Call, r tarragonwell.Result) {
	if r.Response == nil {
		s.writeLocalResponse(w, &tarragonwell.LocalResponse{
			Outcome:    r.Outcome,
			Cause:      r.Cause,
			Reason:     r.Reason,
			RetryAfter: r.RetryAfter,
		})
		return
	}
	defer r.Response.Body.Close()
	copyHeaders(w.Header(), r.Response.Header)
	s.dialect.RewriteResponseHeader(&r, w.Header())
	if r.Response.Length >= 0 && call.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Response.Length, 10))
	}
	w.WriteHeader(r.Response.Status)
	if err := s.copyBody(w, r.Response.Body, call.Route.Kind.Long); err != nil && control.Enabled(control.TruncationAbort) {
		// Abort the connection, so that the caller doesn't take a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies a response's body to the caller. If flush is set, as for long
// (streamed) kinds, it flushes after each read. A body that is buffered is written from its
// buffer.
func (s *Server) copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	if buffered, ok := body.(io.WriterTo); ok && !flush {
		_, err := buffered.WriteTo(w)
		return err
	}
	buffer, release := s.streamBuffer()
	defer release()
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				if flushErr := controller.Flush(); flushErr != nil {
					return flushErr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamBuffer returns a buffer for a streamed response, which a slow reader may leave
// unread for long, and the function that returns it to the account. If the account is spent,
// the buffer is small and not counted.
func (s *Server) streamBuffer() (buffer []byte, release func()) {
	budget := &s.options.Common.ResponseBytes
	if !budget.Reserve(streamBufferBytes) {
		return make([]byte, minStreamBufferBytes), func() {}
	}
	return make([]byte, streamBufferBytes), func() { budget.Release(streamBufferBytes) }
}

// writeStoredResult writes the response of an operation from its stored result. A
// result without a target's response, or with the outcome not-run, is written as a
// local response.
func (s *Server) writeStoredResult(w http.ResponseWriter, r tarragonwell.StoredResult) {
	if r.Status == 0 || r.Outcome == tarragonwell.OutcomeNotRun {
		s.writeLocalResponse(w, &tarragonwell.LocalResponse{
			Outcome: r.Outcome,
			Cause:   storedResultCause(r.Outcome),
			Reason:  r.Reason,
		})
		return
	}
	copyHeaders(w.Header(), r.Header)
	s.dialect.RewriteResponseHeader(&tarragonwell.Result{
		Outcome: r.Outcome,
		Reason:  r.Reason,
	}, w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// storedResultCause derives a failure cause for the dialect from the outcome, as
// stored results have none. An unknown outcome always gives CauseTargetFailed, also
// if the holder of the ticket could not be reached.
func storedResultCause(o tarragonwell.Outcome) tarragonwell.FailureCause {
	if o == tarragonwell.OutcomeUnknown {
		return tarragonwell.CauseTargetFailed
	}
	return tarragonwell.CauseUnavailable
}

func copyHeaders(dst http.Header, src map[string][]string) {
	for name, values := range src {
		dst[name] = values
	}
}

// writeNotRun rejects a request with the outcome not-run.
func (s *Server) writeNotRun(w http.ResponseWriter, cause tarragonwell.FailureCause, reason string, retryAfter time.Duration) {
	s.writeLocalResponse(w, &tarragonwell.LocalResponse{
		Outcome:    tarragonwell.OutcomeNotRun,
		Cause:      cause,
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}

// writeLocalResponse writes a response that doesn't come from a target. Its outcome
// may be not-run or unknown.
func (s *Server) writeLocalResponse(w http.ResponseWriter, r *tarragonwell.LocalResponse) {
	writeEncoded(w, s.dialect.EncodeLocalResponse(r))
}

func writeEncoded(w http.ResponseWriter, response tarragonwell.EncodedResponse) {
	copyHeaders(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// writeJSON writes a response of the ticket API.
func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		content = []byte("{}")
	}
	writeEncoded(w, tarragonwell.EncodedResponse{
		Status: status,
		Header: map[string][]string{
			"Content-Type": {"application/json"},
		},
		Body: content,
	})
}
