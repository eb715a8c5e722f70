package target

import (
	"net/http"
	"strings"
)

// Headers spoken with targets.
const (
	// HeaderAttemptID is echoed by the target.
	HeaderAttemptID = "Tarragonwell-Request-Id"
	// HeaderDeadline is absolute, in milliseconds since 1970.
	HeaderDeadline = "Tarragonwell-Deadline"
	// HeaderRetriesLeft bounds the further attempts below this call.
	HeaderRetriesLeft = "Tarragonwell-Retries-Left"
	// HeaderOperation names the operation for the target's own records.
	HeaderOperation = "Tarragonwell-Operation"
	// HeaderNotRun is the target's word that it did not run the call.
	HeaderNotRun = "Target-Not-Run"
	// HeaderLoad is the target's report, as "running=3, waiting=1, slots=5".
	HeaderLoad = "Target-Load"
	// HeaderState is "draining" on answers of a target that takes no new work.
	HeaderState = "Target-State"

	stateDraining = "draining"
)

// hopByHop headers belong to one connection and are never passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// keys make the transport repeat a request by itself when a reused connection
// breaks, so they are taken off what must not repeat.
var keys = []string{"Idempotency-Key", "X-Idempotency-Key"}

// ForwardableHeader copies the headers that may be passed on to the next hop.
func ForwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	stripHopByHop(out)
	return out
}

// stripHopByHop takes out the headers that belong to one connection.
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
