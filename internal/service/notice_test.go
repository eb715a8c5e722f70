package service

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// withState adds the header of a draining target to a handler.
func withState(handler func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderState, "draining")
		handler(w, r)
	}
}

// TestLeavingInAnyResponse checks that a target which says in a response that it is
// leaving gets no further call, whatever kind of response it was and also while its body
// is still in transit. The second call, if the first one was not retried, is rejected at
// once, because the service has no other target.
func TestLeavingInAnyResponse(t *testing.T) {
	stream := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	tooLarge := func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 5000))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for _, tt := range []struct {
		name    string
		method  string
		long    bool
		handler func(http.ResponseWriter, *http.Request)
	}{
		{
			name:    "success",
			method:  http.MethodGet,
			handler: respond,
		},
		{
			name:    "failure",
			method:  http.MethodGet,
			handler: fail,
		},
		{
			name:    "refusal",
			method:  http.MethodGet,
			handler: refuse,
		},
		{
			name:    "HEAD",
			method:  http.MethodHead,
			handler: respond,
		},
		{
			name:    "truncated",
			method:  http.MethodGet,
			handler: truncate,
		},
		{
			name:    "long, still in transit",
			method:  http.MethodGet,
			long:    true,
			handler: stream,
		},
		{
			name:    "too large to buffer, still in transit",
			method:  http.MethodGet,
			handler: tooLarge,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			leaver := startScriptedTarget(t, withState(tt.handler))
			f := startService(t, leaver.address)
			first := f.call(tt.method, tt.long)
			begin := time.Now()
			second := f.call(http.MethodGet, false)
			if got, want := second.Outcome, tarragonwell.OutcomeNotRun; got != want {
				t.Errorf("second call: got %v (%s), want %v", got, second.Reason, want)
			}
			if got, want := time.Since(begin), callTimeout/4; got > want {
				t.Errorf("second call: rejected after %v, want at once", got)
			}
			if first.Response != nil {
				_ = first.Response.Body.Close()
			}
			if got, want := leaver.callCount(), 1; got != want {
				t.Errorf("calls: got %d, want %d", got, want)
			}
			if got, want := (<-f.announced).ID, "i-"+leaver.address; got != want {
				t.Errorf("announced: got %s, want %s", got, want)
			}
		})
	}
}

// TestGrantedCallIsNotSentToLeaver checks that a call which was granted a target before
// the target said that it is leaving, and was not sent yet, is not sent there.
func TestGrantedCallIsNotSentToLeaver(t *testing.T) {
	leaver := startScriptedTarget(t, withState(respond))
	f := startService(t, leaver.address)
	l, rejection := f.acquire(f.ctx, scheduling.AcquireRequest{
		Kind: &tarragonwell.Kind{
			Name: "k",
		},
		Deadline: time.Now().Add(callTimeout),
	})
	if l == nil {
		t.Fatalf("got rejection %+v, want a grant", rejection)
	}
	discard(f.call(http.MethodGet, false))
	<-f.announced
	// The status is answered after the restriction was set.
	if _, err := f.Status(f.ctx); err != nil {
		t.Fatal(err)
	}
	_, err := sendCall(f.ctx, l, &tarragonwell.Call{
		Method:     http.MethodGet,
		RequestURI: "/x",
		Deadline:   time.Now().Add(callTimeout),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{},
		},
	})
	if err == nil || err.Stage != tarragonwell.StageNotSent {
		t.Errorf("got %v, want an error with StageNotSent", err)
	}
	if got, want := leaver.callCount(), 1; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

// TestDroppedAnnouncementIsRepeated checks that the announcement of a leaving target which
// the peers could not take is made again.
func TestDroppedAnnouncementIsRepeated(t *testing.T) {
	leaver := startScriptedTarget(t, withState(respond))
	drops := 2
	announced := make(chan tarragonwell.LeavingTarget, 1)
	f := startServiceWith(t, func(o *Options) {
		o.AnnounceLeaving = func(l tarragonwell.LeavingTarget) bool {
			if drops > 0 {
				drops--
				return false
			}
			announced <- l
			return true
		}
	}, leaver.address)
	discard(f.call(http.MethodGet, false))
	select {
	case <-announced:
	case <-time.After(callTimeout):
		t.Error("got no announcement, want it repeated")
	}
}

