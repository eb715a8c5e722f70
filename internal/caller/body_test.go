package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// bodyDispatcher ends each call at once and reports the size of its body.
type bodyDispatcher struct{}

func (bodyDispatcher) Dispatch(_ context.Context, c *tarragonwell.Call) tarragonwell.Result {
	return tarragonwell.Result{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  strconv.FormatInt(c.Body.Length(), 10) + " bytes",
	}
}

// TestBodyMemoryIsReturned guards against memory that stays reserved for bodies that are
// not complete, and against bodies without a length that are charged at the largest size:
// callers that send a length and no body, or too much, must not use up the account.
func TestBodyMemoryIsReturned(t *testing.T) {
	s := newTestServer(t, bodyDispatcher{})
	s.options.Common.Settings.MaxRequestBodyBytes = 64 << 10
	budget := &s.options.Common.RequestBytes
	budget.SetLimit(32 << 10)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	deadline := time.Now().Add(300 * time.Millisecond).UnixMilli()
	for _, x := range []struct {
		request string
		reason  string
	}{
		{
			request: "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			reason:  "3 bytes",
		},
		{
			request: "Transfer-Encoding: chunked\r\n\r\n9c40\r\n" + strings.Repeat("x", 40000) + "\r\n0\r\n\r\n",
			reason:  "too many requests are in hand",
		},
		{
			request: "Content-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000),
			reason:  "too many requests are in hand",
		},
		{
			request: fmt.Sprintf("Tarragonwell-Deadline: %d\r\nContent-Length: 30000\r\n\r\n", deadline),
			reason:  "the body did not arrive before the deadline",
		},
	} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+x.request)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		if err != nil {
			t.Errorf("%s: %v", x.reason, err)
			continue
		}
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: got status %d, want %d", x.reason, got, want)
		}
		if got, want := response.Header.Get(HeaderReason), x.reason; got != want {
			t.Errorf("got reason %q, want %q", got, want)
		}
		if got, want := response.Header.Get(HeaderOutcome), "not-run"; got != want {
			t.Errorf("%s: got outcome %q, want %q", x.reason, got, want)
		}
		if got, want := budget.Reserved(), int64(0); got != want {
			t.Errorf("%s: got %d bytes held, want %d", x.reason, got, want)
		}
	}
}

// TestRejectionReachesCallerThatSends guards against a connection that is reset while its
// caller still sends the body, so that the caller never learns that the request was not run.
func TestRejectionReachesCallerThatSends(t *testing.T) {
	s := newTestServer(t, bodyDispatcher{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for range 20 {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(strings.Repeat("x", 16<<20)))
		if err != nil {
			t.Fatal(err)
		}
		r.Close = true
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := response.StatusCode, http.StatusRequestEntityTooLarge; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		_ = response.Body.Close()
	}
}

// TestStreamBuffersAreAccounted guards against buffers of streamed responses that are not part
// of the account, and against a response that is not sent because the account is spent.
func TestStreamBuffersAreAccounted(t *testing.T) {
	s := newTestServer(t, nil)
	budget := &s.options.Common.ResponseBytes
	budget.SetLimit(streamBufferBytes)
	first, releaseFirst := s.streamBuffer()
	second, releaseSecond := s.streamBuffer()
	if got, want := budget.Reserved(), int64(len(first)); got != want || len(second) == 0 {
		t.Errorf("got %d bytes held and a second buffer of %d, want %d and a buffer", got, len(second), want)
	}
	releaseFirst()
	releaseSecond()
	if got, want := budget.Reserved(), int64(0); got != want {
		t.Errorf("got %d bytes held at the end, want %d", got, want)
	}
}
