package sockets

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialSmallWindow opens a connection with a receive buffer that holds a part of lastBody.
func dialSmallWindow(t *testing.T, address string) net.Conn {
	t.Helper()
	const bufferBytes = 48 << 10
	d := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
			})
		},
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestLastResponseIsDelivered guards against a response that is cut off by a reset, as the
// connection is closed after it while a further request waits there unread.
func TestLastResponseIsDelivered(t *testing.T) {
	for name, x := range map[string]struct {
		// pause is the time after which the caller begins to read.
		pause time.Duration
		// further is sent behind the request.
		further string
	}{
		"further request": {
			further: "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
			pause:   2 * deliveredTimeout,
		},
		"further part": {
			further: "GET / HT",
			pause:   2 * deliveredTimeout,
		},
		"nothing sent behind": {
			pause: 2 * deliveredTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startGuarded(t, 0, 0)
			conn := dialSmallWindow(t, f.address)
			fmt.Fprint(conn, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
			for f.waiting.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			fmt.Fprint(conn, x.further)
			close(f.release)
			time.Sleep(x.pause)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, response.Body)
			if got, want := n, int64(lastBody); got != want || err != nil {
				t.Errorf("got %d bytes and error %v, want %d", got, err, want)
			}
			// The caller does not close the connection.
			ctx, cancel := context.WithTimeout(t.Context(), lingerTimeout)
			defer cancel()
			f.guard.Drain(ctx, time.Now().Add(lingerTimeout))
			if ctx.Err() != nil {
				t.Error("the connection is still open")
			}
		})
	}
}

// TestBrokenResponseIsNotWhole guards against a response that breaks off and looks complete, as
// over HTTP/1.0 the end of the connection ends it.
func TestBrokenResponseIsNotWhole(t *testing.T) {
	f := startGuarded(t, 0, 0)
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn := f.dial(t)
		fmt.Fprintf(conn, "GET /broken %s\r\nHost: h\r\n\r\n", version)
		content := []byte(nil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			content, err = io.ReadAll(response.Body)
		}
		if err == nil {
			t.Errorf("%s: got %q as a complete response, want an error", version, content)
		}
	}
}

// TestLingerProgress checks when a connection that is being closed is given up: not while its
// caller goes on receiving, however slowly.
func TestLingerProgress(t *testing.T) {
	const step = lingerTimeout - time.Second
	for name, x := range map[string]struct {
		// left are the bytes left after each step, and after is the time since the last one.
		left  []int
		after time.Duration
		want  bool
	}{
		"slow": {
			left:  []int{3, 2, 1},
			after: step,
		},
		"stopped": {
			left:  []int{3, 3},
			after: step,
			want:  true,
		},
		"unknown": {
			left:  []int{unsentUnknown, unsentUnknown},
			after: step,
			want:  true,
		},
		"just received": {
			left:  []int{3, 0},
			after: deliveredTimeout / 2,
		},
		"received": {
			left:  []int{3, 0},
			after: deliveredTimeout,
			want:  true,
		},
	} {
		now := time.Now()
		progress := lingerProgress{
			since: now,
			left:  x.left[0],
		}
		for _, left := range x.left[1:] {
			now = now.Add(step)
			progress.record(now, left)
		}
		if got := progress.isOver(now.Add(x.after)); got != x.want {
			t.Errorf("%s: got %t, want %t", name, got, x.want)
		}
	}
}
