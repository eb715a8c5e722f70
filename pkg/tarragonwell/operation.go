package tarragonwell

import "time"

// OperationVerb is the action that a caller requests on an operation.
type OperationVerb int

const (
	// OperationRun executes the operation, or returns the stored result if it was
	// executed before.
	OperationRun OperationVerb = iota
	// OperationQuery returns the current state of the operation without changing it.
	OperationQuery
	// OperationVoid prevents the operation from ever being executed, unless it
	// already was.
	OperationVoid
)

// Operation is a request that must be executed at most once. Its ticket
// identifies it, so that the caller can repeat the request safely.
type Operation struct {
	Ticket Ticket
	Verb   OperationVerb
	Method string
	// RequestURI is the escaped path with the query.
	RequestURI  string
	Header      map[string][]string
	Body        []byte
	Deadline    time.Time
	RetriesLeft int
}

// ForwardResponse is a peer's response to a forwarded operation.
type ForwardResponse struct {
	Result StoredResult
	// NotHolder is set if the peer does not hold the operations of the ticket's
	// incarnation.
	NotHolder bool
	// Holder is the peer address of the instance that took the operations over,
	// or "" if the peer does not know it.
	Holder string
}
