package operation

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Close ends the table and returns what a successor needs. From now on every
// ticket is forwarded. What still runs is handed over as unknown.
func (t *Table) Close(now time.Time) []tarragonwell.OperationHandOver {
	if t.closed {
		return nil
	}
	t.Expire(now)
	t.closed = true
	var out []tarragonwell.OperationHandOver
	for _, b := range t.books {
		out = append(out, b.export(now))
	}
	return out
}

// TakeOver takes over the operations of another incarnation. Taking the same
// hand-over twice changes nothing. It fails with ErrClosed.
func (t *Table) TakeOver(now time.Time, o tarragonwell.OperationHandOver) error {
	if t.closed {
		return ErrClosed
	}
	if t.books[o.Incarnation] != nil {
		return nil
	}
	b := newBook(o.Incarnation, o.Key, now.Add(-o.Clock), o.Generation)
	for _, x := range o.Entries {
		b.add(x.Sequence, &entry{
			expiry:      x.Expiry,
			fingerprint: x.Fingerprint,
			result:      x.Result,
		})
		t.bytes += len(x.Result.Body)
	}
	for k, n := range o.Minted {
		b.minted[k] = n
	}
	t.hold(b)
	return nil
}

// Generations lists the incarnations whose operations the table holds, with the
// generation of each in its chain of hand-overs.
func (t *Table) Generations() map[tarragonwell.Incarnation]uint32 {
	out := map[tarragonwell.Incarnation]uint32{}
	for i, b := range t.books {
		out[i] = b.generation
	}
	return out
}

func (b *book) export(now time.Time) tarragonwell.OperationHandOver {
	out := tarragonwell.OperationHandOver{
		Incarnation: b.incarnation,
		Key:         slices.Clone(b.key),
		Clock:       now.Sub(b.start),
		Generation:  b.generation + 1,
		Minted:      map[int64]int{},
	}
	for k, n := range b.minted {
		out.Minted[k] = n
	}
	for s, e := range b.entries {
		out.Entries = append(out.Entries, e.export(s))
	}
	slices.SortFunc(out.Entries, func(x, y tarragonwell.OperationEntry) int {
		return int(x.Sequence) - int(y.Sequence)
	})
	return out
}

func (e *entry) export(sequence uint64) tarragonwell.OperationEntry {
	r := e.result
	if e.running {
		r = tarragonwell.StoredResult{
			Outcome: tarragonwell.OutcomeUnknown,
			Reason:  ReasonInterrupted,
		}
	}
	return tarragonwell.OperationEntry{
		Sequence:    sequence,
		Expiry:      e.expiry,
		Fingerprint: e.fingerprint,
		Result:      r,
	}
}
