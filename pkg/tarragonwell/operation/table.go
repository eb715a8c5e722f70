// Package operation decides which non-idempotent requests may be dispatched, so that
// each is dispatched at most once. A ticket is the idempotency key of a request and
// names one incarnation. Only the instance that holds the operations of this incarnation
// may dispatch the request, and a ticket has one final outcome.
package operation

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	defaultMaxTickets = 200_000
	defaultMaxBytes   = 32 << 20
	defaultLifetime   = 2 * time.Minute
	// MaxBatch is the largest number of tickets that one call of Mint returns.
	MaxBatch = 256
)

// Reasons returned to callers.
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

// Table holds the operations of one instance: those of its own incarnation and those
// that it took over. It is not safe for concurrent use: one goroutine owns it. The zero
// value holds no incarnation and forwards every ticket.
type Table struct {
	// Home is the peer address of the instance. Minted tickets carry it, so that other
	// instances can forward them.
	Home string
	// MaxTickets bounds the outstanding tickets, used or not; 0 means 200,000.
	MaxTickets int
	// MaxBytes bounds the bodies of the stored responses, in bytes; 0 means 32 MiB.
	MaxBytes int

	// own is the shard of the table's own incarnation, for which Mint mints tickets; nil
	// before Open.
	own *shard
	// shards holds all shards by incarnation, own among them.
	shards map[tarragonwell.Incarnation]*shard
	// bytes is the size of the bodies of the stored responses. Finish does not raise it
	// above MaxBytes; a hand-over may.
	bytes  int
	closed bool
}

// Open adds an empty shard for the instance's own incarnation, for which Mint mints
// tickets. key authenticates them.
func (t *Table) Open(now time.Time, incarnation tarragonwell.Incarnation, key []byte) {
	t.own = newShard(incarnation, key, now, 0)
	t.addShard(t.own)
}

func (t *Table) addShard(s *shard) {
	if t.shards == nil {
		t.shards = map[tarragonwell.Incarnation]*shard{}
	}
	t.shards[s.incarnation] = s
}

// Mint returns n new tickets, at most MaxBatch, with the given lifetime; 0 means two
// minutes. It returns ErrFull if too many tickets are outstanding, and ErrClosed after
// Close or before Open.
func (t *Table) Mint(now time.Time, n int, lifetime time.Duration) ([]tarragonwell.Ticket, error) {
	if t.closed || t.own == nil {
		return nil, ErrClosed
	}
	t.Expire(now)
	if n > MaxBatch {
		n = MaxBatch
	}
	if t.outstanding()+n > t.maxTickets() {
		return nil, ErrFull
	}
	if lifetime <= 0 {
		lifetime = defaultLifetime
	}
	expiry := (now.Sub(t.own.start) + lifetime).Truncate(time.Millisecond)
	tickets := make([]tarragonwell.Ticket, 0, n)
	for range n {
		t.own.sequence++
		ticket := tarragonwell.Ticket{
			Home:        t.Home,
			Incarnation: t.own.incarnation,
			Sequence:    t.own.sequence,
			Expiry:      expiry,
		}
		ticket.MAC = t.own.sign(ticket)
		tickets = append(tickets, ticket)
	}
	t.own.minted[bucketIndex(expiry)] += n
	return tickets, nil
}

// Begin decides on a request that carries a ticket and records its first use.
// ActionDispatch must be followed by the dispatch of the request and a call of Finish.
func (t *Table) Begin(now time.Time, ticket tarragonwell.Ticket, fingerprint []byte) Decision {
	s, e, d := t.find(now, ticket)
	if s == nil {
		return d
	}
	if e == nil {
		s.add(ticket.Sequence, &entry{
			expiry:      ticket.Expiry,
			fingerprint: fingerprint,
			running:     true,
		})
		return Decision{
			Action: ActionDispatch,
		}
	}
	if e.fingerprint != nil && !bytes.Equal(e.fingerprint, fingerprint) {
		return replyWithoutResponse(tarragonwell.OutcomeNotRun, ReasonOtherRequest)
	}
	return e.decision()
}

// Query returns the state of a ticket and changes nothing. The outcome of a ticket that
// has not been used is unspecified.
func (t *Table) Query(now time.Time, ticket tarragonwell.Ticket) Decision {
	s, e, d := t.find(now, ticket)
	if s == nil {
		return d
	}
	if e == nil {
		return replyWithoutResponse(tarragonwell.OutcomeUnspecified, ReasonUnused)
	}
	return e.decision()
}

