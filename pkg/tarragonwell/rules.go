package tarragonwell

import (
	"bytes"
	"time"
)

// RulesVersion orders rules files. The higher revision wins; between two files
// of one revision the greater digest wins, so that all instances agree.
type RulesVersion struct {
	Revision uint64
	// Digest is the SHA-256 of the file's bytes.
	Digest []byte
}

// After reports whether v is to replace w.
func (v RulesVersion) After(w RulesVersion) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return bytes.Compare(v.Digest, w.Digest) > 0
}

// Same reports whether v and w name the same file.
func (v RulesVersion) Same(w RulesVersion) bool {
	return v.Revision == w.Revision && bytes.Equal(v.Digest, w.Digest)
}

// RuleSet is an accepted rules file. It is immutable once published.
type RuleSet struct {
	Version RulesVersion
	// Content is the file, byte for byte.
	Content []byte
	Fleet   Fleet
	// Services by name.
	Services map[string]*Service
	// Kinds by name.
	Kinds map[string]*Kind
	// Routes in the order of the file.
	Routes []*Route
	// Lines are all rules in the order of the file.
	Lines []RuleLine
}

// RuleLine is one rule as the operator wrote it.
type RuleLine struct {
	// Number counts from 1.
	Number  int
	Text    string
	AskedBy string
	// Key is the section and name, unique in the file.
	Key string
}

// Fleet holds what all instances share.
type Fleet struct {
	// InstancesAtMost is at least 1. Probe budgets are divided by it.
	InstancesAtMost int
	// TicketLife is positive.
	TicketLife time.Duration
	Line       RuleLine
}

// Service describes the targets of one service.
type Service struct {
	Name         string
	Organisation string
	// Slots is at least 1: the requests that a target runs at a time.
	Slots int
	// Connections is at least 1: what a target accepts from the whole fleet.
	Connections int
	// ProbeBudget is in probes per second and target, for the whole fleet.
	ProbeBudget float64
	// RetryRatio is between 0 and 1.
	RetryRatio float64
	Ramp       time.Duration
	Policy     string
	Line       RuleLine
}

// Kind describes one kind of request.
type Kind struct {
	Name         string
	Organisation string
	// Repeatable says that running a request twice does no harm.
	Repeatable bool
	// Long says that answers are streamed.
	Long     bool
	Deadline time.Duration
	// Weight is at least 1.
	Weight int
	// SlotShare is in (0, 1].
	SlotShare float64
	// Hedge is set on repeatable, short kinds only.
	Hedge bool
	Line  RuleLine
}

// Route sends requests to a service as one kind.
type Route struct {
	// Method is empty for any method.
	Method string
	// Path is a prefix that ends on a segment boundary.
	Path    string
	Service *Service
	Kind    *Kind
	Line    RuleLine
}
