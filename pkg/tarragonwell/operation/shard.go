package operation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const expiryBucket = time.Second

// entry is one ticket that was dispatched or voided.
type entry struct {
	expiry      time.Duration
	fingerprint []byte
	// running goes from true to false once.
	running bool
	// result is final once running is false.
	result tarragonwell.StoredResult
}

// shard holds the operations of one incarnation. Exactly one process holds the
// shard of an incarnation at a time.
type shard struct {
	incarnation tarragonwell.Incarnation
	key         []byte
	// start is when the incarnation's clock stood at zero.
	start      time.Time
	generation uint32
	sequence   uint64
	entries    map[uint64]*entry
	// expiring holds the sequences of entries by the bucket of their expiry.
	expiring map[int64][]uint64
	// minted counts the tickets by the bucket of their expiry.
	minted map[int64]int
}

func newShard(i tarragonwell.Incarnation, key []byte, start time.Time, generation uint32) *shard {
	return &shard{
		incarnation: i,
		key:         key,
		start:       start,
		generation:  generation,
		entries:     map[uint64]*entry{},
		expiring:    map[int64][]uint64{},
		minted:      map[int64]int{},
	}
}

func bucketIndex(d time.Duration) int64 {
	return int64(d / expiryBucket)
}

// sign computes the authentication code of a ticket.
func (b *shard) sign(t tarragonwell.Ticket) [tarragonwell.MACSize]byte {
	h := hmac.New(sha256.New, b.key)
	h.Write([]byte(t.Home))
	h.Write(t.Incarnation[:])
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], t.Sequence)
	binary.BigEndian.PutUint64(numbers[8:], uint64(t.Expiry.Milliseconds()))
	h.Write(numbers[:])
	var mac [tarragonwell.MACSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

func (b *shard) isAuthentic(t tarragonwell.Ticket) bool {
	want := b.sign(t)
	return hmac.Equal(want[:], t.MAC[:])
}

func (b *shard) add(sequence uint64, e *entry) {
	b.entries[sequence] = e
	k := bucketIndex(e.expiry)
	b.expiring[k] = append(b.expiring[k], sequence)
}

// expire forgets what has passed its expiry and returns the bytes set free.
func (b *shard) expire(clock time.Duration) (freed int) {
	limit := bucketIndex(clock)
	for k := range b.minted {
		if k < limit {
			delete(b.minted, k)
		}
	}
	for k, sequences := range b.expiring {
		if k >= limit {
			continue
		}
		var running []uint64
		for _, s := range sequences {
			if b.entries[s].running {
				running = append(running, s)
				continue
			}
			freed += len(b.entries[s].result.Body)
			delete(b.entries, s)
		}
		delete(b.expiring, k)
		if len(running) > 0 {
			b.expiring[limit] = append(b.expiring[limit], running...)
		}
	}
	return freed
}

// outstanding counts the tickets that are neither expired nor certain to have
// an entry.
func (b *shard) outstanding() int {
	n := 0
	for _, c := range b.minted {
		n += c
	}
	return n
}
