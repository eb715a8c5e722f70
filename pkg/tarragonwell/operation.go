package tarragonwell

import "time"

// OperationVerb is what a caller wants of an operation.
type OperationVerb int

const (
	// OperationRun runs it unless it has been.
	OperationRun OperationVerb = iota
	// OperationAsk tells what is known and changes nothing.
	OperationAsk
	// OperationVoid sees to it that it never runs, unless it has been run.
	OperationVoid
)

// Operation is a request that must not repeat, with its ticket.
type Operation struct {
	Ticket Ticket
	Verb   OperationVerb
	Method string
	// Path holds the escaped path and the query.
	Path        string
	Header      map[string][]string
	Body        []byte
	Deadline    time.Time
	RetriesLeft int
}

// ForwardReply is what a peer says of an operation.
type ForwardReply struct {
	Result StoredResult
	// NotHolder says that the peer does not hold the ticket's incarnation.
	NotHolder bool
	// Holder is where the operations went, if the peer knows.
	Holder string
}
