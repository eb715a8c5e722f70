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

// Dialect is what the system's own targets speak.
type Dialect struct{}

var _ tarragonwell.TargetDialect = Dialect{}

// SetCallHeader implements tarragonwell.TargetDialect.
func (Dialect) SetCallHeader(c *tarragonwell.Call, _ *tarragonwell.ListedTarget, _ time.Duration, header map[string][]string) {
	h := http.Header(header)
	h.Set(HeaderAttemptID, attemptID(c))
	if !c.Route.Kind.Long {
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
	head := tarragonwell.ResponseInfo{
		Load:    parseLoad(h.Get(HeaderLoad)),
		Leaving: h.Get(HeaderState) == stateDraining && control.Enabled(control.LeavingReport),
	}
	if echo := h.Get(HeaderAttemptID); echo != "" && echo != attemptID(c) && control.Enabled(control.AnswerIdentity) {
		head.Verdict = tarragonwell.ResponseMismatched
		head.Reason = "the target answered another request"
		return head
	}
	if why := h.Get(HeaderNotRun); why != "" {
		head.Verdict = tarragonwell.ResponseRefused
		head.Reason = "the target refused: " + why
		head.Leaving = head.Leaving || (why == stateDraining && control.Enabled(control.LeavingReport))
	}
	return head
}

// attemptID tells the attempts of a call apart.
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

// loadDocument is the answer of a target's load endpoint.
type loadDocument struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// ParseProbe implements tarragonwell.TargetDialect.
func (Dialect) ParseProbe(_ *tarragonwell.ListedTarget, _ int, _ map[string][]string, body []byte) (tarragonwell.ProbeResponse, error) {
	var d loadDocument
	if err := json.Unmarshal(body, &d); err != nil {
		return tarragonwell.ProbeResponse{}, eris.Wrap(ErrProbe, err.Error())
	}
	return tarragonwell.ProbeResponse{
		Load: &tarragonwell.LoadReport{
			Running: max(0, d.Running),
			Waiting: max(0, d.Waiting),
			Slots:   max(0, d.Slots),
		},
		Leaving: d.State == stateDraining,
	}, nil
}

// parseLoad reads a target's report; nil where there is none.
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
