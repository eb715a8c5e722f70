package tarragonwell

import (
	"bytes"
	"cmp"
	"time"
)

// RulesVersion orders rules files. The higher generation wins, then the later era, then
// the higher revision. Of two files that share all of them the one with the greater digest
// wins, so that all instances agree.
type RulesVersion struct {
	// Generation is the number that the operators gave the rules, which rises with every
	// change. Unlike a revision it does not go back when the platform comes back from a copy
	// of its data, in which the latest rules may be missing. It is 0 if the format has none,
	// and in messages of earlier releases; it then does not count.
	Generation uint64
	// Era is the era of Revision; see ListPosition.
	Era      uint64
	Revision uint64
	// Digest is the SHA-256 of the file's bytes.
	Digest []byte
}

// After reports whether v takes precedence over w.
func (v RulesVersion) After(w RulesVersion) bool {
	if v.Generation != w.Generation && v.Generation > 0 && w.Generation > 0 {
		return v.Generation > w.Generation
	}
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision), bytes.Compare(v.Digest, w.Digest)) > 0
}

// Equal reports whether v and w identify the same file.
func (v RulesVersion) Equal(w RulesVersion) bool {
	return v.Era == w.Era && v.Revision == w.Revision && bytes.Equal(v.Digest, w.Digest)
}

// RuleSet is the parsed form of published rules. It is not modified after it has been
// parsed.
//
// The platform's protocol determines the format, see settingsfile.Settings. Some fields
// exist in one format only and are zero in the other:
//
//   - Only rules files, which have tarragonwell's own format and are parsed by package
//     rulesfile, have organisations, a ticket lifetime, long kinds, ramps and data centres.
//   - Only the configuration of the prepared platform, which package platform parses,
//     has caller limits, hosts, splits, timeouts and attempt limits of routes, latency
//     objectives, CrossDataCenter, placement probes, utilizations, probe paths and
//     retry slack.
type RuleSet struct {
	Version RulesVersion
	// Content is the published content, byte for byte.
	Content []byte
	Fleet   Fleet
	// Services is keyed by name.
	Services map[string]*Service
	// Kinds is keyed by name.
	Kinds map[string]*Kind
	// DataCenters is keyed by name.
	DataCenters map[string]*DataCenter
	// Routes is in file order.
	Routes []*Route
	// Lines holds all rules in file order.
	Lines  []RuleLine
	Limits CallerLimits
}

// CallerLimits bounds callers' requests.
type CallerLimits struct {
	// RequestBodyBytes is the maximum size of a request body; 0 selects the limit of
	// the settings file.
	RequestBodyBytes int64
	// HeadBytes is the size up to which every request head is received; 0 for no statement.
	HeadBytes int64
	// HeadTimeout is the time within which callers send their heads; 0 for no statement.
	HeadTimeout time.Duration
}

// RuleLine is the source of one rule.
type RuleLine struct {
	// Number is the line number in a rules file, or the position among the rules in
	// another format; from 1.
	Number int
	Text   string
	// AskedBy is the requester of the rule, as named in the comment of the line.
	AskedBy string
	// Key consists of the section and the name of the rule. It is unique in the set.
	Key string
}

// Fleet holds the rules that apply to all instances together.
type Fleet struct {
	// InstancesAtMost is the expected maximum number of instances, at least 1. The
	// budgets of the fleet are divided by it, or by the number of instances on the
	// platform's list or the highest number seen alive at once if one of them is higher.
	// It does not limit the size of the fleet.
	InstancesAtMost int
	// TicketLife is the validity of a ticket from its minting; 0 selects the default of
	// package operation.
	TicketLife time.Duration
	Line       RuleLine
}

