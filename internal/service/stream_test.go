package service

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
)

// targetFailures returns the number of failed attempts at the only target of a service.
func targetFailures(t *testing.T, f *runningFixture) uint64 {
	t.Helper()
	status, err := f.Status(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := status.InFlight, 0; got != want {
		t.Errorf("slots in use: got %d, want %d", got, want)
	}
	return status.Targets[0].Failed
}

// callWithDeadline sends a long call of a caller that stated how long it waits.
func (f *runningFixture) callWithDeadline(timeLeft time.Duration) tarragonwell.Result {
	return f.Dispatch(f.ctx, &tarragonwell.Call{
		ID:             "id",
		Method:         http.MethodGet,
		RequestURI:     "/x",
		CallerTimeLeft: timeLeft,
		Route: &tarragonwell.Route{
			Service: f.rule,
			Kind: &tarragonwell.Kind{
				Name:       "k",
				Repeatable: true,
				Long:       true,
				Timeout:    callTimeout,
				Weight:     1,
				SlotShare:  1,
			},
		},
		Deadline: time.Now().Add(timeLeft),
	})
}

// TestLongResponseEndsAtCallersDeadline checks that a download that never ends is broken
// off when its caller stops waiting, and counts as a failure of the target.
func TestLongResponseEndsAtCallersDeadline(t *testing.T) {
	const timeLeft = 400 * time.Millisecond
	for _, m := range []hostile.Mode{hostile.EndlessBody, hostile.EndlessChunks, hostile.SlowBody, hostile.EndlessTrailer} {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			address, _ := startHostileTarget(t, m)
			f := startService(t, address)
			begin := time.Now()
			r := f.callWithDeadline(timeLeft)
			err := io.ErrUnexpectedEOF
			if r.Response != nil {
				_, err = io.Copy(io.Discard, r.Response.Body)
				_ = r.Response.Body.Close()
			}
			if err == nil {
				t.Error("got a complete response, want an error")
			}
			if got, want := time.Since(begin), timeLeft+200*time.Millisecond; got > want {
				t.Errorf("ended after %v, want at most %v", got, want)
			}
			if got, want := targetFailures(t, f), uint64(1); got < want {
				t.Errorf("failures of the target: got %d, want at least %d", got, want)
			}
		})
	}
}

// TestLongResponseResult checks what counts as a failure of the target: a server error,
// but not a caller that does not read on.
func TestLongResponseResult(t *testing.T) {
	longFailure := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotImplemented)
		_, _ = io.WriteString(w, "not here")
	}
	for _, tt := range []struct {
		name    string
		handler func(http.ResponseWriter, *http.Request)
		read    bool
		want    uint64
	}{
		{
			name:    "read to its end",
			handler: respond,
			read:    true,
		},
		{
			name:    "not read",
			handler: respond,
		},
		{
			name:    "server error",
			handler: longFailure,
			read:    true,
			want:    1,
		},
	} {
		s := startScriptedTarget(t, tt.handler)
		f := startService(t, s.address)
		r := f.call(http.MethodGet, true)
		if tt.read {
			_, _ = io.Copy(io.Discard, r.Response.Body)
		}
		_ = r.Response.Body.Close()
		if got := targetFailures(t, f); got != tt.want {
			t.Errorf("%s: failures of the target: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
