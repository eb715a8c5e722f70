package tarragonwell

import "time"

// OperationVerb is the action that a caller requests on an operation.
type OperationVerb int

const (
	// OperationRun runs the operation, or returns the stored result if it was run
	// before.
	OperationRun OperationVerb = iota
	// OperationQuery returns the current state of the operation without changing it.
	// Between peers it is OPERATION_VERB_ASK.
	OperationQuery
	// OperationVoid prevents the operation from ever being run, unless it has already
	// been dispatched.
	OperationVoid
)

// Operation is a request that must run at most once. Its ticket
// identifies it, so that the caller can repeat the request safely.
type Operation struct {
	Ticket Ticket
	Verb   OperationVerb
	Method string
	// RequestURI is the escaped path with the query.
	RequestURI  string
	Header      map[string][]string
	Body        *Body
	Deadline    time.Time
	RetriesLeft int
}

// ForwardResponse is a peer's response to a forwarded operation.
type ForwardResponse struct {
	Result StoredResult
	// NotHolder is set if the peer holds the operations of the ticket's incarnation
	// neither as their home instance nor after a hand-over.
	NotHolder bool
	// Holder is the peer address of the instance that took the operations over,
	// or "" if the peer does not know it.
	Holder string
}
