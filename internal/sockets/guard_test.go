package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

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
