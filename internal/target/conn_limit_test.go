package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// startHoldingTarget starts a target that holds all responses back until release is
// closed, and returns its address and the count of the requests that reached it.
func startHoldingTarget(t *testing.T, release <-chan struct{}) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			<-release
			_, _ = io.WriteString(w, "whole")
		}),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), requests
}

// TestConnectionsOfBothTransports checks that calls of both sorts together open no more
// connections than the client's share, that all are served in the end, and that a changed
// share takes effect while the client runs.
func TestConnectionsOfBothTransports(t *testing.T) {
	const share = 4
	// settle is longer than it takes to open a connection.
	const settle = 200 * time.Millisecond
	release := make(chan struct{})
	address, requests := startHoldingTarget(t, release)
	cl := New(Options{
		Common: &common.Dependencies{
			Clock: common.SystemClock{},
		},
		Listed: tarragonwell.ListedTarget{
			Address: address,
		},
		Connections: share,
	})
	t.Cleanup(cl.closeIdleConnections)
	var calls sync.WaitGroup
	for n := range 20 {
		calls.Go(func() {
			if err := sendAndRead(cl, newCall(http.MethodGet, "", n%2 == 0)); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(settle)
	if got, want := requests.Load(), int64(share); got != want {
		t.Errorf("requests at the same time: got %d, want %d", got, want)
	}
	cl.SetConnections(share + 2)
	time.Sleep(settle)
	if got, want := requests.Load(), int64(share+2); got != want {
		t.Errorf("requests with a larger share: got %d, want %d", got, want)
	}
	cl.SetConnections(minConnections)
	close(release)
	calls.Wait()
	cl.closeIdleConnections()
	for begin := time.Now(); cl.limit.open.Load() > 0 && time.Since(begin) < time.Second; {
		time.Sleep(time.Millisecond)
	}
	if got, want := cl.limit.open.Load(), int64(0); got != want {
		t.Errorf("counted at the end: got %d connections, want %d", got, want)
	}
}

// TestConnLimitWaitEnds checks that a dial that waits for the limit ends with its
// context.
func TestConnLimitWaitEnds(t *testing.T) {
	l := newConnLimit(minConnections, func() {})
	for range minConnections {
		if err := l.acquire(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if err := l.acquire(ctx); err == nil {
		t.Error("got no error, want that of the context")
	}
	l.release()
	if err := l.acquire(context.Background()); err != nil {
		t.Errorf("after a release: got %v, want no error", err)
	}
}

// TestDeadlineHeader checks which deadline a target gets: that of the call or, for a long
// call, whose deadline bounds only the first byte, the one that its caller stated.
func TestDeadlineHeader(t *testing.T) {
	for _, long := range []bool{false, true} {
		c := newCall(http.MethodGet, "", true)
		c.Route.Kind.Long = long
		c.Deadline = time.UnixMilli(2000)
		h := http.Header{
			HeaderDeadline: {"7000"},
		}
		Dialect{}.SetCallHeader(c, nil, 0, h)
		want := "2000"
		if long {
			want = "7000"
		}
		if got := h.Get(HeaderDeadline); got != want {
			t.Errorf("long %v: got %s, want %s", long, got, want)
		}
	}
}
