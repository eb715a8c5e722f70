package operation

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// Action is what is to be done with a request that shows a ticket.
type Action int

const (
	// ActionReply means that the verdict's result is final.
	ActionReply Action = iota
	// ActionDispatch means that the operation is to be dispatched now, once.
	ActionDispatch
	// ActionWait means that the operation is running.
	ActionWait
	// ActionForward means that the ticket belongs to another incarnation.
	ActionForward
)

// Decision is the decision on a request that shows a ticket.
type Decision struct {
	Action Action
	// Result is set with ActionTell.
	Result tarragonwell.StoredResult
}

func tell(o tarragonwell.Outcome, reason string) Decision {
	return Decision{
		Action: ActionReply,
		Result: tarragonwell.StoredResult{
			Outcome: o,
			Reason:  reason,
		},
	}
}
