package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// leftRequest waits until it is released, or until its caller has left.
const leftRequest = "GET /left HTTP/1.1\r\nHost: a\r\n\r\n"

// TestCloseBehindWaitingRequests guards against work that goes on, and requests that begin, for a
// caller that has closed its connection, because requests wait between the one that is handled and
// the close.
func TestCloseBehindWaitingRequests(t *testing.T) {
	for _, waiting := range []string{"", "G", "GET / HT", leftRequest, strings.Repeat(leftRequest, 3), strings.Repeat(leftRequest, 1000)} {
		for _, x := range []struct {
			name  string
			leave func(c *net.TCPConn)
		}{
			{
				name:  "close",
				leave: func(c *net.TCPConn) { _ = c.Close() },
			},
			{
				name: "reset",
				leave: func(c *net.TCPConn) {
					_ = c.SetLinger(0)
					_ = c.Close()
				},
			},
		} {
			for _, together := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s behind %d bytes, together %t", x.name, len(waiting), together), func(t *testing.T) {
					f := startGuarded(t, 0, 1<<20)
					c := f.dial(t).(*net.TCPConn)
					if together {
						send(c, leftRequest+waiting)
					} else {
						send(c, leftRequest)
					}
					await(t, "the request is handled", func() bool { return f.waiting.Load() == 1 })
					if !together {
						send(c, waiting)
					}
					x.leave(c)
					await(t, "the handler knows that the caller has left", func() bool { return f.left.Load() == 1 })
					await(t, "the connection is closed", func() bool {
						f.guard.mu.Lock()
						defer f.guard.mu.Unlock()
						return f.guard.table.OpenCount() == 0
					})
					if got, want := f.waiting.Load(), int64(1); got != want {
						t.Errorf("got %d requests handled, want %d", got, want)
					}
					if got := f.heads.Reserved(); got != 0 {
						t.Errorf("got %d bytes reserved for heads, want none", got)
					}
				})
			}
		}
	}
}

// TestCallerThatSendsNothingMore guards against a caller that loses its responses because it ends
// what it sends before it has received them, and against responses that are damaged by the watch.
func TestCallerThatSendsNothingMore(t *testing.T) {
	// Callers of HTTP/1.0 send one request at a time.
	for version, counts := range map[string][]int{"1.1": {1, 2, 5}, "1.0": {1}} {
		for _, requests := range counts {
			t.Run(fmt.Sprintf("%d requests over HTTP/%s", requests, version), func(t *testing.T) {
				f := startGuarded(t, 0, 1<<20)
				c := f.dial(t).(*net.TCPConn)
				var text strings.Builder
				for n := range requests {
					fmt.Fprintf(&text, "GET /left?query-%d HTTP/%s\r\nHost: a\r\n\r\n", n, version)
				}
				send(c, text.String())
				_ = c.CloseWrite()
				r := bufio.NewReader(c)
				for n := range requests {
					await(t, "the request is handled", func() bool { return f.waiting.Load() == int64(n)+1 })
					// The watch sees the end of what the caller sends.
					time.Sleep(10 * time.Millisecond)
					select {
					case f.release <- struct{}{}:
					case <-time.After(time.Second):
						t.Fatalf("request %d was given up", n)
					}
					response, err := http.ReadResponse(r, nil)
					if err != nil {
						t.Fatalf("response %d: %v", n, err)
					}
					body, err := io.ReadAll(response.Body)
					if got, want := string(body), fmt.Sprint("query-", n); got != want || err != nil {
						t.Errorf("response %d: got %q and %v, want %q", n, got, err, want)
					}
				}
				if got := f.left.Load(); got != 0 {
					t.Errorf("got %d requests whose caller counts as gone, want none", got)
				}
				if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
					t.Errorf("after the last response: got %q and %v, want the end of the connection", rest, err)
				}
			})
		}
	}
}

// TestLongResponseToCallerThatSendsNothingMore guards against a response that is given up while it is
// written because the watch then takes the end of what the caller sends for a close.
func TestLongResponseToCallerThatSendsNothingMore(t *testing.T) {
	f := startGuarded(t, 0, 1<<20)
	c := f.dial(t).(*net.TCPConn)
	send(c, "GET /left?large HTTP/1.1\r\nHost: a\r\n\r\n")
	_ = c.CloseWrite()
	await(t, "the request is handled", func() bool { return f.waiting.Load() == 1 })
	// The watch sees the end of what the caller sends.
	time.Sleep(10 * time.Millisecond)
	close(f.release)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if got, want := n, int64(largeBody); got != want || err != nil {
		t.Errorf("got %d bytes and %v, want %d", got, err, want)
	}
	if got := f.left.Load(); got != 0 {
		t.Error("the caller counts as gone")
	}
}
