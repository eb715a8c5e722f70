package tarragonwell

import "time"

// MACSize is the length of a ticket's authentication code in bytes.
const MACSize = 16

// Ticket identifies an operation and the only incarnation that may dispatch it.
type Ticket struct {
	// Home is the peer address of the instance that minted the ticket.
	Home        string
	Incarnation Incarnation
	Sequence    uint64
	// Expiry is the time since the start of the incarnation, by the clock of the
	// home instance.
	Expiry time.Duration
	MAC    [MACSize]byte
}

// OperationEntry is the retained result of one ticket's operation.
type OperationEntry struct {
	Sequence    uint64
	Expiry      time.Duration
	Fingerprint []byte
	Result      StoredResult
}

// StoredResult is the result of an operation, retained so that it can be
// returned to repeated requests.
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
	Key         []byte
	// Clock is the time since the start of the incarnation at which the hand-over
	// was created.
	Clock      time.Duration
	Generation uint32
	// Minted is the number of unexpired tickets, keyed by the second of their
	// expiry.
	Minted  map[int64]int
	Entries []OperationEntry
}