// Void cancels a ticket: unless it has been used, its request is never dispatched. It
// returns the decision for the ticket, which is that of Query if it has been used.
func (t *Table) Void(now time.Time, ticket tarragonwell.Ticket) Decision {
	s, e, d := t.find(now, ticket)
	if s == nil {
		return d
	}
	if e == nil {
		e = &entry{
			expiry: ticket.Expiry,
			result: tarragonwell.StoredResult{
				Outcome: tarragonwell.OutcomeNotRun,
				Reason:  ReasonVoided,
			},
		}
		s.add(ticket.Sequence, e)
	}
	return e.decision()
}

// Finish records the final outcome of a dispatched ticket. If the stored bodies would
// exceed MaxBytes, the result is recorded without its header and body, and with an
// unknown outcome. A result without a body is always recorded as it is.
func (t *Table) Finish(ticket tarragonwell.Ticket, result tarragonwell.StoredResult) {
	s := t.shards[ticket.Incarnation]
	if s == nil {
		return
	}
	e := s.entries[ticket.Sequence]
	if e == nil || !e.running {
		return
	}
	if len(result.Body) > 0 && t.bytes+len(result.Body) > t.maxBytes() {
		result = tarragonwell.StoredResult{
			Outcome: tarragonwell.OutcomeUnknown,
			Status:  result.Status,
			Reason:  ReasonNotKept,
		}
	}
	t.bytes += len(result.Body)
	e.running = false
	e.result = result
}

// Expire removes expired tickets, and shards taken over from other incarnations once
// all their tickets have expired.
func (t *Table) Expire(now time.Time) {
	for incarnation, s := range t.shards {
		t.bytes -= s.expire(now.Sub(s.start))
		if s != t.own && len(s.entries) == 0 && now.Sub(s.start) > t.lastExpiry(s) {
			delete(t.shards, incarnation)
		}
	}
}

// lastExpiry returns the time, on the clock of the shard, after which all its tickets
// have expired.
func (t *Table) lastExpiry(s *shard) time.Duration {
	last := time.Duration(0)
	for bucket := range s.minted {
		last = max(last, time.Duration(bucket+1)*expiryBucket)
	}
	return last
}

// Running returns the number of operations in flight.
func (t *Table) Running() int {
	n := 0
	for _, s := range t.shards {
		for _, e := range s.entries {
			if e.running {
				n++
			}
		}
	}
	return n
}

// Size returns the number of used and voided tickets and the size of their stored bodies
// in bytes.
func (t *Table) Size() (entries, size int) {
	for _, s := range t.shards {
		entries += len(s.entries)
	}
	return entries, t.bytes
}

// find looks up a ticket. If the shard is nil, the decision needs no entry; else the
// entry is nil if the ticket has been neither used nor voided.
func (t *Table) find(now time.Time, ticket tarragonwell.Ticket) (*shard, *entry, Decision) {
	s := t.shards[ticket.Incarnation]
	if s == nil || t.closed {
		return nil, nil, Decision{
			Action: ActionForward,
		}
	}
	if !s.isAuthentic(ticket) {
		return nil, nil, replyWithoutResponse(tarragonwell.OutcomeNotRun, ReasonForged)
	}
	if now.Sub(s.start) >= ticket.Expiry {
		return nil, nil, replyWithoutResponse(tarragonwell.OutcomeUnknown, ReasonExpired)
	}
	return s, s.entries[ticket.Sequence], Decision{}
}

// outstanding returns the number of unexpired minted tickets of all shards.
func (t *Table) outstanding() int {
	n := 0
	for _, s := range t.shards {
		n += s.outstanding()
	}
	return n
}

// maxTickets returns MaxTickets or its default.
func (t *Table) maxTickets() int {
	if t.MaxTickets <= 0 {
		return defaultMaxTickets
	}
	return t.MaxTickets
}

// maxBytes returns MaxBytes or its default.
func (t *Table) maxBytes() int {
	if t.MaxBytes <= 0 {
		return defaultMaxBytes
	}
	return t.MaxBytes
}

// decision returns the decision for a ticket that has been used or voided.
func (e *entry) decision() Decision {
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

// Fingerprint returns a hash of a request. A ticket is bound to the fingerprint of the
// request that it was first used for. Each part is hashed with its length, so that
// different requests can't be concatenated to the same input.
func Fingerprint(method, path string, body *tarragonwell.Body) []byte {
	h := sha256.New()
	for _, part := range []*tarragonwell.Body{tarragonwell.NewBody([]byte(method)), tarragonwell.NewBody([]byte(path)), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(part.Length()))
		h.Write(size[:])
		if part == nil {
			continue
		}
		for _, block := range part.Blocks {
			h.Write(block)
		}
	}
	return h.Sum(nil)
}
