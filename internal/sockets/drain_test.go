package sockets

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDrainDropsNoRequest guards against requests that a stop reads and does not answer, and
// against responses that it cuts off because a further request arrives.
func TestDrainDropsNoRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	// later is when idle connections have been closed.
	const later = 300 * time.Millisecond
	for name, x := range map[string]struct {
		// before and after are sent before the drain and later than its begin.
		before, after string
		// want is the number of responses to after.
		want int
	}{
		"unused connection": {
			after: request,
			want:  1,
		},
		"begun head": {
			before: request[:10],
			after:  request[10:],
			want:   1,
		},
		"idle connection": {
			before: request,
			after:  request,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startGuarded(t, 0, 0)
			conn, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			fmt.Fprint(conn, x.before)
			if x.before == request {
				expectStatus(t, reader, http.StatusOK)
			}
			for f.guard.openCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				f.guard.Drain(t.Context(), time.Now().Add(10*later))
			}()
			if x.want == 0 {
				<-drained
			} else {
				time.Sleep(later)
			}
			fmt.Fprint(conn, x.after)
			for range x.want {
				expectStatus(t, reader, http.StatusOK)
			}
			if _, err := reader.ReadByte(); err == nil {
				t.Error("got a response that was not expected")
			}
			select {
			case <-drained:
			case <-time.After(20 * later):
				t.Error("the drain does not end")
			}
		})
	}
	t.Run("response that is being received", func(t *testing.T) {
		t.Parallel()
		f := startGuarded(t, 0, 0)
		conn := dialSmallWindow(t, f.address)
		fmt.Fprint(conn, "GET /kept HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(later)
		ctx, cancel := context.WithTimeout(t.Context(), 20*later)
		defer cancel()
		go f.guard.Drain(ctx, time.Now().Add(10*later))
		time.Sleep(later)
		fmt.Fprint(conn, request)
		time.Sleep(later)
		reader := bufio.NewReader(conn)
		for _, want := range []int64{lastBody, 1} {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.Copy(io.Discard, response.Body); got != want || err != nil {
				t.Errorf("got %d bytes and error %v, want %d", got, err, want)
			}
		}
	})
}

// expectStatus reads a response and checks its status.
func expectStatus(t *testing.T, reader *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("got error %v, want status %d", err, want)
		return
	}
	if got := response.StatusCode; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
}

// openCount returns the number of open connections.
func (g *Guard) openCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.OpenCount()
}
