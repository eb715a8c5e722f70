package tarragonwell

import "time"

// AuditRecord describes one change of state or configuration at an instance.
type AuditRecord struct {
	// Sequence is the record's number in the order of the instance's records.
	Sequence uint64
	Time     time.Time
	Instance string
	// Event is the name of the change in kebab case.
	Event string
	// Revision is the revision of the rules that the event concerns, or 0.
	Revision uint64
	// AskedBy is the requester of the changed rule, or "".
	AskedBy string
	// LearntFrom is the source of the change: "platform", "self", the address of a
	// peer or target, "peer" for a hand-over, or "" if the sender is not known.
	LearntFrom string
	Detail     string
}
