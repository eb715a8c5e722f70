// Package operation decides which requests that must not repeat may be
// dispatched. A ticket names one incarnation; only the process that holds this
// incarnation's book may dispatch it, and a ticket has one final outcome.
package operation

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	defaultEntries = 200_000
	defaultBytes   = 32 << 20
	defaultLife    = 2 * time.Minute
	// MaxBatch is the largest number of tickets minted at a time.
	MaxBatch = 256
)

// Reasons told to callers.
const (
	ReasonExpired      = "the ticket has expired"
	ReasonForged       = "the ticket isn't genuine"
	ReasonOtherRequest = "the ticket was used for another request"
	ReasonVoided       = "the ticket was given up by its caller"
	ReasonUnused       = "the ticket has not been used"
	ReasonRunning      = "the operation is running"
	ReasonNotKept      = "the operation ran; its answer was too large to keep"
	ReasonInterrupted  = "the operation was running when its home stopped"
)

// Table holds the operations of one process: its own incarnation's and those
// that it took over. It is not safe for concurrent use: one task owns it. The
// zero value holds no incarnation and forwards every ticket.
type Table struct {
	// Home is the peer address written into minted tickets.
	Home string
	// MaxEntries bounds the tickets outstanding; 0 means 200,000.
	MaxEntries int
	// MaxBytes bounds the answers kept; 0 means 32 MiB.
	MaxBytes int

	own   *book
	books map[tarragonwell.Incarnation]*book
	// bytes is the sum of the answers kept, at most MaxBytes.
	bytes  int
	closed bool
}

// Open starts the table's own incarnation.
func (t *Table) Open(now time.Time, i tarragonwell.Incarnation, key []byte) {
	t.own = newBook(i, key, now, 0)
	t.hold(t.own)
}

func (t *Table) hold(b *book) {
	if t.books == nil {
		t.books = map[tarragonwell.Incarnation]*book{}
	}
	t.books[b.incarnation] = b
}

// Mint makes n tickets that live for the given time. It fails with ErrFull or
// ErrClosed.
func (t *Table) Mint(now time.Time, n int, life time.Duration) ([]tarragonwell.Ticket, error) {
	if t.closed || t.own == nil {
		return nil, ErrClosed
	}
	t.Expire(now)
	if n > MaxBatch {
		n = MaxBatch
	}
	if t.outstanding()+n > t.maxEntries() {
		return nil, ErrFull
	}
	if life <= 0 {
		life = defaultLife
	}
	expiry := (now.Sub(t.own.start) + life).Truncate(time.Millisecond)
	tickets := make([]tarragonwell.Ticket, 0, n)
	for range n {
		t.own.sequence++
		k := tarragonwell.Ticket{
			Home:        t.Home,
			Incarnation: t.own.incarnation,
			Sequence:    t.own.sequence,
			Expiry:      expiry,
		}
		k.MAC = t.own.sign(k)
		tickets = append(tickets, k)
	}
	t.own.minted[bucketOf(expiry)] += n
	return tickets, nil
}

// Begin decides on a request that shows a ticket. After ActionDispatch the
// caller must call Finish.
func (t *Table) Begin(now time.Time, k tarragonwell.Ticket, fingerprint []byte) Decision {
	b, e, v := t.find(now, k)
	if b == nil {
		return v
	}
	if e == nil {
		b.add(k.Sequence, &entry{
			expiry:      k.Expiry,
			fingerprint: fingerprint,
			running:     true,
		})
		return Decision{
			Action: ActionDispatch,
		}
	}
	if e.fingerprint != nil && !bytes.Equal(e.fingerprint, fingerprint) {
		return tell(tarragonwell.OutcomeNotRun, ReasonOtherRequest)
	}
	return e.verdict()
}

// Lookup tells what is known of a ticket and changes nothing.
func (t *Table) Lookup(now time.Time, k tarragonwell.Ticket) Decision {
	b, e, v := t.find(now, k)
	if b == nil {
		return v
	}
	if e == nil {
		return tell(tarragonwell.OutcomeUnspecified, ReasonUnused)
	}
	return e.verdict()
}

// Void gives up a ticket: unless it has been used, it never will be run.
func (t *Table) Void(now time.Time, k tarragonwell.Ticket) Decision {
	b, e, v := t.find(now, k)
	if b == nil {
		return v
	}
	if e == nil {
		e = &entry{
			expiry: k.Expiry,
			result: tarragonwell.StoredResult{
				Outcome: tarragonwell.OutcomeNotRun,
				Reason:  ReasonVoided,
			},
		}
		b.add(k.Sequence, e)
	}
	return e.verdict()
}

// Finish records the final outcome of a dispatched ticket. What does not fit
// into the table's bytes is remembered without its answer.
func (t *Table) Finish(k tarragonwell.Ticket, r tarragonwell.StoredResult) {
	b := t.books[k.Incarnation]
	if b == nil {
		return
	}
	e := b.entries[k.Sequence]
	if e == nil || !e.running {
		return
	}
	if t.bytes+len(r.Body) > t.maxBytes() {
		r = tarragonwell.StoredResult{
			Outcome: tarragonwell.OutcomeUnknown,
			Status:  r.Status,
			Reason:  ReasonNotKept,
		}
	}
	t.bytes += len(r.Body)
	e.running = false
	e.result = r
}

// Expire forgets tickets that have passed their expiry.
func (t *Table) Expire(now time.Time) {
	for i, b := range t.books {
		t.bytes -= b.expire(now.Sub(b.start))
		if b != t.own && len(b.entries) == 0 && now.Sub(b.start) > t.lastExpiry(b) {
			delete(t.books, i)
		}
	}
}

// lastExpiry is the time after which no ticket of an adopted book can be live.
func (t *Table) lastExpiry(b *book) time.Duration {
	last := time.Duration(0)
	for k := range b.minted {
		last = max(last, time.Duration(k+1)*expiryBucket)
	}
	return last
}

// Running counts the operations in flight.
func (t *Table) Running() int {
	n := 0
	for _, b := range t.books {
		for _, e := range b.entries {
			if e.running {
				n++
			}
		}
	}
	return n
}

// Size returns the entries and the answer bytes held.
func (t *Table) Size() (entries, size int) {
	for _, b := range t.books {
		entries += len(b.entries)
	}
	return entries, t.bytes
}

// find looks a ticket up. The book is nil where the verdict is final.
func (t *Table) find(now time.Time, k tarragonwell.Ticket) (*book, *entry, Decision) {
	b := t.books[k.Incarnation]
	if b == nil || t.closed {
		return nil, nil, Decision{
			Action: ActionForward,
		}
	}
	if !b.genuine(k) {
		return nil, nil, tell(tarragonwell.OutcomeNotRun, ReasonForged)
	}
	if now.Sub(b.start) >= k.Expiry {
		return nil, nil, tell(tarragonwell.OutcomeUnknown, ReasonExpired)
	}
	return b, b.entries[k.Sequence], Decision{}
}

func (t *Table) outstanding() int {
	n := 0
	for _, b := range t.books {
		n += b.outstanding()
	}
	return n
}

func (t *Table) maxEntries() int {
	if t.MaxEntries <= 0 {
		return defaultEntries
	}
	return t.MaxEntries
}

func (t *Table) maxBytes() int {
	if t.MaxBytes <= 0 {
		return defaultBytes
	}
	return t.MaxBytes
}

func (e *entry) verdict() Decision {
	if e.running {
		return Decision{
			Action: ActionWait,
		}
	}
	return Decision{
		Action: ActionReply,
		Result: e.result,
	}
}

// Fingerprint identifies the request that a ticket was first used for.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}
