package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const probePath = "/load"

// Dialect is the default target dialect: the headers declared in this package and a
// load endpoint that responds with JSON.
type Dialect struct{}

var _ tarragonwell.TargetDialect = Dialect{}

// SetCallHeader implements tarragonwell.TargetDialect.
func (Dialect) SetCallHeader(c *tarragonwell.Call, _ *tarragonwell.ListedTarget, _ time.Duration, header map[string][]string) {
	h := http.Header(header)
	h.Set(HeaderAttemptID, attemptID(c))
	if !c.Route.Kind.Long {
		// The deadline of a long call bounds only the wait for the first byte.
		h.Set(HeaderDeadline, strconv.FormatInt(c.Deadline.UnixMilli(), 10))
	}
	h.Set(HeaderRetriesLeft, strconv.Itoa(c.RetriesLeft))
	if c.OperationID != "" {
		h.Set(HeaderOperation, c.OperationID)
	}
}

// ParseResponseHeader implements tarragonwell.TargetDialect.
func (Dialect) ParseResponseHeader(c *tarragonwell.Call, _ int, header map[string][]string) tarragonwell.ResponseInfo {
	h := http.Header(header)
	if id := h.Get(HeaderAttemptID); id != "" && id != attemptID(c) && control.Enabled(control.ResponseIdentity) {
		return tarragonwell.ResponseInfo{
			Verdict: tarragonwell.ResponseMismatched,
			Reason:  "the target answered another request",
		}
	}
	info := tarragonwell.ResponseInfo{
		Identified: h.Get(HeaderAttemptID) == attemptID(c),
		Load:       parseLoad(h.Get(HeaderLoad)),
	}
	notRunReason := h.Get(HeaderNotRun)
	if notRunReason != "" {
		info.Verdict = tarragonwell.ResponseRefused
		info.Reason = "the target refused: " + notRunReason
		info.RetryAfter, info.Ignored = ParseRetryAfter(h.Get(headerRetryAfter))
	}
	draining := h.Get(HeaderState) == stateDraining || notRunReason == stateDraining
	info.Leaving = draining && control.Enabled(control.LeavingReport)
	return info
}

// attemptID returns an ID that is unique among the attempts of all calls.
func attemptID(c *tarragonwell.Call) string {
	if c.Attempt == 0 {
		return c.ID
	}
	return c.ID + "-" + strconv.Itoa(c.Attempt)
}

// ProbePath implements tarragonwell.TargetDialect.
func (Dialect) ProbePath(*tarragonwell.Service) string {
	return probePath
}

// loadResponse is the JSON body returned by a target's load endpoint.
type loadResponse struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// ParseProbe implements tarragonwell.TargetDialect. The default dialect's probe responses
// do not identify the target, so that a response of another target is not detected.
func (Dialect) ParseProbe(_ *tarragonwell.ListedTarget, _ int, _ map[string][]string, body []byte) (tarragonwell.ProbeResponse, error) {
	var r loadResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return tarragonwell.ProbeResponse{}, eris.Wrap(ErrProbe, err.Error())
	}
	return tarragonwell.ProbeResponse{
		Load: &tarragonwell.LoadReport{
			Running: max(0, r.Running),
			Waiting: max(0, r.Waiting),
			Slots:   max(0, r.Slots),
		},
		TargetNotice: tarragonwell.TargetNotice{
			Leaving: r.State == stateDraining && control.Enabled(control.LeavingReport),
		},
	}, nil
}

// parseLoad parses the value of HeaderLoad. It returns nil if the value is empty or
// contains a malformed number.
func parseLoad(text string) *tarragonwell.LoadReport {
	if text == "" {
		return nil
	}
	var l tarragonwell.LoadReport
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return nil
		}
		switch name {
		case "running":
			l.Running = n
		case "waiting":
			l.Waiting = n
		case "slots":
			l.Slots = n
		}
	}
	return &l
}
