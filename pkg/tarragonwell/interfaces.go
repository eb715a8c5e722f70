package tarragonwell

import (
	"context"
	"time"
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
	// Uptime returns a monotonic time that, unlike the monotonic reading of Now, also
	// advances while the process or the whole machine is suspended.
	Uptime() time.Duration
}

// AuditSink stores the records of the audit trail. Record never blocks on a
// reader.
type AuditSink interface {
	Record(AuditRecord)
}

// PlatformClient reads the rules and the list of targets and instances from the
// operators' platform. Implementations have read-only access.
type PlatformClient interface {
	// Feeds returns the feeds to watch, each in its own task.
	Feeds() []Feed
	// ParseRules parses and validates published rules. The result depends only on
	// the revision and the bytes, so that all instances agree.
	ParseRules(p *PublishedRules) (*RuleSet, error)
}

// Feed is a part of the platform's data that is watched with long polling, one
// request at a time.
type Feed interface {
	// Name returns the name of the feed in logs.
	Name() string
	// Watch returns the changes after a position. If there are none, it waits for
	// one and returns an empty update once the wait is over. With the zero position
	// it returns all data at once.
	Watch(ctx context.Context, after PlatformPosition, wait time.Duration) (PlatformUpdate, error)
	// MayRegress reports whether the platform may return to earlier revisions, as
	// after a restore from a backup. Such a feed is read in full at intervals.
	MayRegress() bool
}

// CallerDialect translates between calls and the headers that callers use.
type CallerDialect interface {
	// ParseCallHeader parses the request's header into the call and removes from the
	// header the fields that are not meant for targets. The call's route and
	// deadline are already set; ParseCallHeader may shorten the deadline. The error is a
	// *RequestError.
	ParseCallHeader(now time.Time, client string, c *Call) error
	// CallID returns the call ID in a request's header, or "".
	CallID(header map[string][]string) string
	// EncodeLocalResponse encodes the response to a call that ended without a
	// target's response.
	EncodeLocalResponse(r *LocalResponse) EncodedResponse
	// RewriteResponseHeader rewrites the header of a target's response for the caller.
	RewriteResponseHeader(r *Result, header map[string][]string)
}

// TargetDialect translates between calls and the headers that targets use. It is
// shared by all tasks and has no state.
type TargetDialect interface {
	// SetCallHeader completes the header of a call to a target. timeLeft is the time
	// until the call's deadline.
	SetCallHeader(c *Call, target *ListedTarget, timeLeft time.Duration, header map[string][]string)
	// ParseResponseHeader parses and classifies the header of a response.
	ParseResponseHeader(c *Call, status int, header map[string][]string) ResponseInfo
	// ProbePath returns the path of load probes to the targets of a service.
	ProbePath(s *Service) string
	// ParseProbe parses the response to a load probe. It fails if the response is
	// malformed or comes from another target.
	ParseProbe(target *ListedTarget, status int, header map[string][]string, body []byte) (ProbeResponse, error)
}

// Sender sends calls to one target.
type Sender interface {
	// Send sends the call and returns once the header of the response has been
	// received. The error is an *ExchangeError.
	Send(ctx context.Context, c *Call) (*Response, error)
}

// Policy selects the target for a call: it is the load-balancing policy.
type Policy interface {
	// Choose returns an index into targets, which is never empty, or -1 to queue
	// the call until a slot is likely to be free. targets holds only targets that
	// may be used.
	Choose(now time.Time, c ChoiceInput, targets []*TargetState) int
}

// ChoiceInput holds what a chooser may base its choice on, apart from the state
// of the targets.
type ChoiceInput struct {
	Kind *Kind
	// MeanShortLatency is the mean latency of all short calls of the service.
	MeanShortLatency time.Duration
	// MeanExternalCalls is the mean number of other instances' calls at a target.
	// It is the estimate for targets that have not reported their load.
	MeanExternalCalls float64
	// MaxUtilization is the ratio of calls to slots up to which a target receives
	// further calls; 0 selects the default.
	MaxUtilization float64
	// OverflowEnabled is set if targets of other data centres are probed for their
	// load. MeanRemoteExternalCalls, the counterpart of MeanExternalCalls for these
	// targets, is valid only then.
	OverflowEnabled         bool
	MeanRemoteExternalCalls float64
	// MeanReportedSlowdown is the mean slowdown that targets report, relative to the
	// normal time of work; 0 if none was reported.
	MeanReportedSlowdown float64
	// Ramp is the slow-start time, after which a new or recovered target receives its
	// full share of the calls.
	Ramp time.Duration
	// BelowFairShare is set if the instance has fewer calls in flight than its share
	// of the slots that the kind may use. The call then need not wait for a target
	// with free slots.
	BelowFairShare bool
}

// ProbingPolicy is implemented by choosers that need load probes of their own with each
// call, outside the probe budget. Only the policies that serve as a baseline for
// comparison do so.
type ProbingPolicy interface {
	// ProbeTargets returns the targets to probe, as indexes into targets.
	ProbeTargets(now time.Time, targets []*TargetState) []int
	// RecordProbe records the load that a target reported in response to a probe.
	RecordProbe(now time.Time, id string, load LoadReport, latency time.Duration)
}

// Dispatcher sends calls to targets, with retries and hedging.
type Dispatcher interface {
	// Dispatch returns by the call's deadline or when ctx is done.
	Dispatch(ctx context.Context, c *Call) Result
}

// Forwarder forwards operations to the instances that hold their tickets.
type Forwarder interface {
	// Forward sends an operation to a peer and waits for its response. It fails if
	// the peer could not be reached or did not respond. The operation may have been
	// executed in that case.
	Forward(ctx context.Context, address string, o *Operation) (ForwardResponse, error)
	// HolderOf returns the peer address of the instance that took over an
	// incarnation's operations, or "".
	HolderOf(i Incarnation) string
	// IsMember reports whether an address belongs to an instance of the fleet.
	IsMember(address string) bool
}

// OperationDispatcher executes operations on their home instance.
type OperationDispatcher interface {
	// DispatchOperation returns by the operation's deadline. The result is final.
	DispatchOperation(ctx context.Context, o *Operation) StoredResult
}
