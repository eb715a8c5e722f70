package tarragonwell

// Outcome is what a caller is told about its request.
type Outcome int

const (
	// OutcomeUnspecified is the zero value; no caller is ever told it.
	OutcomeUnspecified Outcome = iota
	// OutcomeComplete means that the caller has the whole answer of a target.
	OutcomeComplete
	// OutcomeNotRun means that the request was not run and never will be.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have been run.
	OutcomeUnknown
)

// String returns the form used in headers and reports.
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
