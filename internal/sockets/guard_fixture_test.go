package sockets

import (
	"bufio"
	"io"
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
