package caller

// Headers spoken with callers.
const (
	// HeaderOutcome is complete, not-run or unknown.
	HeaderOutcome = "Tarragonwell-Outcome"
	// HeaderReason says in a few words why an outcome isn't complete.
	HeaderReason = "Tarragonwell-Reason"
	// HeaderTicket carries a ticket, in requests and answers.
	HeaderTicket = "Tarragonwell-Ticket"
	// HeaderIdempotencyKey marks a request that its caller may repeat.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of the callers' own interface.
const (
	// PathTickets mints tickets ahead.
	PathTickets = "/tarragonwell/v1/tickets"
	// PathOperations asks for the outcome of a ticket, or gives it up.
	PathOperations = "/tarragonwell/v1/operations/"
)
