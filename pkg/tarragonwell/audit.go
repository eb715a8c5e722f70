package tarragonwell

import "time"

// AuditRecord describes one change of state or configuration at an instance.
type AuditRecord struct {
	// Sequence numbers the records of the instance.
	Sequence uint64
	Time     time.Time
	Instance string
	// Event is the name of the change in kebab case.
	Event string
	// Revision is the revision of the rules that the event concerns, or 0.
	Revision uint64
	// AskedBy is who requested the changed rule, or "".
	AskedBy string
	// LearntFrom is the source of the change: "platform", "self", or the address
	// of a peer or target.
	LearntFrom string
	Detail     string
}
