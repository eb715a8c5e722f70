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

// Equal reports whether v and w name the same file.
func (v RulesVersion) Equal(w RulesVersion) bool {
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
	// Limits bound what callers may send.
	Limits CallerLimits
}

// CallerLimits bound what callers may send. A zero field leaves the limit to
// the settings.
type CallerLimits struct {
	// RequestBodyBytes bounds a request's body.
	RequestBodyBytes int64
	// IdleTimeout is how long a caller may leave a connection idle at least.
	IdleTimeout time.Duration
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
	// RetrySlack is the number of retries that the whole fleet may make at a time
	// beside the ratio; 0 for the usual.
	RetrySlack float64
	// PlacementProbes is how many targets are asked for their load before a call is
	// placed, within the probe budget; 0 for none.
	PlacementProbes int
	// MaxUtilization is the share of its slots up to which a target is given calls, for
	// targets that slow down when nearly full; 0 for the usual, which is more
	// than all.
	MaxUtilization float64
	// OverflowUtilization is the share of its slots from which a target counts as nearly full,
	// so that targets of other data centres are asked for their load too; 0 for
	// never.
	OverflowUtilization float64
	// HealthPath is asked for load; empty for the usual.
	HealthPath string
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
	// LatencyObjective is the time within which an answer is worth most; 0 for none.
	LatencyObjective time.Duration
	// Weight is at least 1.
	Weight int
	// SlotShare is in (0, 1].
	SlotShare float64
	// CrossDataCenter says that answers are small, so that targets of other data centres
	// are used as well where the own has few.
	CrossDataCenter bool
	// Hedge is set on repeatable, short kinds only.
	Hedge bool
	Line  RuleLine
}

// Route sends requests to a service as one kind.
type Route struct {
	// Host is empty for any host. With a host, the path is a literal prefix.
	Host string
	// Method is empty for any method.
	Method string
	// Path is a prefix that ends on a segment boundary.
	Path string
	// Service is nil where Parts is set.
	Service *Service
	// Split are the services that share the route, or empty.
	Split []WeightedService
	Kind  *Kind
	// Timeout bounds a call beside the kind's deadline; 0 for none.
	Timeout time.Duration
	// MaxAttempts is the most targets that a call is sent to; 0 for the usual.
	MaxAttempts int
	Line        RuleLine
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service *Service
	// Weight is at least 0; the weights of a route are not all 0.
	Weight float64
}
