package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// largeBody is more than the buffers of a connection hold.
const largeBody = 64 << 20

// lastBody is more than a caller with a small window receives at once, and less than the buffers
// of a connection hold.
const lastBody = 540_000

// shiftedClock is the system's clock, set forward.
type shiftedClock struct {
	common.SystemClock
	shift atomic.Int64
}

// Now implements tarragonwell.Clock.
func (c *shiftedClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.shift.Load()))
}

func (c *shiftedClock) advance(d time.Duration) {
	c.shift.Add(int64(d))
}

// guardFixture is a server behind a guard. Its handler echoes the body and the query of a request, waits
// for release before if the path is /wait, or for that or its caller to leave if it is /left, which is
// followed by largeBody bytes if the query is large, or responds with largeBody bytes if it is /large. If it
// is /kept it responds with lastBody bytes; if it is /last too, but waits for release before and
// closes the connection after them. If it is /broken it breaks its response off.
type guardFixture struct {
	guard       *Guard
	clock       shiftedClock
	address     string
	connections *common.ByteBudget
	heads       *common.ByteBudget
	maxBytes    atomic.Int64
	// waiting counts the requests that wait for release.
	waiting atomic.Int64
	// left counts those whose caller has left.
	left    atomic.Int64
	release chan struct{}
}

func startGuarded(t *testing.T, maxConnections int, headBytes int64) *guardFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &guardFixture{
		address:     l.Addr().String(),
		connections: &common.ByteBudget{},
		heads: &common.ByteBudget{
			Limit: headBytes,
		},
		release: make(chan struct{}),
	}
	f.maxBytes.Store(64 << 10)
	g := NewGuard(GuardOptions{
		MaxConnections:  maxConnections,
		ConnectionBytes: f.connections,
		HeadBytes:       f.heads,
		LargeHeadBytes: &common.ByteBudget{
			Parent: f.heads,
		},
		Limits: func() HeadLimits {
			return HeadLimits{
				Bytes:     f.maxBytes.Load(),
				Timeout:   time.Minute,
				SlowAfter: time.Minute,
			}
		},
		ServerHeadTimeout: time.Minute,
		Unavailable:       []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		TooLarge:          []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n\r\n"),
		HTTP2:             true,
		Clock:             &f.clock,
		Log:               log.New(io.Discard),
		Metrics:           metrics.NewSet(),
	})
	f.guard = g
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/wait":
				f.waiting.Add(1)
				<-f.release
			case "/left":
				f.waiting.Add(1)
				select {
				case <-f.release:
				case <-r.Context().Done():
					f.left.Add(1)
				}
				if r.URL.RawQuery == "large" {
					_, _ = w.Write(make([]byte, largeBody))
					if r.Context().Err() != nil {
						f.left.Add(1)
					}
					return
				}
			case "/large":
				_, _ = w.Write(make([]byte, largeBody))
				return
			case "/broken":
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case "/kept":
				w.Header().Set("Content-Length", strconv.Itoa(lastBody))
				_, _ = w.Write(make([]byte, lastBody))
				return
			case "/last":
				f.waiting.Add(1)
				<-f.release
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(lastBody))
				_, _ = w.Write(make([]byte, lastBody))
				return
			}
			// net/http reads no more of a body once a response has begun.
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = w.Write(body)
			_, _ = io.WriteString(w, r.URL.RawQuery)
		}),
	}
	g.Attach(server)
	go func() { _ = server.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

// dial opens a connection that is closed at the end of the test.
func (f *guardFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// send writes text. Errors are those of a connection that the guard has closed.
func send(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
}

// status reads a response and returns its status, or 0 if there is none.
func status(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after 20 s", what)
		}
	}
}

