package tarragonwell

// Outcome reports to a caller whether its request was executed.
type Outcome int

const (
	// OutcomeUnspecified is the zero value. It is never sent to a caller.
	OutcomeUnspecified Outcome = iota
	// OutcomeComplete means that the target's response was delivered in full.
	OutcomeComplete
	// OutcomeNotRun means that no target executed the request or ever will.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have executed the request.
	OutcomeUnknown
)

// String returns the outcome as it appears in headers and status output.
func (o Outcome) String() string {
	switch o {
	case OutcomeComplete:
		return "complete"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "unspecified"
	}
}
