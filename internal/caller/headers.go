package caller

// Headers exchanged with callers.
const (
	// HeaderOutcome is complete, not-run or unknown.
	HeaderOutcome = "Tarragonwell-Outcome"
	// HeaderReason explains briefly why the outcome isn't complete.
	HeaderReason = "Tarragonwell-Reason"
	// HeaderTicket carries a ticket, in requests and responses.
	HeaderTicket = "Tarragonwell-Ticket"
	// HeaderIdempotencyKey marks a request that its caller may send again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of the ticket API.
const (
	// PathTickets mints tickets in advance.
	PathTickets = "/tarragonwell/v1/tickets"
	// PathOperations, followed by a ticket, returns the outcome of its operation
	// (GET) or voids the ticket (DELETE).
	PathOperations = "/tarragonwell/v1/operations/"
)