func lines(n int) string {
	return strings.Repeat("a:\r\n", n)
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n"

// TestGuardKeepsRequestsApart guards against a guard that loses, reorders or miscounts bytes
// of requests that follow each other on a connection, however they are split, and against
// memory that stays reserved afterwards.
func TestGuardKeepsRequestsApart(t *testing.T) {
	const rounds = 40
	f := startGuarded(t, 0, 1<<20)
	for seed := range uint64(rounds) {
		random := rand.New(rand.NewPCG(seed, 1))
		var text strings.Builder
		var want []string
		for range 1 + random.IntN(6) {
			body := strings.Repeat("x\r\n", random.IntN(4000))
			switch random.IntN(3) {
			case 0:
				body = ""
				text.WriteString(get + lines(random.IntN(20)) + "\r\n")
			case 1:
				fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			default:
				text.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
				if body != "" {
					fmt.Fprintf(&text, "%x;extension=1\r\n%s\r\n", len(body), body)
				}
				text.WriteString("0\r\n" + strings.Repeat("Trailer-Line: 1\r\n", random.IntN(3)) + "\r\n")
			}
			want = append(want, body)
		}
		c := f.dial(t)
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(len(rest), 1+random.IntN(5000))
				send(c, rest[:n])
				rest = rest[n:]
			}
		}()
		r := bufio.NewReader(c)
		for n := range want {
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("seed %d, response %d: %v", seed, n, err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || string(got) != want[n] || response.StatusCode != http.StatusOK {
				t.Fatalf("seed %d, response %d: got status %d with %d bytes and %v, want 200 with %d", seed, n, response.StatusCode, len(got), err, len(want[n]))
			}
		}
		_ = c.Close()
	}
	await(t, "nothing is reserved", func() bool { return f.heads.Reserved() == 0 && f.connections.Reserved() == 0 })
}

// TestHeadIsReservedUntilItsRequestEnds guards against heads in flight that are not counted,
// so that others are received beyond the limit.
func TestHeadIsReservedUntilItsRequestEnds(t *testing.T) {
	f := startGuarded(t, 0, 1<<20)
	head := "GET /wait HTTP/1.1\r\nHost: a\r\n" + lines(2000) + "\r\n"
	first := f.dial(t)
	send(first, head)
	await(t, "the first request is handled", func() bool { return f.waiting.Load() == 1 })
	second := f.dial(t)
	send(second, head)
	if got, want := status(second), http.StatusServiceUnavailable; got != want {
		t.Errorf("second head: got status %d, want %d", got, want)
	}
	small := f.dial(t)
	send(small, get+"\r\n")
	if got, want := status(small), http.StatusOK; got != want {
		t.Errorf("small head: got status %d, want %d", got, want)
	}
	close(f.release)
	if got, want := status(first), http.StatusOK; got != want {
		t.Errorf("first head: got status %d, want %d", got, want)
	}
}

// TestFullAccountRejectsHeads guards against heads that are received although bodies have
// taken all memory, and against callers that get no response then.
func TestFullAccountRejectsHeads(t *testing.T) {
	f := startGuarded(t, 0, 0)
	memory := &common.ByteBudget{
		Limit: 1 << 20,
	}
	f.heads.Parent = memory
	if !memory.Reserve(1 << 20) {
		t.Fatal("reserve: got false, want true")
	}
	c := f.dial(t)
	send(c, get+"\r\n")
	if got, want := status(c), http.StatusServiceUnavailable; got != want {
		t.Errorf("while the memory is taken: got status %d, want %d", got, want)
	}
	memory.Release(1 << 20)
	c = f.dial(t)
	send(c, get+"\r\n")
	if got, want := status(c), http.StatusOK; got != want {
		t.Errorf("afterwards: got status %d, want %d", got, want)
	}
}

// TestHeadLimitAppliesToNewHeads guards against a head that is refused because the limit was
// lowered while it was received.
func TestHeadLimitAppliesToNewHeads(t *testing.T) {
	f := startGuarded(t, 0, 0)
	c := f.dial(t)
	send(c, get)
	await(t, "a part of the head is received", func() bool { return f.heads.Reserved() > 0 })
	f.maxBytes.Store(1000)
	send(c, lines(1000)+"\r\n")
	if got, want := status(c), http.StatusOK; got != want {
		t.Errorf("head that was begun before: got status %d, want %d", got, want)
	}
	send(c, get+lines(1000)+"\r\n")
	if got, want := status(c), http.StatusRequestHeaderFieldsTooLarge; got != want {
		t.Errorf("next head: got status %d, want %d", got, want)
	}
}

