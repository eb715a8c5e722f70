package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// startServer passes each connection to a function, until the test ends, and returns its address.
func startServer(t *testing.T, serve func(*net.TCPConn)) string {
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
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestEarlyResponseWithoutLength guards against a part of a response that passes for the whole:
// the target responds without a length while the call is still being written, and then resets
// the connection. Only a target that ends its side of the connection has sent all of the response.
func TestEarlyResponseWithoutLength(t *testing.T) {
	const body = "0123456789"
	upload := string(make([]byte, 8<<20))
	for name, x := range map[string]struct {
		head  string
		reset bool
	}{
		"reset": {
			head:  "HTTP/1.1 200 OK\r\n\r\n",
			reset: true,
		},
		"reset after a response with connection close": {
			head:  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
			reset: true,
		},
		"reset with HTTP/1.0": {
			head:  "HTTP/1.0 200 OK\r\n\r\n",
			reset: true,
		},
		"end of the target's side": {
			head: "HTTP/1.1 200 OK\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 512))
				_, _ = io.WriteString(c, x.head+body)
				if x.reset {
					// The call is being read and written at this time.
					time.Sleep(2 * time.Millisecond)
					_ = c.SetLinger(0)
					return
				}
				_ = c.CloseWrite()
				// The target does not read on, and leaves the connection open.
				time.Sleep(time.Second)
			})
			const calls = 100
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
			want := calls
			if x.reset {
				want = 0
			}
			if complete != want {
				t.Errorf("got %d of %d responses as complete, want %d", complete, calls, want)
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
			// The target has ended its stream and then closed the connection.
			writeErr: syscall.EPIPE,
			want:     io.EOF,
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
