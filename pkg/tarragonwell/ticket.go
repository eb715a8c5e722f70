package tarragonwell

import "time"

// MACSize is the length of a ticket's authentication code in bytes.
const MACSize = 16

// Ticket identifies an operation and the incarnation that minted the ticket. Only the
// process that holds the operations of this incarnation may dispatch the operation.
type Ticket struct {
	// Home is the peer address of the home instance, which minted the ticket.
	Home string
	// Incarnation is the incarnation that minted the ticket.
	Incarnation Incarnation
	// Sequence is the ticket's number in the order in which the incarnation minted
	// its tickets, from 1.
	Sequence uint64
	// Expiry is when the ticket expires, as the time since the start of the
	// incarnation by the clock of the home instance.
	Expiry time.Duration
	// MAC authenticates the other fields with the key of the incarnation.
	MAC [MACSize]byte
}

// OperationEntry is the record of a ticket that was used or voided.
type OperationEntry struct {
	Sequence uint64
	Expiry   time.Duration
	// Fingerprint is a hash of the request that the ticket was first used for, or nil
	// if the ticket was voided before its use.
	Fingerprint []byte
	Result      StoredResult
}

// StoredResult is the result of an operation, retained so that it can be returned
// when the request is repeated.
type StoredResult struct {
	Outcome Outcome
	Status  int
	Header  map[string][]string
	Body    []byte
	Reason  string
}

// OperationHandOver transfers the operations of one incarnation to a successor.
type OperationHandOver struct {
	Incarnation Incarnation
	// Key authenticates the tickets of the incarnation.
	Key []byte
	// Age is the time since the start of the incarnation at which the hand-over was
	// created: the reading of the incarnation's clock.
	Age time.Duration
	// Generation is the position in the chain of hand-overs.
	Generation uint32
	// Minted is the number of unexpired tickets, keyed by the second of their
	// expiry.
	Minted  map[int64]int
	Entries []OperationEntry
}
