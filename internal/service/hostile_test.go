package service

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
)

// startHostileTarget starts a target that responds to all calls with a mode, and returns
// its address and the count of its calls.
func startHostileTarget(t *testing.T, m hostile.Mode) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	server := &hostile.Server{
		Mode:      m,
		Header:    echoAttemptID,
		OnRequest: func() { calls.Add(1) },
	}
	address, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address, calls
}

// echoAttemptID returns the field that echoes the ID of a request.
func echoAttemptID(request []byte) string {
	for line := range strings.Lines(string(request)) {
		if strings.HasPrefix(line, target.HeaderAttemptID+":") {
			return line
		}
	}
	return ""
}

// sendHostileCalls sends calls to a service of three targets, of which one never ends its
// responses, from a few callers. It returns the longest time of a call, and the number of
// calls that did not end well.
func sendHostileCalls(f *runningFixture, callers, callsPerCaller int) (longest time.Duration, failed int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range callsPerCaller {
				begin := time.Now()
				r := f.call(http.MethodGet, false)
				err := io.ErrUnexpectedEOF
				if r.Response != nil {
					_, err = io.Copy(io.Discard, r.Response.Body)
					_ = r.Response.Body.Close()
				}
				mu.Lock()
				longest = max(longest, time.Since(begin))
				if err != nil || r.Outcome != tarragonwell.OutcomeComplete {
					failed++
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return longest, failed
}

// TestHostileTargetAmongOthers checks that a target whose responses never end gets few
// calls, like one that fails in another way, and that the calls to the others do not
// notice it.
func TestHostileTargetAmongOthers(t *testing.T) {
	const callers, callsPerCaller = 5, 60
	for m := range hostile.Modes {
		if m == hostile.LongerThanLength {
			// Its responses are complete: what follows them belongs to none.
			continue
		}
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			address, calls := startHostileTarget(t, m)
			f := startService(t, address, startScriptedTarget(t, respond).address, startScriptedTarget(t, respond).address)
			longest, failed := sendHostileCalls(f, callers, callsPerCaller)
			if got, want := longest, callTimeout+200*time.Millisecond; got > want {
				t.Errorf("longest call: got %v, want at most %v", got, want)
			}
			t.Logf("%d calls reached it, %d did not end well, longest %v", calls.Load(), failed, longest)
			status, err := f.Status(f.ctx)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := status.InFlight, 0; got != want {
				t.Errorf("slots in use at the end: got %d, want %d", got, want)
			}
		})
	}
}

// TestHostileResponsesShareMemory checks that the memory for responses which never end is
// bounded for the whole process, however many calls wait for one.
func TestHostileResponsesShareMemory(t *testing.T) {
	const (
		callers = 150
		limit   = 4 << 20
		// overhead is what the connections and the garbage collector may take besides.
		overhead = 3 * limit
	)
	for _, m := range []hostile.Mode{hostile.EndlessBody, hostile.EndlessChunks, hostile.SlowBody} {
		t.Run(m.String(), func(t *testing.T) {
			address, _ := startHostileTarget(t, m)
			f := startServiceWith(t, func(o *Options) {
				o.Common.Settings.MaxResponseBufferBytes = 1 << 20
				o.Common.ResponseBytes.Limit = limit
				o.ServiceRule.Slots = 2 * callers
				o.ServiceRule.Connections = 2 * callers
			}, address)
			before := hostile.HeapBytes()
			var peak uint64
			ctx, stop := context.WithCancel(f.ctx)
			var sampling, running sync.WaitGroup
			sampling.Go(func() {
				for ctx.Err() == nil {
					peak = max(peak, hostile.HeapBytes())
					time.Sleep(10 * time.Millisecond)
				}
			})
			for range callers {
				running.Go(func() {
					r := f.call(http.MethodGet, false)
					// The caller does not read; a streamed response waits for it.
					time.Sleep(callTimeout / 4)
					if r.Response != nil {
						_ = r.Response.Body.Close()
					}
				})
			}
			running.Wait()
			stop()
			sampling.Wait()
			if got, want := peak-min(peak, before), uint64(limit+overhead); got > want {
				t.Errorf("got %d bytes more on the heap, want at most %d", got, want)
			}
			if got, want := f.options.Common.ResponseBytes.Reserved(), int64(0); got != want {
				t.Errorf("reserved at the end: got %d bytes, want %d", got, want)
			}
		})
	}
}
