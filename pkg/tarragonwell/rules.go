package tarragonwell

import (
	"bytes"
	"time"
)

// RulesVersion orders rules files. The higher revision wins. Of two files with
// the same revision the one with the greater digest wins, so that all instances
// agree.
type RulesVersion struct {
	Revision uint64
	// Digest is the SHA-256 of the file's bytes.
	Digest []byte
}

// After reports whether v takes precedence over w.
func (v RulesVersion) After(w RulesVersion) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return bytes.Compare(v.Digest, w.Digest) > 0
}

// Equal reports whether v and w identify the same file.
func (v RulesVersion) Equal(w RulesVersion) bool {
	return v.Revision == w.Revision && bytes.Equal(v.Digest, w.Digest)
}

// RuleSet is an accepted rules file. It is immutable once published.
type RuleSet struct {
	Version RulesVersion
	// Content is the file, byte for byte.
	Content []byte
	Fleet   Fleet
	// Services is keyed by name.
	Services map[string]*Service
	// Kinds is keyed by name.
	Kinds map[string]*Kind
	// Routes is in file order.
	Routes []*Route
	// Lines holds all rules in file order.
	Lines []RuleLine
	// Limits bounds callers' requests and idle connections.
	Limits CallerLimits
}

// CallerLimits bounds callers' requests and idle connections. For a field that is
// zero the limit of the settings file applies.
type CallerLimits struct {
	// RequestBodyBytes is the maximum size of a request body.
	RequestBodyBytes int64
	// MinIdleTime is the minimum time for which an idle connection of a caller is
	// kept open.
	MinIdleTime time.Duration
}

// RuleLine is one rule as the operator wrote it.
type RuleLine struct {
	// Number is the line number, from 1.
	Number int
	Text   string
	// AskedBy is who requested the rule, as noted in the file.
	AskedBy string
	// Key consists of the section and the name of the rule. It is unique in the file.
	Key string
}

// Fleet holds the rules that apply to all instances together.
type Fleet struct {
	// InstancesAtMost is the maximum number of instances, at least 1. Each instance
	// gets the probe budget divided by it.
	InstancesAtMost int
	// TicketLife is the validity of a ticket from its minting. It is positive.
	TicketLife time.Duration
	Line       RuleLine
}

// Service describes the targets of one service.
type Service struct {
	Name         string
	Organisation string
	// Slots is the number of requests that a target runs concurrently, at least 1.
	Slots int
	// Connections is the number of connections that a target accepts from all
	// instances together, at least 1.
	Connections int
	// ProbeBudget is the maximum rate of probes in probes per second and target,
	// for all instances together.
	ProbeBudget float64
	// RetryRatio is the maximum ratio of retries to calls, between 0 and 1.
	RetryRatio float64
	// RetrySlack is the number of retries that all instances together may make at
	// a time in addition to RetryRatio; 0 selects the default.
	RetrySlack float64
	// PlacementProbes is the maximum number of targets that are probed for their
	// load before a call is placed, within ProbeBudget; 0 disables these probes.
	PlacementProbes int
	// MaxUtilization is the ratio of calls to slots up to which a target receives
	// further calls. It is set for targets that slow down when nearly full. 0 selects
	// the default, which is above 1.
	MaxUtilization float64
	// OverflowUtilization is the ratio of calls to slots above which a target counts
	// as nearly full. If the probed targets of the local data centre are nearly full,
	// targets of other data centres are probed too. 0 disables this overflow.
	OverflowUtilization float64
	// ProbePath is the path of load probes; empty selects the default.
	ProbePath string
	// Ramp is the slow-start time of a new or recovered target.
	Ramp time.Duration
	// Policy is the name of the load-balancing policy.
	Policy string
	Line   RuleLine
}

// Kind describes a class of requests that are handled alike.
type Kind struct {
	Name         string
	Organisation string
	// Repeatable is set if requests are idempotent and may be retried and hedged.
	Repeatable bool
	// Long is set if responses are streamed. Kinds that are not long, and their calls,
	// are called short.
	Long bool
	// Timeout bounds a whole call or, if Long is set, the wait for the first byte of
	// the response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is of most use to the
	// caller; 0 means no objective.
	LatencyObjective time.Duration
	// Weight is the kind's weight in the fair sharing of slots among waiting calls,
	// at least 1.
	Weight int
	// SlotShare is the share of the slots that the kind may use, in (0, 1].
	SlotShare float64
	// CrossDataCenter is set if responses are small, so that calls are also placed in
	// other data centres if the local one has few free targets. Other kinds leave the
	// local data centre only if it has none.
	CrossDataCenter bool
	// Hedge enables hedged requests. It is set on repeatable, short kinds only.
	Hedge bool
	Line  RuleLine
}

// Route maps the requests that match it to a service and a kind.
type Route struct {
	// Host is empty if the route matches any host. If it is set, Path is a literal
	// prefix.
	Host string
	// Method is empty if the route matches any method.
	Method string
	// PathPrefix is a prefix that matches up to a segment boundary.
	PathPrefix string
	// Service is nil if Split is set.
	Service *Service
	// Split divides the route's traffic among several services. It is empty if
	// Service is set.
	Split []WeightedService
	Kind  *Kind
	// Timeout bounds a call in addition to the kind's deadline; 0 means no further
	// bound.
	Timeout time.Duration
	// MaxAttempts is the maximum number of targets that a call is sent to; 0 selects
	// the default.
	MaxAttempts int
	Line        RuleLine
}

// WeightedService is a service's share of a route's traffic.
type WeightedService struct {
	Service *Service
	// Weight is at least 0. At least one weight of a route is positive.
	Weight float64
}
