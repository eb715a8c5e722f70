package tarragonwell

import "time"

// AuditRecord is one change that an instance took part in.
type AuditRecord struct {
	// Sequence counts the records of the instance.
	Sequence uint64
	Time     time.Time
	Instance string
	// Event names the change in kebab case.
	Event    string
	Revision uint64
	AskedBy  string
	// LearntFrom is "platform", "self" or the address of a peer or target.
	LearntFrom string
	Detail     string
}
