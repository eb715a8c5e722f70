package operation

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var start = time.Unix(1_000_000, 0)

func openTable(incarnation byte) *Table {
	t := &Table{
		Home: "127.0.0.1:1",
	}
	t.Open(start, tarragonwell.Incarnation{incarnation}, []byte{incarnation})
	return t
}

func mintOne(t testing.TB, table *Table, now time.Time) tarragonwell.Ticket {
	t.Helper()
	tickets, err := table.Mint(now, 1, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return tickets[0]
}

func completeResult() tarragonwell.StoredResult {
	return tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeComplete,
		Status:  200,
		Body:    []byte("done"),
	}
}

func TestBeginDispatchesOnce(t *testing.T) {
	table := openTable(1)
	ticket := mintOne(t, table, start)
	fingerprint := Fingerprint("POST", "/releases", nil)
	if got, want := table.Begin(start, ticket, fingerprint).Action, ActionDispatch; got != want {
		t.Errorf("first: got %v, want %v", got, want)
	}
	if got, want := table.Begin(start, ticket, fingerprint).Action, ActionWait; got != want {
		t.Errorf("while running: got %v, want %v", got, want)
	}
	table.Finish(ticket, completeResult())
	d := table.Begin(start, ticket, fingerprint)
	if got, want := d.Action, ActionReply; got != want {
		t.Errorf("after Finish: got %v, want %v", got, want)
	}
	if got, want := string(d.Result.Body), "done"; got != want {
		t.Errorf("response: got %q, want %q", got, want)
	}
}

func TestBeginWithoutDispatch(t *testing.T) {
	table := openTable(1)
	used := mintOne(t, table, start)
	table.Begin(start, used, Fingerprint("POST", "/a", nil))
	table.Finish(used, completeResult())
	forged := mintOne(t, table, start)
	forged.Sequence++
	foreign := mintOne(t, openTable(2), start)
	voided := mintOne(t, table, start)
	table.Void(start, voided)
	expired := mintOne(t, table, start)

	tests := []struct {
		name    string
		ticket  tarragonwell.Ticket
		now     time.Time
		action  Action
		outcome tarragonwell.Outcome
	}{
		{
			name:    "other request",
			ticket:  used,
			now:     start,
			action:  ActionReply,
			outcome: tarragonwell.OutcomeNotRun,
		},
		{
			name:    "forged",
			ticket:  forged,
			now:     start,
			action:  ActionReply,
			outcome: tarragonwell.OutcomeNotRun,
		},
		{
			name:    "other incarnation",
			ticket:  foreign,
			now:     start,
			action:  ActionForward,
			outcome: tarragonwell.OutcomeUnspecified,
		},
		{
			name:    "voided",
			ticket:  voided,
			now:     start,
			action:  ActionReply,
			outcome: tarragonwell.OutcomeNotRun,
		},
		{
			name:    "expired",
			ticket:  expired,
			now:     start.Add(time.Hour),
			action:  ActionReply,
			outcome: tarragonwell.OutcomeUnknown,
		},
	}
	for _, x := range tests {
		d := table.Begin(x.now, x.ticket, Fingerprint("POST", "/b", nil))
		if got, want := d.Action, x.action; got != want {
			t.Errorf("%s: got action %v, want %v", x.name, got, want)
		}
		if got, want := d.Result.Outcome, x.outcome; got != want {
			t.Errorf("%s: got %v, want %v", x.name, got, want)
		}
	}
}

func TestMintBoundsOutstandingTickets(t *testing.T) {
	table := openTable(1)
	table.MaxTickets = 3
	if _, err := table.Mint(start, 3, time.Minute); err != nil {
		t.Fatal(err)
	}
	_, err := table.Mint(start, 1, time.Minute)
	if got, want := errors.Is(err, ErrFull), true; got != want {
		t.Errorf("above MaxTickets: got %v, want ErrFull", err)
	}
	// Expired tickets don't count.
	if _, err := table.Mint(start.Add(2*time.Minute), 3, time.Minute); err != nil {
		t.Errorf("after expiry: got %v", err)
	}
}

