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
	tests := []struct {
		name       string
		operations *operations.Operations
		want       string
	}{
		{
			name: "without tickets",
			want: "not-run",
		},
		{
			name:       "with tickets",
			operations: &operations.Operations{},
			want:       "unknown",
		},
	}
	for _, tt := range tests {
		s := newTestServer(t, nil)
		s.options.Operations = tt.operations
		text := s.encodeRejection(http.StatusServiceUnavailable, "no room")
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: got status %d, want %d", tt.name, got, want)
		}
		if got := response.Header.Get(HeaderOutcome); got != tt.want {
			t.Errorf("%s: got outcome %q, want %q", tt.name, got, tt.want)
		}
		if !response.Close || response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got close %v and retry after %q, want both", tt.name, response.Close, response.Header.Get("Retry-After"))
		}
	}
}

// TestHeadLimitsFollowRules guards against heads that are held to a limit below that of rules
// that may be in force, after a raise or after it was taken back.
func TestHeadLimitsFollowRules(t *testing.T) {
	s := newTestServer(t, nil)
	routing := s.options.CurrentRouting()
	tests := []struct {
		name  string
		rules tarragonwell.CallerLimits
		want  sockets.HeadLimits
	}{
		{
			name: "no statement",
			want: sockets.HeadLimits{
				Bytes:     minHeadBytes + headSlop,
				Timeout:   headerTimeout,
				SlowAfter: headerTimeout,
			},
		},
		{
			name: "lower",
			rules: tarragonwell.CallerLimits{
				HeadBytes:   16384,
				HeadTimeout: 3 * time.Second,
			},
			want: sockets.HeadLimits{
				Bytes:     minHeadBytes + headSlop,
				Timeout:   headerTimeout,
				SlowAfter: 3 * time.Second,
			},
		},
		{
			name: "higher",
			rules: tarragonwell.CallerLimits{
				HeadBytes:   200_000,
				HeadTimeout: 20 * time.Second,
			},
			want: sockets.HeadLimits{
				Bytes:     200_000 + headSlop,
				Timeout:   20 * time.Second,
				SlowAfter: 20 * time.Second,
			},
		},
		{
			name: "taken back",
			rules: tarragonwell.CallerLimits{
				HeadBytes:   16384,
				HeadTimeout: 3 * time.Second,
			},
			want: sockets.HeadLimits{
				Bytes:     200_000 + headSlop,
				Timeout:   20 * time.Second,
				SlowAfter: 20 * time.Second,
			},
		},
	}
	for _, tt := range tests {
		routing.Rules.Limits = tt.rules
		if got := s.limits(); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestHTTP2HeadsAreCounted guards against streams of an HTTP/2 connection whose heads take
// memory that nothing bounds, and against their memory staying reserved.
func TestHTTP2HeadsAreCounted(t *testing.T) {
	s := newTestServer(t, nil)
	s.options.HTTP2 = true
	s.guard = s.newGuard()
	s.options.Common.HeadBytes.Limit = 100 * 1024
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
