package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// startGuarded serves s on a listener with its guard and returns the address.
func startGuarded(t *testing.T, s *Server) string {
	t.Helper()
	s.guard = s.newGuard()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := s.HTTP()
	go func() { _ = server.Serve(s.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// request sends the beginning of a request and returns the response, which must come within
// the limit.
func request(t *testing.T, address, content string, limit time.Duration) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, content)
	_ = c.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		line, _, _ := strings.Cut(content, "\r\n")
		t.Fatalf("%s: got no response within %v: %v", line, limit, err)
	}
	return response
}

// responseLimit is well above discardTimeout, for which the rest of a body is awaited.
const responseLimit = 8 * discardTimeout

// TestUnsentBodyIsNotAwaited guards against requests that keep their connection for as long as
// their body is not sent, because no handler reads it.
func TestUnsentBodyIsNotAwaited(t *testing.T) {
	s := newTestServer(t, nil)
	s.options.Operations = &operations.Operations{}
	address := startGuarded(t, s)
	for _, line := range []string{"OPTIONS *", "GET *", "CONNECT a:1", "POST /none", "POST " + PathTickets + "?count=0"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			request(t, address, line+" HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n", responseLimit)
		})
	}
}

// TestLongHeadTimeoutIsNotForBodies guards against a rest of a body that is awaited for the
// time that a head may take.
func TestLongHeadTimeoutIsNotForBodies(t *testing.T) {
	s := newTestServer(t, nil)
	s.options.CurrentRouting().Rules.Limits = tarragonwell.CallerLimits{
		HeadTimeout: time.Minute,
	}
	request(t, startGuarded(t, s), "POST /a/../b HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n", responseLimit)
}

// TestPrefaceWithHeaderIsNoHTTP2 guards against heads that are not counted after a request that
// begins as the preface of HTTP/2 does.
func TestPrefaceWithHeaderIsNoHTTP2(t *testing.T) {
	s := newTestServer(t, nil)
	s.options.HTTP2 = true
	s.options.Common.HeadBytes.SetLimit(64 << 10)
	c, err := net.Dial("tcp", startGuarded(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(responseLimit))
	reader := bufio.NewReader(c)
	_, _ = io.WriteString(c, "PRI * HTTP/2.0\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_, _ = io.WriteString(c, "GET /nothing HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 10_000)+"\r\n")
	response, err = http.ReadResponse(reader, nil)
	if err != nil {
		// The connection was closed without a response.
		return
	}
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("head above the memory for heads: got %d, want %d", got, want)
	}
}
