package operation

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// Action is what to do with a request that carries a ticket.
type Action int

const (
	// ActionReply means that the decision's result is the response to the caller.
	ActionReply Action = iota
	// ActionDispatch means that the operation must be dispatched now. It is decided at
	// most once for a ticket.
	ActionDispatch
	// ActionWait means that the operation is running; its result is to be awaited.
	ActionWait
	// ActionForward means that the ticket's incarnation is held by another instance, to
	// which the request is to be forwarded.
	ActionForward
)

// Decision is the table's decision on a request that carries a ticket.
type Decision struct {
	Action Action
	// Result is set if Action is ActionReply.
	Result tarragonwell.StoredResult
}

// replyWithoutResponse returns an ActionReply without a stored response.
func replyWithoutResponse(outcome tarragonwell.Outcome, reason string) Decision {
	return Decision{
		Action: ActionReply,
		Result: tarragonwell.StoredResult{
			Outcome: outcome,
			Reason:  reason,
		},
	}
}