// DataCenter is the rule on one data centre.
type DataCenter struct {
	Name string
	// Drain is set if the data centre is out of service: its targets get no calls.
	Drain bool
	Line  RuleLine
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// Organisation is the organisation that the service belongs to. The service and
	// the kind of a route must belong to the same one.
	Organisation string
	// Slots is the number of requests that a target runs concurrently, at least 1.
	Slots int
	// Connections is the number of connections that a target accepts from all
	// instances together, at least 1.
	Connections int
	// ProbeBudget is the maximum rate of load probes in probes per second and target,
	// for all instances together. Targets are probed periodically or, if
	// PlacementProbes is above 0, before calls are placed. There are no other health
	// checks.
	ProbeBudget float64
	// RetryRatio is the maximum ratio of retries to first attempts, between 0 and 1.
	RetryRatio float64
	// RetrySlack is the number of retries that all instances together may make over
	// any period in addition to RetryRatio: the size of a token bucket that RetryRatio
	// refills; 0 selects the default.
	RetrySlack float64
	// PlacementProbes is the maximum number of targets that are probed for their load
	// before a call is placed, within ProbeBudget; 0 selects periodic probes instead.
	PlacementProbes int
	// MaxUtilization is the ratio of calls to slots up to which a target receives
	// further calls. It is set for targets that slow down when nearly full. 0 selects
	// the default, which is above 1.
	MaxUtilization float64
	// OverflowUtilization is the ratio of calls to slots above which a target counts
	// as nearly full. If the probed targets of the local data centre are nearly full,
	// targets of other data centres are probed too. 0 disables this overflow.
	OverflowUtilization float64
	// ProbePath is the path of load probes; empty selects the default of the dialect.
	ProbePath string
	// Ramp is the slow-start time of a new or recovered target, during which it gets
	// fewer calls.
	Ramp time.Duration
	// WarmUpRate is the rate of calls that a target sustains while it is warming up, in
	// calls per second and target, for all instances together; 0 means no limit.
	WarmUpRate float64
	// Policy is the name of the load-balancing policy; see package policy.
	Policy string
	Line   RuleLine
}

// Kind describes a class of requests that are handled alike.
type Kind struct {
	Name string
	// Organisation is the organisation that the kind belongs to; see
	// Service.Organisation.
	Organisation string
	// Repeatable is set if requests are idempotent and may be retried and hedged.
	Repeatable bool
	// Long is set if responses are streamed and may take longer than Timeout. Kinds that
	// are not long, and their calls, are called short.
	Long bool
	// Timeout bounds a whole call or, if Long is set, the wait for the first byte of
	// the response. Its key in the rules file is deadline.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is of most use to the
	// caller; 0 means no objective.
	LatencyObjective time.Duration
	// Weight is the kind's weight in the fair sharing of slots among waiting calls,
	// at least 1.
	Weight int
	// SlotShare is the share of the slots that the kind may use, in (0, 1].
	SlotShare float64
	// CrossDataCenter allows calls to be placed in other data centres if few local
	// targets have room. It is meant for kinds with small responses. Calls of other
	// kinds leave the local data centre only if no local target has room.
	CrossDataCenter bool
	// Hedge enables hedged requests. It is set on repeatable, short kinds only.
	Hedge bool
	Line  RuleLine
}

// Route maps the requests that match it to a service and a kind.
type Route struct {
	// Host is empty if the route matches any host.
	Host string
	// Method is empty if the route matches any method.
	Method string
	// PathPrefix is a prefix of the request's path, without the query. It consists of
	// whole path segments or, if Host is set, may end within a segment.
	PathPrefix string
	// Service is nil if Split is set.
	Service *Service
	// Split divides the route's traffic among several services. It is empty if
	// Service is set.
	Split []WeightedService
	Kind  *Kind
	// Timeout bounds a call in addition to the kind's timeout; 0 means no further
	// bound.
	Timeout time.Duration
	// MaxAttempts is the maximum number of attempts of a call, including the first one
	// and a hedge; 0 selects the default.
	MaxAttempts int
	Line        RuleLine
}

// WeightedService is a service's share of a route's traffic.
type WeightedService struct {
	Service *Service
	// Weight is at least 0. At least one weight of a route is positive.
	Weight float64
}
