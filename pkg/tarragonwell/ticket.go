package tarragonwell

import "time"

// MACSize is the length of a ticket's authentication code in bytes.
const MACSize = 16

// Ticket names the one incarnation that may dispatch an operation.
type Ticket struct {
	// Home is the peer address of the minting instance.
	Home        string
	Incarnation Incarnation
	Sequence    uint64
	// Expiry is by the home's own clock, since its incarnation began.
	Expiry time.Duration
	MAC    [MACSize]byte
}

// OperationEntry is the remembered outcome of one ticket.
type OperationEntry struct {
	Sequence    uint64
	Expiry      time.Duration
	Fingerprint []byte
	Result      StoredResult
}

// StoredResult is a result that can be told again.
type StoredResult struct {
	Outcome Outcome
	Status  int
	Header  map[string][]string
	Body    []byte
	Reason  string
}

// OperationHandOver gives one incarnation's operations to a successor.
type OperationHandOver struct {
	Incarnation Incarnation
	Key         []byte
	// Clock is the incarnation's clock when the hand-over was made.
	Clock      time.Duration
	Generation uint32
	// Minted counts the live tickets by the second of their expiry.
	Minted  map[int64]int
	Entries []OperationEntry
}
