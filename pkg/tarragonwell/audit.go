package tarragonwell

import "time"

// AuditRecord describes one change of state or configuration at an instance.
type AuditRecord struct {
	// Sequence numbers the records of the instance.
	Sequence uint64
	Time     time.Time
	Instance string
	// Event is the name of the change in kebab case.
	Event    string
	Revision uint64
	AskedBy  string
	// LearntFrom is the source of the change: "platform", "self", or the address
	// of a peer or target.
	LearntFrom string
	Detail     string
}
