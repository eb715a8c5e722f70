package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func newKind(name string, weight int) *tarragonwell.Kind {
	return &tarragonwell.Kind{
		Name:   name,
		Weight: weight,
	}
}

// TestQueueSharesByWeight draws kinds with random weights and checks that, while
// all have queued calls, each receives its share of the grants and none is starved.
func TestQueueSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		count := rapid.IntRange(2, 4).Draw(t, "kinds")
		total := 0
		var kinds []*tarragonwell.Kind
		for n := range count {
			k := newKind(fmt.Sprint(n), rapid.IntRange(1, 8).Draw(t, "weight"))
			total += k.Weight
			kinds = append(kinds, k)
			for range 600 {
				q.Push(&PendingCall{
					Kind: k,
				})
			}
		}
		grants := map[string]int{}
		remaining := 300
		q.Serve(func(p *PendingCall) bool {
			if remaining == 0 {
				return false
			}
			remaining--
			grants[p.Kind.Name]++
			return true
		})
		for _, k := range kinds {
			want := 300 * k.Weight / total
			if got := grants[k.Name]; got < want-8 || got > want+8 {
				t.Fatalf("kind %s of weight %d: got %d grants, want %d", k.Name, k.Weight, got, want)
			}
		}
		if got, want := q.Len(), 600*count-300; got != want {
			t.Fatalf("queued calls: got %d, want %d", got, want)
		}
	})
}

func TestQueueIsFIFOAndSkipsBlockedKinds(t *testing.T) {
	var q Queue
	blocked, free := newKind("blocked", 9), newKind("free", 1)
	for n := range uint64(3) {
		q.Push(&PendingCall{
			ID:   n,
			Kind: blocked,
		})
		q.Push(&PendingCall{
			ID:   10 + n,
			Kind: free,
		})
	}
	var got []uint64
	q.Serve(func(p *PendingCall) bool {
		if p.Kind == blocked {
			return false
		}
		got = append(got, p.ID)
		return true
	})
	if want := []uint64{10, 11, 12}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	dropped := q.Remove(func(p *PendingCall) bool { return p.ID == 1 })
	if got, want := len(dropped)*10+q.Len(), 12; got != want {
		t.Errorf("10 times the removed calls plus the queued calls: got %d, want %d", got, want)
	}
}

// TestRetryBudgetAndLimiterBounds draws random histories and checks that retries
// never exceed the ratio by more than retryAllowance, and that the concurrency
// limit stays within its range.
func TestRetryBudgetAndLimiterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{
			Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"),
		}
		var l Limiter
		slots := rapid.IntRange(0, 200).Draw(t, "slots")
		now := time.Unix(1, 0)
		calls, retries := 0, 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				b.Deposit()
				calls++
				l.RecordSuccess(int(l.Limit(slots)), slots)
			case 1:
				l.RecordCongestion(now, time.Millisecond)
			default:
				if b.TryWithdraw() {
					retries++
				}
			}
			if limit := float64(calls)*b.Ratio + retryAllowance; float64(retries) > limit+1e-9 {
				t.Fatalf("got %d retries for %d calls at ratio %v", retries, calls, b.Ratio)
			}
			if got := l.Limit(slots); got < minLimit || got > max(minLimit, maxLimitPerSlot*float64(slots)) {
				t.Fatalf("got limit %v for %d slots", got, slots)
			}
		}
	})
}

func TestProbeInterval(t *testing.T) {
	tests := []struct {
		name                  string
		budget                float64
		atMost, listed, known int
		want                  time.Duration
	}{
		{
			name:   "no probes allowed",
			budget: 0,
			atMost: 16,
			listed: 16,
			known:  16,
			want:   0,
		},
		{
			name:   "expected maximum in the rules",
			budget: 4,
			atMost: 16,
			listed: 3,
			known:  1,
			want:   4 * time.Second,
		},
		{
			name:   "more instances listed than expected",
			budget: 4,
			atMost: 16,
			listed: 32,
			known:  1,
			want:   8 * time.Second,
		},
		{
			name:   "zero counts",
			budget: 2,
			atMost: 0,
			listed: 0,
			known:  0,
			want:   500 * time.Millisecond,
		},
	}
	for _, test := range tests {
		if got := ProbeInterval(test.budget, test.atMost, test.listed, test.known); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestRetriesDoNotMultiply checks that if every attempt fails at every depth of
// nested calls, the number of attempts at the lowest depth is one more than the
// number of retries at the top.
func TestRetriesDoNotMultiply(t *testing.T) {
	const depth = 9
	var attempts func(depth, left int) int
	attempts = func(depth, left int) int {
		if depth == 0 {
			return 1
		}
		n := attempts(depth-1, NestedRetries(left, false))
		if left > 0 {
			n += attempts(depth-1, NestedRetries(left, true))
		}
		return n
	}
	for left := range 4 {
		if got, want := attempts(depth, left), left+1; got != want {
			t.Errorf("with %d retries: got %d attempts, want %d", left, got, want)
		}
	}
}

// TestRetrySlackDoesNotAccumulate checks that, however long no retries were needed,
// an instance does not exceed its share of the slack in addition to the ratio.
func TestRetrySlackDoesNotAccumulate(t *testing.T) {
	b := RetryBudget{
		Ratio: 0.2,
		Slack: 3,
	}
	for range 1000 {
		b.Deposit()
	}
	withdrawn := 0
	for range 100 {
		b.Deposit()
		for b.TryWithdraw() {
			withdrawn++
		}
	}
	if got, limit := withdrawn, 3+100/5; got > limit {
		t.Errorf("got %d retries in 100 requests, want at most %d", got, limit)
	}
}
