package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const rulesText = `- {service: {name: s, organisation: o, slots: 1, connections: 1}}  # test
- {kind: {name: k, organisation: o, repeatable: true}}  # test
- {route: {path: /x, service: s, kind: k}}  # test
`

// blocked is a dispatcher whose calls end when it is released.
type blocked struct {
	entered chan *tarragonwell.Call
	release chan tarragonwell.Result
}

func (b *blocked) Dispatch(_ context.Context, c *tarragonwell.Call) tarragonwell.Result {
	b.entered <- c
	return <-b.release
}

func serverOf(t *testing.T, d tarragonwell.Dispatcher) *Server {
	t.Helper()
	set, err := rulesfile.Parse("rules", 1, []byte(rulesText))
	if err != nil {
		t.Fatal(err)
	}
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	m := metrics.NewSet()
	routing := NewRouting(set, map[string]tarragonwell.Dispatcher{
		"s": d,
	}, m)
	return NewServer(Options{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{
				MaxRequestBodyBytes:     100,
				MaxBufferedRequestBytes: 150,
			},
			Log:     l,
			Metrics: m,
			Clock:   common.SystemClock{},
		},
		Routing: func() *Routing { return routing },
		Leaving: func() bool { return false },
	})
}

func post(s *Server, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(body)))
	return w
}

func TestBufferedRequestBytesAreBounded(t *testing.T) {
	b := &blocked{
		entered: make(chan *tarragonwell.Call),
		release: make(chan tarragonwell.Result),
	}
	s := serverOf(t, b)
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- post(s, strings.Repeat("a", 100)) }()
	<-b.entered
	w := post(s, strings.Repeat("b", 100))
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("beyond the bound: got %d, want %d", got, want)
	}
	if got, want := w.Header().Get(HeaderOutcome), "not-run"; got != want {
		t.Errorf("beyond the bound: got %q, want %q", got, want)
	}
	b.release <- tarragonwell.Result{
		Outcome:    tarragonwell.OutcomeNotRun,
		Reason:     "busy",
		RetryAfter: 1500 * time.Millisecond,
	}
	w = <-first
	if got, want := w.Header().Get("Retry-After"), "2"; got != want {
		t.Errorf("retry after: got %q, want %q", got, want)
	}
	if got, want := s.held.Load(), int64(0); got != want {
		t.Errorf("held afterwards: got %d, want %d", got, want)
	}
}

func TestCallerBudgetsAreBounded(t *testing.T) {
	s := serverOf(t, nil)
	k := &tarragonwell.Kind{
		Deadline: time.Second,
	}
	tests := []struct {
		deadline, retries string
		most              time.Duration
		left              int
	}{
		{
			deadline: "",
			retries:  "",
			most:     time.Second,
			left:     1,
		},
		{
			deadline: "nonsense",
			retries:  "-4",
			most:     time.Second,
			left:     0,
		},
		{
			deadline: "99999999999999",
			retries:  "99",
			most:     time.Second,
			left:     maxRetries,
		},
		{
			deadline: "1",
			retries:  "2",
			most:     0,
			left:     2,
		},
	}
	for _, x := range tests {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set("Tarragonwell-Deadline", x.deadline)
		r.Header.Set("Tarragonwell-Retries-Left", x.retries)
		if x.retries == "" {
			r.Header.Del("Tarragonwell-Retries-Left")
		}
		call, _, err := s.call(r, &tarragonwell.Route{
			Kind: k,
		}, 0, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if got := time.Until(call.Deadline); got > x.most {
			t.Errorf("deadline %q: got %v, want at most %v", x.deadline, got, x.most)
		}
		if got, want := call.RetriesLeft, x.left; got != want {
			t.Errorf("retries %q: got %d, want %d", x.retries, got, want)
		}
	}
}

// TestRequestsWaitForFirstRules holds that requests which meet an instance that has
// just started are served once it knows what is in force, and refused at once
// where it has not learnt that in time.
func TestRequestsWaitForFirstRules(t *testing.T) {
	for _, x := range []struct {
		name string
		// joins is the time from the start until the instance knows; arrives is when
		// the request comes.
		joins, arrives time.Duration
		want           int
		waits          time.Duration
	}{
		{
			name:    "knows soon",
			joins:   200 * time.Millisecond,
			arrives: 50 * time.Millisecond,
			want:    http.StatusOK,
			waits:   150 * time.Millisecond,
		},
		{
			name:    "does not come to know",
			joins:   time.Hour,
			arrives: 50 * time.Millisecond,
			want:    http.StatusServiceUnavailable,
			waits:   startWait - 50*time.Millisecond,
		},
		{
			name:    "has not known for long",
			joins:   time.Hour,
			arrives: startWait,
			want:    http.StatusServiceUnavailable,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &blocked{
				entered: make(chan *tarragonwell.Call, 1),
				release: make(chan tarragonwell.Result, 1),
			}
			b.release <- tarragonwell.Result{
				Outcome: tarragonwell.OutcomeComplete,
				Response: &tarragonwell.Response{
					Status: http.StatusOK,
					Body:   http.NoBody,
				},
			}
			s := serverOf(t, b)
			s.options.Common.Started = time.Now()
			routing := s.options.Routing()
			joined := make(chan struct{})
			s.options.RoutingReady = joined
			s.options.Routing = func() *Routing {
				select {
				case <-joined:
					return routing
				default:
					return nil
				}
			}
			timer := time.AfterFunc(x.joins, func() { close(joined) })
			defer timer.Stop()
			time.Sleep(x.arrives)
			begin := time.Now()
			w := post(s, "")
			if got := w.Code; got != x.want {
				t.Errorf("%s: got status %d, want %d", x.name, got, x.want)
			}
			if got := time.Since(begin); got != x.waits {
				t.Errorf("%s: waited %v, want %v", x.name, got, x.waits)
			}
		})
	}
}
