package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/tcp"
)

// TestEarlyResponseWithoutLength guards against a part of a response that passes for the whole:
// the target responds without a length while the call is still being written, and then resets
// the connection, at once or after it has ended its side. Without a reset, that end ends the body.
func TestEarlyResponseWithoutLength(t *testing.T) {
	const (
		calls = 100
		body  = "0123456789"
	)
	upload := string(make([]byte, 8<<20))
	reset := func(c *net.TCPConn) {
		// The response is being read and the call written at this time.
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for name, x := range map[string]struct {
		head string
		// end ends the connection, which is closed when it returns.
		end  func(*net.TCPConn)
		want int
	}{
		"reset": {
			head: "HTTP/1.1 200 OK\r\n\r\n",
			end:  reset,
		},
		"reset after a response with connection close": {
			head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
			end:  reset,
		},
		"reset with HTTP/1.0": {
			head: "HTTP/1.0 200 OK\r\n\r\n",
			end:  reset,
		},
		"reset after the end of the target's side": {
			head: "HTTP/1.1 200 OK\r\n\r\n",
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_ = c.SetLinger(0)
			},
		},
		"end of a target that reads on": {
			head: "HTTP/1.1 200 OK\r\n\r\n",
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			},
			want: calls,
		},
		"end of a target that does not read on": {
			head: "HTTP/1.1 200 OK\r\n\r\n",
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(time.Second)
			},
			want: calls,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := tcp.StartForTest(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 512))
				_, _ = io.WriteString(c, x.head+body)
				x.end(c)
			})
			complete := 0
			for range calls {
				cl := newClient(t, address)
				response, err := cl.Send(context.Background(), newCall(http.MethodPost, upload, true))
				if err != nil {
					continue
				}
				content, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil {
					complete++
				}
				if got, want := string(content), body; err == nil && got != want {
					t.Fatalf("got %q as a complete response, want %q", got, want)
				}
			}
			if got := complete; got != x.want {
				t.Errorf("got %d of %d responses as complete, want %d", got, calls, x.want)
			}
		})
	}
}

// endedConn is a connection whose stream has ended and whose writes fail.
type endedConn struct {
	net.Conn
	writeErr error
}

func (c endedConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

func (c endedConn) Write([]byte) (int, error) {
	return 0, c.writeErr
}

// TestEndOfStreamAfterFailedWrite checks which failures of a write show that the end of the stream
// is not the target's own.
func TestEndOfStreamAfterFailedWrite(t *testing.T) {
	for _, x := range []struct {
		writeErr error
		want     error
	}{
		{
			writeErr: syscall.ECONNRESET,
			want:     syscall.ECONNRESET,
		},
		{
			writeErr: syscall.ETIMEDOUT,
			want:     syscall.ETIMEDOUT,
		},
		{
			// The target has ended its stream and then reset the connection.
			writeErr: syscall.EPIPE,
			want:     syscall.EPIPE,
		},
		{
			writeErr: os.ErrDeadlineExceeded,
			want:     io.EOF,
		},
	} {
		c := &trackedConn{
			Conn: endedConn{
				writeErr: &net.OpError{
					Op:  "write",
					Err: os.NewSyscallError("write", x.writeErr),
				},
			},
		}
		_, _ = c.Write([]byte("x"))
		if _, got := c.Read(make([]byte, 1)); !errors.Is(got, x.want) {
			t.Errorf("%v: got %v, want %v", x.writeErr, got, x.want)
		}
	}
}

// callOnKeptConnection returns the error of a call that gets the response on a connection which has
// carried another one.
func callOnKeptConnection(t *testing.T, response string) error {
	t.Helper()
	raw := startRawTarget(t, func(c net.Conn) { _, _ = io.WriteString(c, response) })
	cl := newClient(t, raw.address)
	if err := sendAndRead(cl, newCall(http.MethodGet, "", true)); err != nil {
		t.Fatal(err)
	}
	return sendAndRead(cl, newCall(http.MethodGet, "", true))
}

// probeOnce sends a probe to a server that sends the response, and returns the error of the probe.
func probeOnce(t *testing.T, response string) error {
	t.Helper()
	address := tcp.StartForTest(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	})
	reports := make(chan ProbeReport, 1)
	cl := New(Options{
		Common: &common.Dependencies{
			Clock: common.SystemClock{},
		},
		Listed: tarragonwell.ListedTarget{
			Address: address,
		},
		Report: func(r ProbeReport) { reports <- r },
	})
	t.Cleanup(cl.closeIdleConnections)
	cl.ProbeForPlacement(context.Background())
	return (<-reports).Err
}

