package operation

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Close closes the table and returns the hand-over of each of its incarnations for a
// successor. From then on every ticket is forwarded. Operations that are still running
// are handed over with an unknown outcome. A second call returns nil.
func (t *Table) Close(now time.Time) []tarragonwell.OperationHandOver {
	if t.closed {
		return nil
	}
	t.Expire(now)
	t.closed = true
	var out []tarragonwell.OperationHandOver
	for _, s := range t.shards {
		out = append(out, s.export(now))
	}
	return out
}

// TakeOver adds the operations of another incarnation to the table. It is idempotent: a
// repeated hand-over changes nothing. It returns ErrClosed if the table is closed.
func (t *Table) TakeOver(now time.Time, handOver tarragonwell.OperationHandOver) error {
	if t.closed {
		return ErrClosed
	}
	if t.shards[handOver.Incarnation] != nil {
		return nil
	}
	s := newShard(handOver.Incarnation, handOver.Key, now.Add(-handOver.Age), handOver.Generation)
	for _, x := range handOver.Entries {
		s.add(x.Sequence, &entry{
			expiry:      x.Expiry,
			fingerprint: x.Fingerprint,
			result:      x.Result,
		})
		t.bytes += len(x.Result.Body)
	}
	for bucket, n := range handOver.Minted {
		s.minted[bucket] = n
	}
	t.addShard(s)
	return nil
}

// Generations returns the incarnations whose operations the table holds and the
// generation of each, its position in its chain of hand-overs.
func (t *Table) Generations() map[tarragonwell.Incarnation]uint32 {
	out := map[tarragonwell.Incarnation]uint32{}
	for incarnation, s := range t.shards {
		out[incarnation] = s.generation
	}
	return out
}

// export returns the hand-over of the shard to the next generation. Its Age is the
// reading of the incarnation's clock.
func (s *shard) export(now time.Time) tarragonwell.OperationHandOver {
	out := tarragonwell.OperationHandOver{
		Incarnation: s.incarnation,
		Key:         slices.Clone(s.key),
		Age:         now.Sub(s.start),
		Generation:  s.generation + 1,
		Minted:      map[int64]int{},
	}
	for bucket, n := range s.minted {
		out.Minted[bucket] = n
	}
	for sequence, e := range s.entries {
		out.Entries = append(out.Entries, e.export(sequence))
	}
	slices.SortFunc(out.Entries, func(x, y tarragonwell.OperationEntry) int {
		return int(x.Sequence) - int(y.Sequence)
	})
	return out
}

// export returns the entry for a hand-over. A running operation becomes interrupted, with
// an unknown outcome.
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
