package tarragonwell

// Outcome reports to a caller whether its request was run by a target.
type Outcome int

const (
	// OutcomeUnspecified is the zero value. It is the outcome of a ticket that has not
	// been used yet.
	OutcomeUnspecified Outcome = iota
	// OutcomeComplete means that a target ran the request and responded. The response
	// to an operation has been received from the target in full; the body of any other
	// response may still be in transit.
	OutcomeComplete
	// OutcomeNotRun means that no target ran the request or ever will.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run the request, or that it did and
	// the response was not kept.
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
