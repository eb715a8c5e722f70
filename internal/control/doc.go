// Package control switches single safeguards off for negative controls: runs
// that show that a check catches what the safeguard prevents. Programs built
// without the tag "negativecontrol" hold every safeguard in force.
package control

// Safeguard names one mechanism.
type Safeguard string

const (
	// EnvVar is the environment variable that names the safeguard to switch
	// off in programs built for it.
	EnvVar = "TARRAGONWELL_WITHOUT"

	// TicketHome lets only the home of a ticket dispatch it.
	TicketHome Safeguard = "ticket-home"
	// SingleSend keeps the transport and the retries from repeating what must
	// not repeat.
	SingleSend Safeguard = "single-send"
	// TruthfulNotRun tells not-run only where nothing can have run.
	TruthfulNotRun Safeguard = "truthful-not-run"
	// TruncationAbort breaks the caller's connection when an answer breaks off.
	TruncationAbort Safeguard = "visible-cut"
	// AnswerIdentity ties each answer to its request.
	AnswerIdentity Safeguard = "answer-identity"
	// GracefulStop finishes what is in flight and hands operations over.
	GracefulStop Safeguard = "graceful-stop"
	// NewestRules refuses an older rules file.
	NewestRules Safeguard = "newest-rules"
	// LeavingReport takes a leaving target's own word at once.
	LeavingReport Safeguard = "leaving-word"
	// PauseCheck confirms the targets after the process was paused.
	PauseCheck Safeguard = "pause-check"
	// ProbeBudget divides the probes by the whole fleet.
	ProbeBudget Safeguard = "probe-budget"
)
