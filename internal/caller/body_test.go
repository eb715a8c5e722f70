package caller

import (
	"bufio"
	"context"
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

// bodyDispatcher ends each call at once. It reports the size of the call's body.
type bodyDispatcher struct{}

func (bodyDispatcher) Dispatch(_ context.Context, c *tarragonwell.Call) tarragonwell.Result {
	return tarragonwell.Result{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  strconv.FormatInt(c.Body.Length(), 10) + " bytes",
	}
}

// awaitReserved waits until the account holds n bytes for requests.
func awaitReserved(t *testing.T, s *Server, n int64) {
	t.Helper()
	budget := &s.options.Common.RequestBytes
	for deadline := time.Now().Add(10 * time.Second); budget.Reserved() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("got %d bytes held, want %d", budget.Reserved(), n)
			return
		}
	}
}

// TestBodyMemoryIsReturned guards against memory that stays reserved for bodies that are
// not complete, and against bodies without a length that are charged at the largest size:
// callers that send a length and no body, leave, or send too much must not use up the
// account.
func TestBodyMemoryIsReturned(t *testing.T) {
	s := newTestServer(t, bodyDispatcher{})
	s.options.Common.Settings.MaxRequestBodyBytes = 64 << 10
	s.options.Common.RequestBytes.SetLimit(32 << 10)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	deadline := "Tarragonwell-Deadline: " + strconv.FormatInt(time.Now().Add(300*time.Millisecond).UnixMilli(), 10) + "\r\n"
	for _, x := range []struct {
		name, header, body string
		// leaves is set if the caller closes its connection; there is no status then.
		leaves bool
		status int
		reason string
	}{
		{
			name:   "whole",
			header: "Content-Length: 30000\r\n",
			body:   strings.Repeat("x", 30000),
			status: http.StatusServiceUnavailable,
			reason: "30000 bytes",
		},
		{
			name:   "without length",
			header: "Transfer-Encoding: chunked\r\n",
			body:   "3\r\nabc\r\n0\r\n\r\n",
			status: http.StatusServiceUnavailable,
			reason: "3 bytes",
		},
		{
			name:   "without length, larger than the account",
			header: "Transfer-Encoding: chunked\r\n",
			body:   "9c40\r\n" + strings.Repeat("x", 40000) + "\r\n0\r\n\r\n",
			status: http.StatusServiceUnavailable,
			reason: "too many requests",
		},
		{
			name:   "larger than the account",
			header: "Content-Length: 40000\r\n",
			body:   strings.Repeat("x", 40000),
			status: http.StatusServiceUnavailable,
			reason: "too many requests",
		},
		{
			name:   "larger than the limit",
			header: "Content-Length: 70000\r\n",
			body:   strings.Repeat("x", 70000),
			status: http.StatusRequestEntityTooLarge,
			reason: "larger than 65536 bytes",
		},
		{
			name:   "length and no body",
			header: deadline + "Content-Length: 30000\r\n",
			status: http.StatusServiceUnavailable,
			reason: "did not arrive before the deadline",
		},
		{
			name:   "caller leaves",
			header: "Content-Length: 30000\r\n",
			body:   "x",
			leaves: true,
		},
	} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+x.header+"\r\n"+x.body)
		if x.leaves {
			awaitReserved(t, s, 30000)
			_ = c.Close()
		} else {
			checkResponse(t, x.name, c, x.status, x.reason)
		}
		awaitReserved(t, s, 0)
	}
}

func checkResponse(t *testing.T, name string, c net.Conn, status int, reason string) {
	t.Helper()
	defer c.Close()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if got, want := response.StatusCode, status; got != want {
		t.Errorf("%s: got status %d, want %d", name, got, want)
	}
	if got, want := response.Header.Get(HeaderReason), reason; !strings.Contains(got, want) {
		t.Errorf("%s: got reason %q, want %q", name, got, want)
	}
	if got, want := response.Header.Get(HeaderOutcome), "not-run"; got != want {
		t.Errorf("%s: got outcome %q, want %q", name, got, want)
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

// streamDispatcher ends each call with a response whose body is streamed.
type streamDispatcher struct {
	body io.ReadCloser
}

func (d streamDispatcher) Dispatch(context.Context, *tarragonwell.Call) tarragonwell.Result {
	return tarragonwell.Result{
		Outcome: tarragonwell.OutcomeComplete,
		Response: &tarragonwell.Response{
			Status: http.StatusOK,
			Body:   d.body,
			Length: -1,
		},
	}
}

// TestStreamedResponsesAreAccounted guards against buffers of streamed responses that are not
// part of the account, and against a response that is not sent because the account is spent.
func TestStreamedResponsesAreAccounted(t *testing.T) {
	for _, x := range []struct {
		limit, held int64
	}{
		{
			limit: 2 * streamBufferBytes,
			held:  streamBufferBytes,
		},
		{
			limit: 1,
			held:  0,
		},
	} {
		body, target := io.Pipe()
		s := newTestServer(t, streamDispatcher{
			body: body,
		})
		budget := &s.options.Common.ResponseBytes
		budget.SetLimit(x.limit)
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- post(s, "") }()
		content := strings.Repeat("x", 3*streamBufferBytes)
		_, _ = io.WriteString(target, content)
		if got, want := budget.Reserved(), x.held; got != want {
			t.Errorf("limit %d: got %d bytes held, want %d", x.limit, got, want)
		}
		_ = target.Close()
		if got, want := (<-done).Body.String(), content; got != want {
			t.Errorf("limit %d: got %d bytes, want %d", x.limit, len(got), len(want))
		}
		if got, want := budget.Reserved(), int64(0); got != want {
			t.Errorf("limit %d: got %d bytes held at the end, want %d", x.limit, got, want)
		}
	}
}
