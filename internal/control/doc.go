// Package control disables single safeguards for negative controls: test runs which
// show that a check detects the failure that the safeguard prevents. In programs
// built without the tag "negativecontrol" every safeguard is enabled.
package control

// Safeguard names a mechanism that can be disabled. The values are those
// of the environment variable EnvVar and are fixed, so some differ from the names of the
// constants.
type Safeguard string

const (
	// EnvVar is the environment variable that names the safeguard to disable in
	// programs built with the tag "negativecontrol".
	EnvVar = "TARRAGONWELL_WITHOUT"

	// TicketHome allows only the holder of a ticket to dispatch its operation.
	TicketHome Safeguard = "ticket-home"
	// SingleSend prevents the transport and the retries from repeating calls that
	// must not be run twice.
	SingleSend Safeguard = "single-send"
	// TruthfulNotRun reports not-run only if no target can have run the call.
	TruthfulNotRun Safeguard = "truthful-not-run"
	// TruncationAbort aborts the caller's connection when a response is truncated.
	TruncationAbort Safeguard = "visible-cut"
	// ResponseIdentity rejects responses of targets that belong to another request.
	ResponseIdentity Safeguard = "answer-identity"
	// GracefulStop finishes the calls in flight and hands operations over before
	// the instance stops.
	GracefulStop Safeguard = "graceful-stop"
	// NewestRules rejects a rules file that is older than the one in force.
	NewestRules Safeguard = "newest-rules"
	// LeavingReport acts at once on a target's own report that it is leaving.
	LeavingReport Safeguard = "leaving-word"
	// PauseCheck holds calls back after a pause of the process until the list of
	// targets has been confirmed or a timeout has passed.
	PauseCheck Safeguard = "pause-check"
	// ProbeBudget divides the probe budget among all instances of the fleet.
	ProbeBudget Safeguard = "probe-budget"
)