// TestHeads guards against responses with a malformed head, which callers would get as responses
// of the target. One on a kept connection has to be an error of a call that may have run, one on
// a new connection that of a probe.
func TestHeads(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		fields = "Content-Length: 2\r\n"
		body   = "\r\n{}"
	)
	valid := map[string]string{
		"valid":                               ok + fields + body,
		"valid with HTTP/1.0":                 "HTTP/1.0 200 OK\r\n" + fields + body,
		"valid without a reason":              "HTTP/1.1 200\r\n" + fields + body,
		"valid after informational responses": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + fields + body,
		"highest status":                      "HTTP/1.1 599 Fail\r\n" + fields + body,
		"valid fields of all sorts":           ok + "!#$%&'*+-.^_`|~09azAZ: a\tb\xe9\nX:\r\n" + fields + body,
	}
	malformed := map[string]string{
		"status 000":                                   "HTTP/1.1 000 OK\r\n" + fields + body,
		"refusal with status 000":                      "HTTP/1.1 000 Busy\r\n" + HeaderNotRun + ": shed\r\n" + fields + body,
		"status below 100":                             "HTTP/1.1 099 OK\r\n" + fields + body,
		"status above 599":                             "HTTP/1.1 600 OK\r\n" + fields + body,
		"status with a sign":                           "HTTP/1.1 +20 OK\r\n" + fields + body,
		"status 000 after an informational response":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + fields + body,
		"protocol switch that nobody asked for":        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n" + fields + body,
		"two blanks before the status":                 "HTTP/1.1  200 OK\r\n" + fields + body,
		"other major version":                          "HTTP/2.0 200 OK\r\n" + fields + body,
		"length with a blank before the colon":         ok + "Content-Length : 2\r\n" + body,
		"chunks with a blank before the colon":         ok + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"blank in a name":                              ok + "X Y: 1\r\n" + fields + body,
		"tab in a name":                                ok + "X\tY: 1\r\n" + fields + body,
		"control byte in a name":                       ok + "X\x01Y: 1\r\n" + fields + body,
		"null byte before the colon":                   ok + "X\x00: 1\r\n" + fields + body,
		"carriage return in a name":                    ok + "X\rY: 1\r\n" + fields + body,
		"byte above ASCII in a name":                   ok + "X\xe9: 1\r\n" + fields + body,
		"empty name":                                   ok + ": 1\r\n" + fields + body,
		"no colon":                                     ok + "X\r\n" + fields + body,
		"blank before the first name":                  ok + " X: 1\r\n" + fields + body,
		"blank before a name":                          ok + "X: 1\r\n " + fields + body,
		"tab before a name":                            ok + "X: 1\r\n\t" + fields + body,
		"line of blanks":                               ok + fields + "  \r\n" + body,
		"control byte in a value":                      ok + "X: a\x01b\r\n" + fields + body,
		"blank in a name of an informational response": "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + ok + fields + body,
		"chunks with HTTP/1.0":                         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	}
	for name, response := range valid {
		t.Run(name, func(t *testing.T) {
			if err := callOnKeptConnection(t, response); err != nil {
				t.Errorf("call: got %v, want no error", err)
			}
			if err := probeOnce(t, response); err != nil {
				t.Errorf("probe: got %v, want no error", err)
			}
		})
	}
	for name, response := range malformed {
		t.Run(name, func(t *testing.T) {
			var e *tarragonwell.AttemptError
			if err := callOnKeptConnection(t, response); !errors.As(err, &e) || e.Stage != tarragonwell.StageSent {
				t.Errorf("call: got %v, want an AttemptError with StageSent", err)
			}
			if err := probeOnce(t, response); !errors.Is(err, ErrProbe) {
				t.Errorf("probe: got %v, want ErrProbe", err)
			}
		})
	}
}
