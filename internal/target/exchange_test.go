package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// rawTarget answers the first request of each connection; what it does with
// later ones is up to the test. It counts the requests that it read whole.
type rawTarget struct {
	listener net.Listener
	read     atomic.Int64
	later    func(c net.Conn)
}

func startRawTarget(t *testing.T, later func(net.Conn)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawTarget{
		listener: l,
		later:    later,
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *rawTarget) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		r.read.Add(1)
		if n > 0 {
			r.later(c)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func newTarget(t *testing.T, address string) *Client {
	t.Helper()
	x := New(Options{
		Listed: tarragonwell.ListedTarget{
			Address: address,
		},
		Connections: 4,
	})
	t.Cleanup(x.transport.CloseIdleConnections)
	return x
}

func callOf(method string, body string, repeatable bool) *tarragonwell.Call {
	return &tarragonwell.Call{
		ID:         "id",
		Method:     method,
		RequestURI: "/x",
		Header: map[string][]string{
			"Idempotency-Key":   {"k"},
			"X-Idempotency-Key": {"k"},
		},
		Body:     []byte(body),
		Deadline: time.Now().Add(5 * time.Second),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{
				Repeatable: repeatable,
			},
		},
	}
}

func exchangeAndRead(x *Client, c *tarragonwell.Call) error {
	a, err := x.Send(context.Background(), c)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// TestNothingIsResentUnnoticed holds against a target that reads a whole
// request, so may have run it, and closes a reused connection.
func TestNothingIsResentUnnoticed(t *testing.T) {
	for _, x := range []struct{ method, body string }{
		{
			method: http.MethodPost,
			body:   "release",
		},
		{
			method: http.MethodPost,
			body:   "",
		},
		{
			method: http.MethodGet,
			body:   "",
		},
		{
			method: http.MethodPut,
			body:   "renew",
		},
		{
			method: http.MethodDelete,
			body:   "",
		},
		{
			method: http.MethodOptions,
			body:   "",
		},
	} {
		raw := startRawTarget(t, func(net.Conn) {})
		target := newTarget(t, raw.listener.Addr().String())
		if err := exchangeAndRead(target, callOf(x.method, x.body, false)); err != nil {
			t.Fatal(err)
		}
		err := exchangeAndRead(target, callOf(x.method, x.body, false))
		var e *tarragonwell.AttemptError
		if !errors.As(err, &e) || e.Stage != tarragonwell.StageSent {
			t.Errorf("%s %q: got %v, want an error of what was sent", x.method, x.body, err)
		}
		if got, want := raw.read.Load(), int64(2); got != want {
			t.Errorf("%s %q: the target read %d requests, want %d", x.method, x.body, got, want)
		}
	}
}

func TestStageOfFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	refused := newTarget(t, closed.Addr().String())
	silent := startRawTarget(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	quiet := newTarget(t, silent.listener.Addr().String())
	late := callOf(http.MethodPost, "x", false)
	late.Deadline = time.Now().Add(-time.Millisecond)
	tests := []struct {
		name   string
		target *Client
		call   *tarragonwell.Call
		want   tarragonwell.AttemptStage
	}{
		{
			name:   "nobody listens",
			target: refused,
			call:   callOf(http.MethodPost, "x", false),
			want:   tarragonwell.StageNotSent,
		},
		{
			name:   "woken after the deadline",
			target: quiet,
			call:   late,
			want:   tarragonwell.StageNotSent,
		},
		{
			name:   "no answer in time",
			target: quiet,
			call:   callOf(http.MethodPost, "x", false),
			want:   tarragonwell.StageSent,
		},
	}
	for _, x := range tests {
		if x.target == quiet {
			// The connection that the call will use.
			if err := exchangeAndRead(quiet, callOf(http.MethodGet, "", false)); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := x.target.Send(ctx, x.call)
		cancel()
		var e *tarragonwell.AttemptError
		if !errors.As(err, &e) {
			t.Fatalf("%s: got %v", x.name, err)
		}
		if got := e.Stage; got != x.want {
			t.Errorf("%s: got stage %v (%v), want %v", x.name, got, err, x.want)
		}
	}
}

// TestNoWriteAfterTheDeadline holds the late send of a process that was paused
// between its decision and the write.
func TestNoWriteAfterTheDeadline(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := &trackedConn{
		Conn: a,
	}
	before := c.arm(time.Now().Add(-time.Nanosecond))
	_, err := c.Write([]byte("x"))
	if got, want := errors.Is(err, errTooLate), true; got != want {
		t.Errorf("got %v", err)
	}
	if got, want := c.writes.Load(), before; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}

func TestRefusalsAndSwaps(t *testing.T) {
	answers := make(chan http.Header, 1)
	server := http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for k, v := range <-answers {
				w.Header()[k] = v
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	x := newTarget(t, l.Addr().String())
	tests := []struct {
		name    string
		header  http.Header
		stage   tarragonwell.AttemptStage
		leaving bool
	}{
		{
			name:    "shed",
			header:  http.Header{HeaderNotRun: {"shed"}, HeaderLoad: {"running=5, waiting=2, slots=5"}},
			stage:   tarragonwell.StageRefused,
			leaving: false,
		},
		{
			name:    "draining",
			header:  http.Header{HeaderNotRun: {"draining"}},
			stage:   tarragonwell.StageRefused,
			leaving: true,
		},
		{
			name:    "another request's answer",
			header:  http.Header{HeaderAttemptID: {"other"}},
			stage:   tarragonwell.StageSent,
			leaving: false,
		},
		{
			name:    "another request's refusal",
			header:  http.Header{HeaderAttemptID: {"other"}, HeaderNotRun: {"shed"}},
			stage:   tarragonwell.StageSent,
			leaving: false,
		},
	}
	for _, test := range tests {
		answers <- test.header
		_, err := x.Send(context.Background(), callOf(http.MethodPost, "x", false))
		var e *tarragonwell.AttemptError
		if !errors.As(err, &e) {
			t.Fatalf("%s: got %v, want an ExchangeError", test.name, err)
		}
		if got, want := e.Stage, test.stage; got != want {
			t.Errorf("%s: got stage %v, want %v", test.name, got, want)
		}
		if got, want := e.Leaving, test.leaving; got != want {
			t.Errorf("%s: got leaving %v, want %v", test.name, got, want)
		}
	}
	answers <- http.Header{}
	a, err := x.Send(context.Background(), callOf(http.MethodPost, "x", false))
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("a plain 503 is an answer: got %v, %v", a, err)
	}
}
