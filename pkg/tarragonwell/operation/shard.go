package operation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// expiryBucket is the granularity at which expired tickets are removed.
const expiryBucket = time.Second

// entry is the record of a ticket that was used or voided.
type entry struct {
	// expiry is when the ticket expires, on the clock of its incarnation.
	expiry time.Duration
	// fingerprint is that of the dispatched request; nil for a voided ticket.
	fingerprint []byte
	// running changes from true to false once.
	running bool
	// result is final once running is false.
	result tarragonwell.StoredResult
}

// shard holds the operations of one incarnation. At any time at most one instance holds
// the shard of an incarnation.
type shard struct {
	incarnation tarragonwell.Incarnation
	// key authenticates the incarnation's tickets.
	key []byte
	// start is the zero of the incarnation's clock.
	start time.Time
	// generation counts the hand-overs of the shard so far.
	generation uint32
	// sequence is that of the latest minted ticket.
	sequence uint64
	// entries holds the used and voided tickets by sequence.
	entries map[uint64]*entry
	// expiring holds the sequences of entries by the bucket of their expiry, so that
	// expiry does not scan all entries.
	expiring map[int64][]uint64
	// minted counts the minted tickets by the bucket of their expiry.
	minted map[int64]int
}

func newShard(incarnation tarragonwell.Incarnation, key []byte, start time.Time, generation uint32) *shard {
	return &shard{
		incarnation: incarnation,
		key:         key,
		start:       start,
		generation:  generation,
		entries:     map[uint64]*entry{},
		expiring:    map[int64][]uint64{},
		minted:      map[int64]int{},
	}
}

// bucketIndex returns the bucket of an expiry on the incarnation's clock.
func bucketIndex(d time.Duration) int64 {
	return int64(d / expiryBucket)
}

// sign returns the message authentication code of a ticket.
func (s *shard) sign(ticket tarragonwell.Ticket) [tarragonwell.MACSize]byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(ticket.Home))
	h.Write(ticket.Incarnation[:])
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], ticket.Sequence)
	binary.BigEndian.PutUint64(numbers[8:], uint64(ticket.Expiry.Milliseconds()))
	h.Write(numbers[:])
	var mac [tarragonwell.MACSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

// isAuthentic reports whether the ticket's authentication code is valid.
func (s *shard) isAuthentic(ticket tarragonwell.Ticket) bool {
	want := s.sign(ticket)
	return hmac.Equal(want[:], ticket.MAC[:])
}

func (s *shard) add(sequence uint64, e *entry) {
	s.entries[sequence] = e
	bucket := bucketIndex(e.expiry)
	s.expiring[bucket] = append(s.expiring[bucket], sequence)
}

// expire removes expired tickets and returns the response bytes freed. Entries of running
// operations move to the current bucket, so that they stay until a later call finds them
// finished.
func (s *shard) expire(clock time.Duration) (freed int) {
	limit := bucketIndex(clock)
	for bucket := range s.minted {
		if bucket < limit {
			delete(s.minted, bucket)
		}
	}
	for bucket, sequences := range s.expiring {
		if bucket >= limit {
			continue
		}
		var running []uint64
		for _, sequence := range sequences {
			if s.entries[sequence].running {
				running = append(running, sequence)
				continue
			}
			freed += len(s.entries[sequence].result.Body)
			delete(s.entries, sequence)
		}
		delete(s.expiring, bucket)
		if len(running) > 0 {
			s.expiring[limit] = append(s.expiring[limit], running...)
		}
	}
	return freed
}

// outstanding counts the unexpired minted tickets, with an entry or without.
func (s *shard) outstanding() int {
	n := 0
	for _, c := range s.minted {
		n += c
	}
	return n
}
