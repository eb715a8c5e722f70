package operations

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeDispatcher counts dispatches and ends each with the next result of end.
type fakeDispatcher struct {
	dispatched atomic.Int64
	end        chan tarragonwell.StoredResult
}

func (f *fakeDispatcher) DispatchOperation(context.Context, *tarragonwell.Operation) tarragonwell.StoredResult {
	f.dispatched.Add(1)
	return <-f.end
}

// fakeForwarder replies on behalf of peers, by address.
type fakeForwarder struct {
	holders     map[tarragonwell.Incarnation]string
	replies     map[string]tarragonwell.ForwardResponse
	forwardedTo []string
}

func (f *fakeForwarder) Forward(_ context.Context, address string, _ *tarragonwell.Operation) (tarragonwell.ForwardResponse, error) {
	f.forwardedTo = append(f.forwardedTo, address)
	r, ok := f.replies[address]
	if !ok {
		return r, errors.New("peer unreachable")
	}
	return r, nil
}

func (f *fakeForwarder) HolderOf(i tarragonwell.Incarnation) string {
	return f.holders[i]
}

func (f *fakeForwarder) IsMember(address string) bool {
	return address != "unknown-peer"
}

func startOperations(t *testing.T, d tarragonwell.OperationDispatcher, f tarragonwell.Forwarder) *Operations {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	o := New(Options{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{
				PeerAddress: "self",
			},
			Log:         l,
			Metrics:     metrics.NewSet(),
			Clock:       common.SystemClock{},
			Incarnation: tarragonwell.Incarnation{1},
		},
		Dispatcher: d,
		Forwarder:  f,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { o.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return o
}

func newOperation(t *testing.T, o *Operations) *tarragonwell.Operation {
	t.Helper()
	tickets, err := o.Mint(context.Background(), 1, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return &tarragonwell.Operation{
		Ticket:     tickets[0],
		Method:     "POST",
		RequestURI: "/x",
	}
}

func completeResult() tarragonwell.StoredResult {
	return tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeComplete,
		Status:  200,
	}
}

// TestOutcomeSurvivesCallerDisconnect checks that an operation whose caller
// disconnects runs on, that later requests get its outcome, and that it isn't
// dispatched again.
func TestOutcomeSurvivesCallerDisconnect(t *testing.T) {
	d := &fakeDispatcher{
		end: make(chan tarragonwell.StoredResult),
	}
	o := startOperations(t, d, &fakeForwarder{})
	op := newOperation(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if got, want := o.Do(ctx, op).Outcome, tarragonwell.OutcomeUnknown; got != want {
		t.Errorf("while running: got %v, want %v", got, want)
	}
	d.end <- completeResult()
	for range 3 {
		if got, want := o.Do(context.Background(), op).Outcome, tarragonwell.OutcomeComplete; got != want {
			t.Errorf("later: got %v, want %v", got, want)
		}
	}
	if got, want := d.dispatched.Load(), int64(1); got != want {
		t.Errorf("dispatches: got %d, want %d", got, want)
	}
}

// TestCloseWaitsAndForwards checks the order of a planned stop: the operations in
// flight end first, and requests that arrive meanwhile are neither run here nor
// answered with not-run but forwarded to the successor.
func TestCloseWaitsAndForwards(t *testing.T) {
	d := &fakeDispatcher{
		end: make(chan tarragonwell.StoredResult),
	}
	f := &fakeForwarder{
		holders: map[tarragonwell.Incarnation]string{
			{1}: "successor",
		},
		replies: map[string]tarragonwell.ForwardResponse{
			"successor": {
				Result: completeResult(),
			},
		},
	}
	o := startOperations(t, d, f)
	first, second := newOperation(t, o), newOperation(t, o)
	results := make(chan tarragonwell.StoredResult, 2)
	go func() { results <- o.Do(context.Background(), first) }()
	for d.dispatched.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := make(chan int, 1)
	go func() {
		handOvers, _ := o.Close(context.Background())
		closed <- len(handOvers)
	}()
	o.waitFor(t, func(s Stats) bool { return s.Closing })
	go func() { results <- o.Do(context.Background(), second) }()
	o.waitFor(t, func(s Stats) bool { return s.Parked == 1 })
	select {
	case <-closed:
		t.Fatal("closed while an operation ran")
	default:
	}
	d.end <- completeResult()
	if got, want := <-closed, 1; got != want {
		t.Errorf("hand-overs: got %d, want %d", got, want)
	}
	for range 2 {
		if got, want := (<-results).Outcome, tarragonwell.OutcomeComplete; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if got, want := d.dispatched.Load(), int64(1); got != want {
		t.Errorf("dispatches here: got %d, want %d", got, want)
	}
}

// waitFor polls the size until reached returns true.
func (o *Operations) waitFor(t *testing.T, reached func(Stats) bool) {
	t.Helper()
	for {
		size, err := o.Stats(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if reached(size) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestForwardFollowsHandOvers(t *testing.T) {
	holderIs := func(address string) tarragonwell.ForwardResponse {
		return tarragonwell.ForwardResponse{
			NotHolder: true,
			Holder:    address,
		}
	}
	tests := []struct {
		name    string
		home    string
		replies map[string]tarragonwell.ForwardResponse
		outcome tarragonwell.Outcome
		reason  string
	}{
		{
			name: "held at the home instance",
			home: "a",
			replies: map[string]tarragonwell.ForwardResponse{"a": {
				Result: completeResult(),
			}},
			outcome: tarragonwell.OutcomeComplete,
			reason:  "",
		},
		{
			name: "two hand-overs",
			home: "a",
			replies: map[string]tarragonwell.ForwardResponse{"a": holderIs("b"), "b": holderIs("c"), "c": {
				Result: completeResult(),
			}},
			outcome: tarragonwell.OutcomeComplete,
			reason:  "",
		},
		{
			name:    "home instance was replaced",
			home:    "a",
			replies: map[string]tarragonwell.ForwardResponse{"a": holderIs("")},
			outcome: tarragonwell.OutcomeUnknown,
			reason:  reasonHomeGone,
		},
		{
			name:    "home instance is unreachable",
			home:    "a",
			replies: nil,
			outcome: tarragonwell.OutcomeUnknown,
			reason:  reasonHomeUnreachable,
		},
		{
			name:    "home instance is not a peer",
			home:    "unknown-peer",
			replies: nil,
			outcome: tarragonwell.OutcomeUnknown,
			reason:  reasonHomeUnknown,
		},
		{
			name:    "hand-overs form a cycle",
			home:    "a",
			replies: map[string]tarragonwell.ForwardResponse{"a": holderIs("b"), "b": holderIs("a")},
			outcome: tarragonwell.OutcomeUnknown,
			reason:  reasonHomeGone,
		},
		{
			name:    "earlier incarnation at this address",
			home:    "self",
			replies: nil,
			outcome: tarragonwell.OutcomeUnknown,
			reason:  reasonHomeGone,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			o := startOperations(t, &fakeDispatcher{}, &fakeForwarder{
				replies: x.replies,
			})
			r := o.Do(context.Background(), &tarragonwell.Operation{
				Ticket: tarragonwell.Ticket{
					Home:        x.home,
					Incarnation: tarragonwell.Incarnation{9},
				},
			})
			if got, want := r.Outcome, x.outcome; got != want {
				t.Errorf("got %v, want %v", got, want)
			}
			if got, want := r.Reason, x.reason; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestFormatTicket(t *testing.T) {
	o := startOperations(t, &fakeDispatcher{}, &fakeForwarder{})
	ticket := newOperation(t, o).Ticket
	parsed, err := ParseTicket(FormatTicket(ticket))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := parsed, ticket; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, text := range []string{"", "!", "AAAA", FormatTicket(tarragonwell.Ticket{})[:3], string(make([]byte, 2000))} {
		if _, err := ParseTicket(text); !errors.Is(err, ErrMalformedTicket) {
			t.Errorf("%.20q: got %v, want ErrMalformedTicket", text, err)
		}
	}
}
