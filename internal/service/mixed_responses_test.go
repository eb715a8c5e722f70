package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// startRepeatingTarget starts a target that sends each response a second time, late, on
// the same connection. The body of a response is the path of its request.
func startRepeatingTarget(t *testing.T, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatResponses(c, delay)
		}
	}()
	return l.Addr().String()
}

func repeatResponses(c net.Conn, delay time.Duration) {
	defer c.Close()
	var mu sync.Mutex
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			target.HeaderAttemptID, r.Header.Get(target.HeaderAttemptID), len(r.URL.Path), r.URL.Path)
		send := func() {
			mu.Lock()
			defer mu.Unlock()
			// The connection may be closed by then.
			_, _ = io.WriteString(c, response)
		}
		send()
		time.AfterFunc(delay, send)
	}
}

// TestLateSecondCopyOfResponse checks that no caller gets the response to another call
// when a target sends a second copy of it, at any moment of the next call on the same
// connection.
func TestLateSecondCopyOfResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			f := startService(t, startRepeatingTarget(t, delay), startScriptedTarget(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, r.URL.Path)
			}).address)
			for n := range 300 {
				path := fmt.Sprintf("/call-%d", n)
				r := f.Dispatch(f.ctx, &tarragonwell.Call{
					ID:         path,
					Method:     http.MethodPost,
					RequestURI: path,
					Route: &tarragonwell.Route{
						Service: f.rule,
						Kind: &tarragonwell.Kind{
							Name:       "k",
							Repeatable: n%2 == 0,
							Timeout:    callTimeout,
							Weight:     1,
							SlotShare:  1,
						},
					},
					Deadline:    time.Now().Add(callTimeout),
					RetriesLeft: 1,
				})
				if r.Response == nil {
					continue
				}
				body, err := io.ReadAll(r.Response.Body)
				_ = r.Response.Body.Close()
				if got := string(body); err == nil && got != path {
					t.Fatalf("call %d: got the response to %s", n, got)
				}
			}
		})
	}
}

// TestResumedDownloadOfChangedDocument checks that a download which is interrupted, and of
// which the other target has another version, is broken off rather than mixed.
func TestResumedDownloadOfChangedDocument(t *testing.T) {
	const length = 20
	first := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"old"`)
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, _ = io.WriteString(w, "old--")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, second := range map[string]func(http.ResponseWriter, *http.Request){
		"partial response with another validator": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"new"`)
			w.Header().Set("Content-Range", fmt.Sprintf("bytes 5-%d/%d", length-1, length))
			w.Header().Set("Content-Length", fmt.Sprint(length-5))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(make([]byte, length-5))
		},
		"whole response": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"new"`)
			_, _ = w.Write(make([]byte, length))
		},
		"partial response with another range": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"old"`)
			w.Header().Set("Content-Range", fmt.Sprintf("bytes 4-%d/%d", length-1, length))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(make([]byte, length-4))
		},
	} {
		s := startScriptedTarget(t, first, second)
		f := startService(t, s.address)
		r := f.call(http.MethodGet, true)
		if r.Response == nil {
			t.Fatalf("%s: got no response: %s", name, r.Reason)
		}
		body, err := io.ReadAll(r.Response.Body)
		_ = r.Response.Body.Close()
		if err == nil {
			t.Errorf("%s: got %q as a complete response, want an error", name, body)
		}
		if got, want := string(body), "old--"; got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}
