package target

import (
	"maps"
	"net/http"
	"strings"
)

// Headers of calls to targets and of their responses.
const (
	// HeaderAttemptID identifies the attempt. The target echoes it in the response.
	HeaderAttemptID = "Tarragonwell-Request-Id"
	// HeaderDeadline is the call's deadline in milliseconds since the Unix epoch.
	HeaderDeadline = "Tarragonwell-Deadline"
	// HeaderRetriesLeft is the number of retries that remain for nested calls.
	HeaderRetriesLeft = "Tarragonwell-Retries-Left"
	// HeaderOperation is the operation's ID, for the target's own records.
	HeaderOperation = "Tarragonwell-Operation"
	// HeaderNotRun is set on responses of a target that did not execute the call. Its
	// value is the reason.
	HeaderNotRun = "Target-Not-Run"
	// HeaderLoad is the target's load report, such as "running=3, waiting=1, slots=5".
	HeaderLoad = "Target-Load"
	// HeaderState is "draining" on responses of a leaving target, which accepts no new
	// calls.
	HeaderState = "Target-State"
	// headerRetryAfter is how long a target that refused a call asks to be sent
	// nothing, in seconds.
	headerRetryAfter = "Retry-After"

	stateDraining = "draining"
)

// hopByHop lists the headers that are never forwarded, because they apply to a single
// connection. Expect does not, but is dropped too: the instance itself responds to
// it when it reads the request's body, which it buffers in full.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// idempotencyKeyHeaders lists the headers that make http.Transport retry a request if a
// reused connection fails. They are removed from every call, because only package
// service decides on retries. Targets therefore never receive them.
var idempotencyKeyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// ForwardableHeader returns a copy of h without hop-by-hop headers. The copy shares the
// values of h, which must not be changed in place. It never returns nil.
func ForwardableHeader(h http.Header) http.Header {
	out := maps.Clone(h)
	if out == nil {
		out = http.Header{}
	}
	stripHopByHop(out)
	return out
}

// stripHopByHop removes the hop-by-hop headers, including those listed in Connection.
func stripHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
