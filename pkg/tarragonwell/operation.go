package tarragonwell

import "time"

// OperationVerb is the action that a caller requests on an operation.
type OperationVerb int

const (
	// OperationRun executes the operation unless it was executed before.
	OperationRun OperationVerb = iota
	// OperationQuery returns the current state of the operation without changing it.
	OperationQuery
	// OperationVoid cancels the operation permanently unless it was executed
	// before.
	OperationVoid
)

// Operation is a request that must be executed at most once, with the ticket
// that identifies it.
type Operation struct {
	Ticket Ticket
	Verb   OperationVerb
	Method string
	// Path is the escaped path with the query.
	Path        string
	Header      map[string][]string
	Body        []byte
	Deadline    time.Time
	RetriesLeft int
}

// ForwardResponse is a peer's reply to a forwarded operation.
type ForwardResponse struct {
	Result StoredResult
	// NotHolder is set if the peer does not hold the operations of the ticket's
	// incarnation.
	NotHolder bool
	// Holder is the peer address of the instance that took the operations over,
	// or "" if the peer does not know it.
	Holder string
}
