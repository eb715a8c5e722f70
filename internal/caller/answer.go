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

const streamBuffer = 32 << 10

// internalHeaders are spoken between instances and targets only.
var internalHeaders = []string{target.HeaderLoad, target.HeaderState, target.HeaderRequestID}

// tell writes the end of a call.
func (s *Server) tell(w http.ResponseWriter, call *tarragonwell.Call, r tarragonwell.Result) {
	if r.Response == nil {
		s.write(w, &tarragonwell.LocalResponse{
			Outcome:    r.Outcome,
			Cause:      r.Cause,
			Reason:     r.Reason,
			RetryAfter: r.RetryAfter,
		})
		return
	}
	defer r.Response.Body.Close()
	copyHeaders(w.Header(), r.Response.Header)
	s.dialect.WriteResponse(&r, w.Header())
	if r.Response.Length >= 0 && call.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Response.Length, 10))
	}
	w.WriteHeader(r.Response.Status)
	if err := stream(w, r.Response.Body, call.Route.Kind.Long); err != nil && control.Enabled(control.TruncationAbort) {
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	}
}

func stream(w http.ResponseWriter, body io.Reader, flush bool) error {
	if !flush {
		_, err := io.Copy(w, body)
		return err
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
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

// writeStored writes the result of an operation.
func (s *Server) writeStored(w http.ResponseWriter, r tarragonwell.StoredResult) {
	if r.Status == 0 || r.Outcome == tarragonwell.OutcomeNotRun {
		s.write(w, &tarragonwell.LocalResponse{
			Outcome: r.Outcome,
			Cause:   storedCause(r.Outcome),
			Reason:  r.Reason,
		})
		return
	}
	copyHeaders(w.Header(), r.Header)
	s.dialect.WriteResponse(&tarragonwell.Result{
		Outcome: r.Outcome,
		Reason:  r.Reason,
	}, w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func storedCause(o tarragonwell.Outcome) tarragonwell.FailureCause {
	if o == tarragonwell.OutcomeUnknown {
		return tarragonwell.CauseTargetFailed
	}
	return tarragonwell.CauseUnavailable
}

func copyHeaders(to http.Header, from map[string][]string) {
	for name, values := range from {
		to[name] = values
	}
}

// writeRefusal tells a caller that its request was not run.
func (s *Server) writeRefusal(w http.ResponseWriter, cause tarragonwell.FailureCause, reason string, after time.Duration) {
	s.write(w, &tarragonwell.LocalResponse{
		Outcome:    tarragonwell.OutcomeNotRun,
		Cause:      cause,
		Reason:     reason,
		RetryAfter: after,
	})
}

// write tells a caller an end without a target's answer.
func (s *Server) write(w http.ResponseWriter, r *tarragonwell.LocalResponse) {
	writeEncoded(w, s.dialect.EncodeLocalResponse(r))
}

func writeEncoded(w http.ResponseWriter, a tarragonwell.EncodedResponse) {
	copyHeaders(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// writeJSON writes an answer of the callers' own interface.
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
