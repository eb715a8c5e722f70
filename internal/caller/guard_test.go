package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/operations"
	"github.com/tarragonwell/tarragonwell/internal/sockets"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestRejectionOfUnreadHead guards against a rejection that is no HTTP response, or that
// states not-run for a request whose ticket an earlier attempt may have run.
func TestRejectionOfUnreadHead(t *testing.T) {
	for want, o := range map[string]*operations.Operations{
		"not-run": nil,
		"unknown": {},
	} {
		s := newTestServer(t, nil)
		s.options.Operations = o
		text := s.encodeRejection(http.StatusServiceUnavailable, "no room")
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		got := r.Header.Get(HeaderOutcome)
		if got != want || r.StatusCode != http.StatusServiceUnavailable || !r.Close || r.Header.Get("Retry-After") == "" {
			t.Errorf("got outcome %q, status %d, close %v, header %v, want %s, 503, true and a Retry-After", got, r.StatusCode, r.Close, r.Header, want)
		}
	}
}

// TestHeadLimitsFollowRules guards against heads that are held to a limit below that of rules
// that may be in force, after a raise or after it was taken back.
func TestHeadLimitsFollowRules(t *testing.T) {
	s := newTestServer(t, nil)
	limits := &s.options.CurrentRouting().Rules.Limits
	check := func(name string, bytes int64, timeout, slowAfter time.Duration) {
		t.Helper()
		want := sockets.HeadLimits{
			Bytes:     bytes + headSlop,
			Timeout:   timeout,
			SlowAfter: slowAfter,
		}
		if got := s.limits(); got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
	check("no statement", minHeadBytes, headerTimeout, headerTimeout)
	lower := tarragonwell.CallerLimits{
		HeadBytes:   16384,
		HeadTimeout: 3 * time.Second,
	}
	*limits = lower
	check("lower", minHeadBytes, headerTimeout, 3*time.Second)
	*limits = tarragonwell.CallerLimits{
		HeadBytes:   200_000,
		HeadTimeout: 20 * time.Second,
	}
	check("higher", 200_000, 20*time.Second, 20*time.Second)
	*limits = lower
	check("taken back", 200_000, 20*time.Second, 20*time.Second)
}

// TestHTTP2HeadsAreCounted guards against streams of an HTTP/2 connection whose heads take
// memory that nothing bounds, and against their memory staying reserved.
func TestHTTP2HeadsAreCounted(t *testing.T) {
	s := newTestServer(t, nil)
	s.options.HTTP2 = true
	s.guard = s.newGuard()
	s.options.Common.HeadBytes.SetLimit(100 * 1024)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := s.HTTP()
	go func() { _ = server.Serve(s.Listen(l)) }()
	defer server.Close()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{
		Transport: &http.Transport{
			Protocols: protocols,
		},
	}
	// The path has no route, so a request that is not rejected before gets status 404.
	for fields, want := range map[int]int{
		10:  http.StatusNotFound,
		400: http.StatusServiceUnavailable,
	} {
		r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/none", nil)
		if err != nil {
			t.Fatal(err)
		}
		for n := range fields {
			r.Header.Set(fmt.Sprintf("X-%d", n), "v")
		}
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got := response.StatusCode; got != want {
			t.Errorf("%d fields: got status %d, want %d", fields, got, want)
		}
	}
	client.CloseIdleConnections()
	_ = server.Close()
	for end := time.Now().Add(10 * time.Second); s.options.Common.HeadBytes.Reserved() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("reserved afterwards: got %d, want 0", s.options.Common.HeadBytes.Reserved())
		}
	}
}
