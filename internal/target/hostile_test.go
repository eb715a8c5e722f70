package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
)

const (
	// hostileDeadline is the time that the calls of these tests have.
	hostileDeadline = 300 * time.Millisecond
	// hostileGrace is how much later than that they may end.
	hostileGrace = 200 * time.Millisecond
	// maxHostileBytes bounds the memory that one hostile response may take.
	maxHostileBytes = 2 << 20
)

// ownResponse is the field by which a response belongs to the calls of these tests.
const ownResponse = HeaderAttemptID + ": id\r\n"

// startHostile returns the address of a server that responds with a mode, and a header
// field, until the test ends.
func startHostile(t *testing.T, m hostile.Mode, field string) string {
	t.Helper()
	server := &hostile.Server{
		Mode: m,
		Header: func([]byte) string {
			return field
		},
	}
	address, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// TestHostileResponses checks that a call whose response never ends, or is none, ends by
// its deadline, with little memory, and that it is never complete with bytes that do not
// belong to its body.
func TestHostileResponses(t *testing.T) {
	for m := range hostile.Modes {
		t.Run(m.String(), func(t *testing.T) {
			cl := newClient(t, startHostile(t, m, ownResponse))
			before := hostile.HeapBytes()
			begin := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), hostileDeadline)
			defer cancel()
			c := newCall(http.MethodGet, "", true)
			c.Deadline = begin.Add(hostileDeadline)
			response, err := cl.Send(ctx, c)
			if err == nil {
				var n int64
				n, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if m == hostile.LongerThanLength {
					if got, want := n, int64(5); got != want || err != nil {
						t.Errorf("body: got %d bytes and %v, want %d and no error", got, err, want)
					}
					return
				}
			}
			if err == nil {
				t.Error("got a complete response, want an error")
			}
			if got, want := time.Since(begin), hostileDeadline+hostileGrace; got > want {
				t.Errorf("ended after %v, want at most %v", got, want)
			}
			if after := hostile.HeapBytes(); after > before+maxHostileBytes {
				t.Errorf("got %d bytes more on the heap, want at most %d", after-before, maxHostileBytes)
			}
		})
	}
}

// TestHostileRefusal checks that the body of a refusal which never ends does not delay
// the retry.
func TestHostileRefusal(t *testing.T) {
	for _, m := range []hostile.Mode{hostile.SlowBody, hostile.EndlessBody, hostile.EndlessChunks, hostile.EndlessTrailer, hostile.EndlessChunkExtension} {
		t.Run(m.String(), func(t *testing.T) {
			cl := newClient(t, startHostile(t, m, HeaderNotRun+": shed\r\n"))
			begin := time.Now()
			_, err := cl.Send(context.Background(), newCall(http.MethodGet, "", true))
			var e *tarragonwell.AttemptError
			if !errors.As(err, &e) || e.Stage != tarragonwell.StageRefused {
				t.Fatalf("got %v, want an AttemptError with StageRefused", err)
			}
			if got, want := time.Since(begin), hostileGrace; got > want {
				t.Errorf("ended after %v, want at most %v", got, want)
			}
		})
	}
}

// TestHostileProbes checks that a probe whose response never ends fails within its
// timeout.
func TestHostileProbes(t *testing.T) {
	for m := range hostile.Modes {
		t.Run(m.String(), func(t *testing.T) {
			reports := make(chan ProbeReport, 1)
			cl := New(Options{
				Common: &common.Dependencies{
					Clock: common.SystemClock{},
				},
				Listed: tarragonwell.ListedTarget{
					Address: startHostile(t, m, ownResponse),
				},
				Report: func(r ProbeReport) { reports <- r },
			})
			t.Cleanup(cl.closeIdleConnections)
			begin := time.Now()
			cl.ProbeForPlacement(context.Background())
			if r := <-reports; r.Err == nil {
				t.Error("got no error, want one")
			}
			if got, want := time.Since(begin), probeTimeout+hostileGrace; got > want {
				t.Errorf("ended after %v, want at most %v", got, want)
			}
		})
	}
}
