package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// defaultRetries is the retry budget of a call that brings none.
	defaultRetries = 1
	// maxRetries bounds the budget that a caller may bring.
	maxRetries = 3
)

// Dialect is what the system's own callers speak.
type Dialect struct{}

var _ tarragonwell.CallerDialect = Dialect{}

// ReadCall implements tarragonwell.CallerDialect.
func (Dialect) ReadCall(now time.Time, client string, c *tarragonwell.Call) error {
	h := http.Header(c.Header)
	c.RetriesLeft = retriesLeft(h)
	if ms, err := strconv.ParseInt(h.Get(target.HeaderDeadline), 10, 64); err == nil {
		// Keep the monotonic reading: the wall clock may jump.
		left := time.UnixMilli(ms).Sub(now.Round(0))
		c.Deadline = now.Add(min(c.Deadline.Sub(now), left))
	}
	if client != "" {
		h.Add("X-Forwarded-For", client)
	}
	return nil
}

// CallID implements tarragonwell.CallerDialect. Callers name no calls.
func (Dialect) CallID(map[string][]string) string {
	return ""
}

func retriesLeft(h http.Header) int {
	n, err := strconv.Atoi(h.Get(target.HeaderRetriesLeft))
	if err != nil {
		return defaultRetries
	}
	return max(0, min(maxRetries, n))
}

// refusalBody is the body of answers that do not come from a target.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// EncodeLocalResponse implements tarragonwell.CallerDialect.
func (Dialect) EncodeLocalResponse(r *tarragonwell.LocalResponse) tarragonwell.EncodedResponse {
	h := http.Header{}
	setOutcome(h, r.Outcome, r.Reason)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	// Two strings can always be encoded.
	body, _ := json.Marshal(refusalBody{
		Outcome: r.Outcome.String(),
		Reason:  r.Reason,
	})
	return tarragonwell.EncodedResponse{
		Status: statusOf(r),
		Header: h,
		Body:   body,
	}
}

// WriteResponse implements tarragonwell.CallerDialect.
func (Dialect) WriteResponse(r *tarragonwell.Result, header map[string][]string) {
	h := http.Header(header)
	for _, name := range internalHeaders {
		h.Del(name)
	}
	setOutcome(h, r.Outcome, r.Reason)
}

func setOutcome(h http.Header, o tarragonwell.Outcome, reason string) {
	h.Set(HeaderOutcome, o.String())
	if reason != "" {
		h.Set(HeaderReason, reason)
	}
}

// statusOf is the HTTP status of a call that ended without a target's answer.
func statusOf(r *tarragonwell.LocalResponse) int {
	switch r.Cause {
	case tarragonwell.CauseNoRoute:
		return http.StatusNotFound
	case tarragonwell.CauseMalformed:
		return http.StatusBadRequest
	case tarragonwell.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if r.Outcome == tarragonwell.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
