package caller

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/sockets"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

const (
	// minHeadBytes and headerTimeout are the limits on a head unless the rules allow more. A
	// head is not held to lower limits of the rules, as an instance may not yet have read
	// rules that allow it; only where there is no room are heads given up that take longer
	// than the rules allow.
	minHeadBytes  = 64 << 10
	headerTimeout = 10 * time.Second
	// maxHeadBytes and maxHeaderTimeout cap what the rules can allow.
	maxHeadBytes     = 1 << 20
	maxHeaderTimeout = time.Minute
	// headSlop is added to the limit on a head, as net/http does.
	headSlop = 4 << 10
	// largeHeadShare is the part of the memory for heads that heads which are not small may
	// take, in percent.
	largeHeadShare = 75
	// The limits on HTTP/2 bound what net/http keeps for a connection before a request is
	// handled.
	http2Streams       = 100
	http2FrameBytes    = 64 << 10
	http2ReceiveBuffer = 256 << 10
)

// headLimits holds the limits on heads: the highest that the rules of any revision have set.
// A caller may still follow an earlier revision.
type headLimits struct {
	bytes   atomic.Int64
	timeout atomic.Int64
}

// raise raises the limits to those of the rules.
func (h *headLimits) raise(l tarragonwell.CallerLimits) {
	raise(&h.bytes, min(l.HeadBytes, maxHeadBytes))
	raise(&h.timeout, int64(min(l.HeadTimeout, maxHeaderTimeout)))
}

func raise(x *atomic.Int64, value int64) {
	for old := x.Load(); value > old; old = x.Load() {
		if x.CompareAndSwap(old, value) {
			return
		}
	}
}

// limits returns the limits on heads that begin now.
func (s *Server) limits() sockets.HeadLimits {
	if r := s.options.CurrentRouting(); r != nil {
		s.headLimits.raise(r.Rules.Limits)
	}
	stated := time.Duration(s.headLimits.timeout.Load())
	slowAfter := headerTimeout
	if stated > 0 {
		slowAfter = stated
	}
	return sockets.HeadLimits{
		Bytes:     max(minHeadBytes, s.headLimits.bytes.Load()) + headSlop,
		Timeout:   max(headerTimeout, stated),
		SlowAfter: slowAfter,
	}
}

// newGuard returns the guard of the server's connections.
func (s *Server) newGuard() *sockets.Guard {
	c := s.options.Common
	connections, err := sockets.MaxConnections(c.Settings.MaxDescriptors)
	if err != nil {
		c.Log.Error("descriptor-limit-unknown", "error", err)
	}
	return sockets.NewGuard(sockets.GuardOptions{
		MaxConnections:  connections,
		ConnectionBytes: &c.ConnectionBytes,
		HeadBytes:       &c.HeadBytes,
		LargeHeadBytes: &common.ByteBudget{
			Limit:  c.HeadBytes.CurrentLimit() / 100 * largeHeadShare,
			Parent: &c.HeadBytes,
		},
		Limits:            s.limits,
		ServerHeadTimeout: headerTimeout,
		Unavailable:       s.encodeRejection(http.StatusServiceUnavailable, "too many requests are in hand"),
		TooLarge:          s.encodeRejection(http.StatusRequestHeaderFieldsTooLarge, "the header is too large"),
		HTTP2:             s.options.HTTP2,
		Clock:             c.Clock,
		Log:               c.Log,
		Metrics:           c.Metrics,
	})
}

// encodeRejection returns the bytes of the response to a request whose head is not received.
// The request was not run; where tickets are offered the outcome is unknown all the same, as
// an earlier attempt with the ticket may have run it.
func (s *Server) encodeRejection(status int, reason string) []byte {
	local := &tarragonwell.LocalResponse{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  reason,
	}
	if status == http.StatusServiceUnavailable {
		local.RetryAfter = rejectRetryAfter
	}
	if s.options.Operations != nil {
		local.Outcome = tarragonwell.OutcomeUnknown
	}
	encoded := s.dialect.EncodeLocalResponse(local)
	header := http.Header{}
	copyHeaders(header, encoded.Header)
	header.Set("Content-Length", strconv.Itoa(len(encoded.Body)))
	header.Set("Connection", "close")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writes to a buffer do not fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(encoded.Body)
	return b.Bytes()
}

// Guard returns the guard of the server's connections.
func (s *Server) Guard() *sockets.Guard {
	return s.guard
}

// Listen returns a listener whose connections are those of l within the limits of the
// settings. The server is to be run on it.
func (s *Server) Listen(l net.Listener) net.Listener {
	return s.guard.Listen(l)
}

// limitHTTP2Heads reserves memory for the heads of requests that came over HTTP/2, which
// shares a connection between requests. Those over HTTP/1 are counted as they are received.
func (s *Server) limitHTTP2Heads(next http.Handler) http.Handler {
	budget := &s.options.Common.HeadBytes
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 {
			next.ServeHTTP(w, r)
			return
		}
		cost := headerCost(r)
		if !budget.Reserve(cost) {
			s.rejectTemporarily(w, r, "too many requests are in hand")
			return
		}
		defer budget.Release(cost)
		next.ServeHTTP(w, r)
	})
}

// headerCost estimates the memory that a request's header takes.
func headerCost(r *http.Request) int64 {
	size := int64(len(r.RequestURI))
	lines := int64(1)
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(v))
			lines++
		}
	}
	return admission.HeadCost(size, lines)
}