// TestTargetThatAsksToBeLeftAlone checks that a target which refuses a call with a
// Retry-After is sent nothing for that time, and that callers are rejected at once with
// the time until then.
func TestTargetThatAsksToBeLeftAlone(t *testing.T) {
	const asked = time.Second
	busy := startScriptedTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1")
		refuse(w, r)
	}, respond)
	f := startService(t, busy.address)
	asking := time.Now()
	first := f.call(http.MethodGet, false)
	if got, want := first.Outcome, tarragonwell.OutcomeNotRun; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := first.RetryAfter; got < asked-100*time.Millisecond || got > 2*asked {
		t.Errorf("Retry-After: got %v, want the rest of %v, a little more at most", got, asked)
	}
	for time.Since(asking) < asked {
		r := f.call(http.MethodGet, false)
		discard(r)
		if got, want := busy.callCount(), 1; got != want && time.Since(asking) < asked {
			t.Fatalf("calls within the time: got %d, want %d", got, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(asked/4 + 50*time.Millisecond)
	last := f.call(http.MethodGet, false)
	discard(last)
	if got, want := last.Outcome, tarragonwell.OutcomeComplete; got != want {
		t.Errorf("after the time: got %v (%s), want %v", got, last.Reason, want)
	}
}

// TestGrantExpires checks that a call which was granted a target before a pause of the
// process, and was not sent yet, is not sent there.
func TestGrantExpires(t *testing.T) {
	clock := &adjustableClock{}
	s := startScriptedTarget(t, respond)
	f := startServiceWith(t, func(o *Options) { o.Common.Clock = clock }, s.address)
	l, rejection := f.acquire(f.ctx, scheduling.AcquireRequest{
		Kind: &tarragonwell.Kind{
			Name: "k",
		},
		Deadline: time.Now().Add(time.Hour),
	})
	if l == nil {
		t.Fatalf("got rejection %+v, want a grant", rejection)
	}
	clock.offset.Store(int64(2 * pauseThreshold))
	_, err := sendCall(f.ctx, l, &tarragonwell.Call{
		Method:     http.MethodGet,
		RequestURI: "/x",
		Deadline:   time.Now().Add(time.Hour),
		Route: &tarragonwell.Route{
			Kind: &tarragonwell.Kind{},
		},
	})
	if err == nil || err.Stage != tarragonwell.StageNotSent {
		t.Errorf("got %v, want an error with StageNotSent", err)
	}
	if got, want := s.callCount(), 0; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

// markLeaver lets the service learn from a response that a target leaves, without a call
// that could go elsewhere.
func markLeaver(t *testing.T, f *runningFixture, address string) {
	t.Helper()
	f.mailbox.Post(target.NoticeReport{
		ID:   "i-" + address,
		Born: 1,
		Notice: tarragonwell.TargetNotice{
			Leaving: true,
		},
	})
	if _, err := f.Status(f.ctx); err != nil {
		t.Fatal(err)
	}
}

// TestResumedDownloadAvoidsLeaver checks that a download which is interrupted is not
// resumed from a target that has said meanwhile that it leaves.
func TestResumedDownloadAvoidsLeaver(t *testing.T) {
	interrupted := make(chan struct{})
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"v1"`)
		w.Header().Set("Content-Length", "20")
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-interrupted
		panic(http.ErrAbortHandler)
	}
	a, b := startScriptedTarget(t, breakOff), startScriptedTarget(t, breakOff)
	f := startService(t, a.address, b.address)
	r := f.call(http.MethodGet, true)
	if r.Response == nil {
		t.Fatalf("got no response: %s", r.Reason)
	}
	other := a
	if a.callCount() > 0 {
		other = b
	}
	markLeaver(t, f, other.address)
	close(interrupted)
	discard(r)
	if got, want := other.callCount(), 0; got != want {
		t.Errorf("calls at the leaver: got %d, want %d", got, want)
	}
}
