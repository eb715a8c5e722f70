package caller

// Headers exchanged with callers.
const (
	// HeaderOutcome is complete, not-run or unknown.
	HeaderOutcome = "Tarragonwell-Outcome"
	// HeaderReason explains briefly why the outcome isn't complete.
	HeaderReason = "Tarragonwell-Reason"
	// HeaderTicket carries a ticket, in requests and responses.
	HeaderTicket = "Tarragonwell-Ticket"
	// HeaderIdempotencyKey announces that the caller may repeat the request. For
	// requests that must not be run twice, the response asks for a repeat with a
	// ticket; the header's value is ignored.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of the ticket API.
const (
	// PathTickets mints tickets in advance.
	PathTickets = "/tarragonwell/v1/tickets"
	// PathOperations, followed by a ticket, returns the state of its operation
	// (GET). DELETE first voids the ticket if it is unused.
	PathOperations = "/tarragonwell/v1/operations/"
)
