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

// blockingDispatcher reports each call on entered and ends it with the next result
// of release.
type blockingDispatcher struct {
	entered chan *tarragonwell.Call
	release chan tarragonwell.Result
}

func (b *blockingDispatcher) Dispatch(_ context.Context, c *tarragonwell.Call) tarragonwell.Result {
	b.entered <- c
	return <-b.release
}

func newTestServer(t *testing.T, d tarragonwell.Dispatcher) *Server {
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
	c := &common.Dependencies{
		Settings: &settingsfile.Settings{
			MaxRequestBodyBytes:  100,
			MaxTotalRequestBytes: 150,
		},
		Log:     l,
		Metrics: m,
		Clock:   common.SystemClock{},
	}
	c.SetBudgets(c.Settings)
	return NewServer(Options{
		Common:         c,
		CurrentRouting: func() *Routing { return routing },
	})
}

func post(s *Server, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(body)))
	return w
}

func TestBufferedRequestBytesAreBounded(t *testing.T) {
	b := &blockingDispatcher{
		entered: make(chan *tarragonwell.Call),
		release: make(chan tarragonwell.Result),
	}
	s := newTestServer(t, b)
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- post(s, strings.Repeat("a", 100)) }()
	<-b.entered
	w := post(s, strings.Repeat("b", 100))
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("over the limit: got %d, want %d", got, want)
	}
	if got, want := w.Header().Get(HeaderOutcome), "not-run"; got != want {
		t.Errorf("over the limit: got %q, want %q", got, want)
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
	if got, want := s.options.Common.RequestBytes.Reserved(), int64(0); got != want {
		t.Errorf("buffered bytes afterwards: got %d, want %d", got, want)
	}
}

func TestCallerBudgetsAreBounded(t *testing.T) {
	s := newTestServer(t, nil)
	k := &tarragonwell.Kind{
		Timeout: time.Second,
	}
	tests := []struct {
		deadline, retries string
		maxLeft           time.Duration
		retriesLeft       int
	}{
		{
			deadline:    "",
			retries:     "",
			maxLeft:     time.Second,
			retriesLeft: 1,
		},
		{
			deadline:    "nonsense",
			retries:     "-4",
			maxLeft:     time.Second,
			retriesLeft: 0,
		},
		{
			deadline:    "99999999999999",
			retries:     "99",
			maxLeft:     time.Second,
			retriesLeft: maxRetries,
		},
		{
			deadline:    "1",
			retries:     "2",
			maxLeft:     0,
			retriesLeft: 2,
		},
	}
	for _, x := range tests {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set("Tarragonwell-Deadline", x.deadline)
		r.Header.Set("Tarragonwell-Retries-Left", x.retries)
		if x.retries == "" {
			r.Header.Del("Tarragonwell-Retries-Left")
		}
		call, _, err := s.readCall(httptest.NewRecorder(), r, &tarragonwell.Route{
			Kind: k,
		}, 0, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if got := time.Until(call.Deadline); got > x.maxLeft {
			t.Errorf("deadline %q: got %v, want at most %v", x.deadline, got, x.maxLeft)
		}
		if got, want := call.RetriesLeft, x.retriesLeft; got != want {
			t.Errorf("retries %q: got %d, want %d", x.retries, got, want)
		}
	}
}

// TestRequestsWaitForFirstRules checks that requests to an instance that has just
// started wait for the first rules and are then served. They are rejected when
// startupWait ends without rules, and without a wait after that.
func TestRequestsWaitForFirstRules(t *testing.T) {
	for _, x := range []struct {
		name string
		// rulesAfter and arrivesAfter are the times from the start of the instance to
		// the first rules and to the request.
		rulesAfter, arrivesAfter time.Duration
		wantStatus               int
		wantWait                 time.Duration
	}{
		{
			name:         "rules come in time",
			rulesAfter:   200 * time.Millisecond,
			arrivesAfter: 50 * time.Millisecond,
			wantStatus:   http.StatusOK,
			wantWait:     150 * time.Millisecond,
		},
		{
			name:         "rules do not come in time",
			rulesAfter:   time.Hour,
			arrivesAfter: 50 * time.Millisecond,
			wantStatus:   http.StatusServiceUnavailable,
			wantWait:     startupWait - 50*time.Millisecond,
		},
		{
			name:         "request comes after the wait",
			rulesAfter:   time.Hour,
			arrivesAfter: startupWait,
			wantStatus:   http.StatusServiceUnavailable,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &blockingDispatcher{
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
			s := newTestServer(t, b)
			s.options.Common.Started = time.Now()
			routing := s.options.CurrentRouting()
			routingReady := make(chan struct{})
			s.options.RoutingReady = routingReady
			s.options.CurrentRouting = func() *Routing {
				select {
				case <-routingReady:
					return routing
				default:
					return nil
				}
			}
			timer := time.AfterFunc(x.rulesAfter, func() { close(routingReady) })
			defer timer.Stop()
			time.Sleep(x.arrivesAfter)
			begin := time.Now()
			w := post(s, "")
			if got := w.Code; got != x.wantStatus {
				t.Errorf("%s: got status %d, want %d", x.name, got, x.wantStatus)
			}
			if got := time.Since(begin); got != x.wantWait {
				t.Errorf("%s: waited %v, want %v", x.name, got, x.wantWait)
			}
		})
	}
}
