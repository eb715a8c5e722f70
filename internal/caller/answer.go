package caller

import (
	"encoding/json"
	"io"
	"math"
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

// refusalBody is the body of answers that do not come from a target.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// tell writes the end of a call.
func (s *Server) tell(w http.ResponseWriter, call *tarragonwell.Call, r tarragonwell.Result) {
	if r.Outcome == tarragonwell.OutcomeUnknown {
		s.options.Common.Log.Warn("outcome unknown", "call", call.ID, "kind", call.Route.Kind.Name, "reason", r.Reason)
	}
	if r.Answer == nil {
		writeOutcome(w, r.Outcome, statusOf(r.Outcome), r.Reason, r.RetryAfter)
		return
	}
	defer r.Answer.Body.Close()
	copyHeaders(w.Header(), r.Answer.Header)
	if r.Answer.Length >= 0 && call.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Answer.Length, 10))
	}
	setOutcome(w, r.Outcome, r.Reason)
	w.WriteHeader(r.Answer.Status)
	if err := stream(w, r.Answer.Body, call.Route.Kind.Long); err != nil && control.Holds(control.VisibleCut) {
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
func writeStored(w http.ResponseWriter, r tarragonwell.StoredResult) {
	if r.Status == 0 || r.Outcome == tarragonwell.OutcomeNotRun {
		writeOutcome(w, r.Outcome, statusOf(r.Outcome), r.Reason, 0)
		return
	}
	copyHeaders(w.Header(), r.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	setOutcome(w, r.Outcome, r.Reason)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func copyHeaders(to http.Header, from map[string][]string) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range internalHeaders {
		to.Del(name)
	}
}

func setOutcome(w http.ResponseWriter, o tarragonwell.Outcome, reason string) {
	w.Header().Set(HeaderOutcome, o.String())
	if reason != "" {
		w.Header().Set(HeaderReason, reason)
	}
}

// writeRefusal tells a caller that its request was not run.
func writeRefusal(w http.ResponseWriter, status int, reason string, after time.Duration) {
	writeOutcome(w, tarragonwell.OutcomeNotRun, status, reason, after)
}

func writeOutcome(w http.ResponseWriter, o tarragonwell.Outcome, status int, reason string, after time.Duration) {
	setOutcome(w, o, reason)
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(w, status, refusalBody{
		Outcome: o.String(),
		Reason:  reason,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		content = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// statusOf is the HTTP status of an outcome without a target's answer.
func statusOf(o tarragonwell.Outcome) int {
	switch o {
	case tarragonwell.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case tarragonwell.OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}
