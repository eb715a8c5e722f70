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
	// defaultRetries is the number of retries permitted to a call whose request
	// states none.
	defaultRetries = 1
	// maxRetries caps the number of retries that a caller can request.
	maxRetries = 3
)

// Dialect translates the native headers of callers: deadline, permitted retries and
// outcome.
type Dialect struct{}

var _ tarragonwell.CallerDialect = Dialect{}

// ParseCallHeader implements tarragonwell.CallerDialect. It also appends the caller's
// IP address to X-Forwarded-For. The deadline and retry headers stay in the call's
// header. The native target dialect replaces both, except the deadline of long calls,
// which targets receive as the caller sent it.
func (Dialect) ParseCallHeader(now time.Time, callerIP string, c *tarragonwell.Call) error {
	h := http.Header(c.Header)
	c.RetriesLeft = retriesLeft(h)
	if ms, err := strconv.ParseInt(h.Get(target.HeaderDeadline), 10, 64); err == nil {
		// The time left is the difference of wall-clock times. It is added to now,
		// whose monotonic reading is unaffected by jumps of the wall clock.
		left := time.UnixMilli(ms).Sub(now.Round(0))
		c.CallerTimeLeft = max(0, left)
		c.Deadline = now.Add(min(c.Deadline.Sub(now), left))
	}
	if callerIP != "" {
		h.Add("X-Forwarded-For", callerIP)
	}
	return nil
}

// CallID implements tarragonwell.CallerDialect. It returns "", as callers send no
// call IDs.
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

// localResponseBody is the body of responses that don't come from a target.
type localResponseBody struct {
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
	// Encoding two strings can't fail.
	body, _ := json.Marshal(localResponseBody{
		Outcome: r.Outcome.String(),
		Reason:  r.Reason,
	})
	return tarragonwell.EncodedResponse{
		Status: localResponseStatus(r),
		Header: h,
		Body:   body,
	}
}

// RewriteResponseHeader implements tarragonwell.CallerDialect.
func (Dialect) RewriteResponseHeader(r *tarragonwell.Result, header map[string][]string) {
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

// localResponseStatus returns the HTTP status of a call that ended without a response
// from a target.
func localResponseStatus(r *tarragonwell.LocalResponse) int {
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
