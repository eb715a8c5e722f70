package service

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// drainableList returns a list with two targets, each in a data centre of its own, of which
// the first may be drained.
func drainableList(drained bool, first, second *scriptedTarget) []tarragonwell.ListedTarget {
	return []tarragonwell.ListedTarget{
		{
			ID:         "i-" + first.address,
			Address:    first.address,
			DataCenter: "north",
			Born:       1,
			Drained:    drained,
		},
		{
			ID:         "i-" + second.address,
			Address:    second.address,
			DataCenter: "south",
			Born:       1,
		},
	}
}

// TestCallsInFlightAtDrainedTarget guards against a call that is cut off when the data
// centre of its target is drained, and against a retry or a resumed download that returns
// to the drained target.
func TestCallsInFlightAtDrainedTarget(t *testing.T) {
	const etag = `"v1"`
	for _, x := range []struct {
		name string
		long bool
		// end is how the drained target ends the call.
		end         func(w http.ResponseWriter, r *http.Request)
		second      func(w http.ResponseWriter, r *http.Request)
		wantBody    string
		secondCalls int
	}{
		{
			name:     "finishes",
			end:      respond,
			second:   respond,
			wantBody: "whole",
		},
		{
			name:        "retry",
			end:         resetConnection,
			second:      respond,
			wantBody:    "whole",
			secondCalls: 1,
		},
		{
			name: "resumed download",
			long: true,
			end: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", etag)
				w.Header().Set("Content-Length", "8")
				_, _ = io.WriteString(w, "half")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			second: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("ETag", etag)
				w.Header().Set("Content-Range", "bytes 4-7/8")
				w.Header().Set("Content-Length", "4")
				w.WriteHeader(http.StatusPartialContent)
				_, _ = io.WriteString(w, "rest")
			},
			wantBody:    "halfrest",
			secondCalls: 1,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			started, drained := make(chan struct{}, 10), make(chan struct{})
			first := startScriptedTarget(t, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-drained
				x.end(w, r)
			})
			second := startScriptedTarget(t, x.second)
			f := startService(t)
			f.SetTargets(drainableList(false, first, second)[:1])
			go func() {
				<-started
				f.SetTargets(drainableList(true, first, second))
				if _, err := f.Status(f.ctx); err != nil {
					t.Error(err)
				}
				close(drained)
			}()
			r := f.call(http.MethodGet, x.long)
			if r.Response == nil {
				t.Fatalf("got %+v, want a response", r)
			}
			body, err := io.ReadAll(r.Response.Body)
			_ = r.Response.Body.Close()
			if err != nil || string(body) != x.wantBody {
				t.Errorf("got %q and %v, want %q", body, err, x.wantBody)
			}
			if got, want := first.callCount(), 1; got != want {
				t.Errorf("drained target: got %d calls, want %d", got, want)
			}
			if got, want := second.callCount(), x.secondCalls; got != want {
				t.Errorf("other target: got %d calls, want %d", got, want)
			}
		})
	}
}

// TestGrantedCallIsNotSentToDrainedTarget guards against a call that is sent to a target
// whose data centre was drained after the grant, and against one that is not sent after the
// end of the drain.
func TestGrantedCallIsNotSentToDrainedTarget(t *testing.T) {
	first, second := startScriptedTarget(t, respond), startScriptedTarget(t, respond)
	f := startService(t)
	call := &tarragonwell.Call{
		Method:     http.MethodGet,
		RequestURI: "/x",
		Deadline:   time.Now().Add(callTimeout),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{
				Name: "k",
			},
		},
	}
	f.SetTargets(drainableList(false, first, second)[:1])
	l, rejection := f.acquire(f.ctx, scheduling.AcquireRequest{
		Kind:     call.Route.Kind,
		Deadline: call.Deadline,
	})
	if l == nil {
		t.Fatalf("got rejection %+v, want a grant", rejection)
	}
	for _, drained := range []bool{true, false} {
		f.SetTargets(drainableList(drained, first, second))
		if _, err := f.Status(f.ctx); err != nil {
			t.Fatal(err)
		}
		response, err := sendCall(f.ctx, l, call)
		if response != nil {
			_ = response.Body.Close()
		}
		if notSent := err != nil && err.Stage == tarragonwell.StageNotSent; notSent != drained {
			t.Errorf("drained %v: got %v", drained, err)
		}
	}
}