// TestIdleConnectionIsClosedForNewOne guards against callers that are locked out by
// connections that are open and not used, also over HTTP/2, and against closing one whose
// request is in progress.
func TestIdleConnectionIsClosedForNewOne(t *testing.T) {
	for _, isHTTP2 := range []bool{false, true} {
		f := startGuarded(t, 2, 0)
		answered := make(chan error, 1)
		go func() { answered <- f.exchange(isHTTP2, "/wait") }()
		await(t, "the request is handled", func() bool { return f.waiting.Load() == 1 })
		if err := f.exchange(isHTTP2, "/"); err != nil {
			t.Fatal(err)
		}
		await(t, "another caller is answered", func() bool {
			c := f.dial(t)
			send(c, get+"\r\n")
			return status(c) == http.StatusOK
		})
		close(f.release)
		if err := <-answered; err != nil {
			t.Errorf("HTTP/2 %v: request in progress: got %v, want no error", isHTTP2, err)
		}
	}
}

// exchange sends a request on a connection of its own, which stays open.
func (f *guardFixture) exchange(isHTTP2 bool, path string) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!isHTTP2)
	protocols.SetUnencryptedHTTP2(isHTTP2)
	client := &http.Client{
		Transport: &http.Transport{
			Protocols: protocols,
		},
	}
	response, err := client.Get("http://" + f.address + path)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}

// TestUnreadResponseIsClosedForNewConnection guards against callers that are locked out by
// others that do not read their responses, against closing a connection whose request is worked
// on, and against a response that is cut and looks complete, also over HTTP/1.0, where it ends
// with the connection.
func TestUnreadResponseIsClosedForNewConnection(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		f := startGuarded(t, 2, 0)
		working, unread := f.dial(t), f.dial(t)
		send(working, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		await(t, "the request is handled", func() bool { return f.waiting.Load() == 1 })
		send(unread, "GET /large HTTP/"+version+"\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(unread), nil)
		if err != nil {
			t.Fatal(err)
		}
		await(t, "another caller is answered", func() bool {
			f.clock.advance(admission.UnreadGrace)
			c := f.dial(t)
			defer c.Close()
			send(c, get+"\r\n")
			return status(c) == http.StatusOK
		})
		if n, err := io.Copy(io.Discard, response.Body); err == nil {
			t.Errorf("HTTP/%s: unread response: got %d of %d bytes without an error, want an error", version, n, largeBody)
		}
		close(f.release)
		if got, want := status(working), http.StatusOK; got != want {
			t.Errorf("HTTP/%s: request that was worked on: got status %d, want %d", version, got, want)
		}
	}
}

// slowConn is a connection that calls afterWrite before a write returns.
type slowConn struct {
	net.Conn
	afterWrite func()
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.afterWrite()
	return n, err
}

// TestSlowReaderIsKept guards against closing the connection of a caller that reads a large
// response slowly, as if it did not read.
func TestSlowReaderIsKept(t *testing.T) {
	f := startGuarded(t, 1, 0)
	ours, caller := net.Pipe()
	other, left := net.Pipe()
	_ = left.Close()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	parts := 0
	c := f.guard.open(&slowConn{
		Conn: ours,
		afterWrite: func() {
			parts++
			f.clock.advance(admission.UnreadGrace * 9 / 10)
			if f.guard.open(other) != nil {
				t.Errorf("part %d: got room for another connection, want none", parts)
			}
		},
	})
	if !f.guard.table.BeginRequest(c.entry, f.clock.Now()) {
		t.Fatal("request: got false, want true")
	}
	got, err := c.Write(make([]byte, 1<<20))
	if want := 1 << 20; got != want || err != nil || parts < 2 {
		t.Errorf("got %d bytes in %d parts and %v, want %d in several and no error", got, parts, err, want)
	}
}