func TestStoredResponsesAreBounded(t *testing.T) {
	table := openTable(1)
	table.MaxBytes = 5
	first, second := mintOne(t, table, start), mintOne(t, table, start)
	for _, ticket := range []tarragonwell.Ticket{first, second} {
		table.Begin(start, ticket, nil)
		table.Finish(ticket, completeResult())
	}
	if got, want := table.Query(start, first).Result.Outcome, tarragonwell.OutcomeComplete; got != want {
		t.Errorf("first: got %v, want %v", got, want)
	}
	if got, want := table.Query(start, second).Result.Reason, ReasonNotKept; got != want {
		t.Errorf("second: got %q, want %q", got, want)
	}
	table.Expire(start.Add(time.Hour))
	entries, size := table.Size()
	if got, want := entries+size, 0; got != want {
		t.Errorf("after expiry: got %d entries and bytes, want %d", got, want)
	}
}

// TestDispatchAtMostOnceAcrossHandOvers draws histories of requests, stops and
// hand-overs over a chain of tables. No ticket may be dispatched twice, even if copies
// of a hand-over are delivered again.
func TestDispatchAtMostOnceAcrossHandOvers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		tables := []*Table{openTable(1), openTable(2), openTable(3), openTable(4)}
		var tickets []tarragonwell.Ticket
		dispatched := map[uint64]int{}
		var sent []tarragonwell.OperationHandOver
		current := 0
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if minted, err := tables[0].Mint(now, 1, 30*time.Second); err == nil {
					tickets = append(tickets, minted[0])
				}
			case 1, 2, 3:
				if len(tickets) == 0 {
					continue
				}
				ticket := tickets[rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")]
				for _, x := range tables {
					if x.Begin(now, ticket, nil).Action == ActionDispatch {
						dispatched[ticket.Sequence]++
						x.Finish(ticket, completeResult())
					}
				}
			case 4:
				if current == len(tables)-1 {
					continue
				}
				sent = append(sent, tables[current].Close(now)...)
				current++
				for _, o := range sent {
					if o.Incarnation == (tarragonwell.Incarnation{1}) && int(o.Generation) == current {
						_ = tables[current].TakeOver(now, o)
					}
				}
			case 5:
				// Copies of all hand-overs are delivered again to their successors.
				for _, o := range sent {
					if o.Incarnation == (tarragonwell.Incarnation{1}) {
						_ = tables[o.Generation].TakeOver(now, o)
					}
				}
			}
		}
		for sequence, n := range dispatched {
			if n > 1 {
				t.Fatalf("ticket %d: got %d dispatches, want 1", sequence, n)
			}
		}
	})
}

func TestHandOverPreservesOutcomes(t *testing.T) {
	home, successor := openTable(1), openTable(2)
	used, unused := mintOne(t, home, start), mintOne(t, home, start)
	running := mintOne(t, home, start)
	home.Begin(start, used, nil)
	home.Finish(used, completeResult())
	home.Begin(start, running, nil)
	later := start.Add(10 * time.Second)
	for _, o := range home.Close(later) {
		if err := successor.TakeOver(later, o); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := home.Begin(later, unused, nil).Action, ActionForward; got != want {
		t.Errorf("closed table: got %v, want %v", got, want)
	}
	if got, want := string(successor.Begin(later, used, nil).Result.Body), "done"; got != want {
		t.Errorf("used: got %q, want %q", got, want)
	}
	if got, want := successor.Begin(later, running, nil).Result.Outcome, tarragonwell.OutcomeUnknown; got != want {
		t.Errorf("running: got %v, want %v", got, want)
	}
	if got, want := successor.Begin(later, unused, nil).Action, ActionDispatch; got != want {
		t.Errorf("unused: got %v, want %v", got, want)
	}
}

// TestResultWithoutBodyIsKept checks that a result without a body, such as not-run, is
// recorded as it is while a hand-over exceeds the bound of stored bodies.
func TestResultWithoutBodyIsKept(t *testing.T) {
	table := openTable(1)
	first, second := mintOne(t, table, start), mintOne(t, table, start)
	fingerprint := Fingerprint("POST", "/releases", nil)
	table.Begin(start, first, fingerprint)
	table.Finish(first, completeResult())
	table.MaxBytes = 1
	table.Begin(start, second, fingerprint)
	table.Finish(second, tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeNotRun,
		Reason:  "refused",
	})
	got := table.Begin(start, second, fingerprint).Result.Outcome
	if want := tarragonwell.OutcomeNotRun; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
