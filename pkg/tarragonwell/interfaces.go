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

// AuditSink stores the records of the audit trail. Record never waits for a
// consumer of the trail.
type AuditSink interface {
	Record(AuditRecord)
}

// PlatformClient reads from the platform: the operators' service that publishes the
// rules file and the list of targets and instances. Implementations have read-only
// access.
type PlatformClient interface {
	// Feeds returns the feeds. The caller watches each in a goroutine of its own.
	Feeds() []Feed
	// ParseRules parses and validates published rules. The result depends only on
	// the version and the bytes, so that all instances agree.
	ParseRules(p *PublishedRules) (*RuleSet, error)
	// Generation returns the RulesVersion.Generation of rules with the given content, which
	// may be invalid; 0 if they have none.
	Generation(content []byte) uint64
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
	// MayRegress reports whether the platform may return to earlier revisions without a
	// new era, as after a restore from a backup, and then reuse a revision for other data. A
	// watch after that revision misses this data, so such a feed is also read in full at
	// intervals. Even in a full read, data with a lower revision than the data already
	// applied is ignored.
	MayRegress() bool
}

// CallerDialect translates between calls and the headers that callers use.
type CallerDialect interface {
	// ParseCallHeader sets fields of the call from its header, and edits the header in
	// place so that it can be sent to a target. The call's route and deadline are
	// already set; ParseCallHeader may shorten the deadline. client is the IP address
	// from which the caller connects, or "". The error is a *RequestError.
	ParseCallHeader(now time.Time, client string, c *Call) error
	// CallID returns the call ID in a request's header; "" if it contains none.
	CallID(header map[string][]string) string
	// EncodeLocalResponse encodes the response to a call that ended without a
	// target's response.
	EncodeLocalResponse(r *LocalResponse) EncodedResponse
	// RewriteResponseHeader modifies the header of a target's response in place for
	// the caller.
	RewriteResponseHeader(r *Result, header map[string][]string)
}

// TargetDialect translates between calls and the headers that targets use. It is
// shared by all goroutines and has no state.
type TargetDialect interface {
	// SetCallHeader adds to header, in place, the fields that a target expects with a
	// call. timeLeft is the time until the call's deadline.
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
	// received. The error is an *AttemptError.
	Send(ctx context.Context, c *Call) (*Response, error)
}

// Policy is a load-balancing policy: it selects the target for a call.
type Policy interface {
	// Choose returns an index into targets, which is never empty, or -1 to queue
	// the call until a slot is likely to be free. targets holds only targets that
	// may be used.
	Choose(now time.Time, c ChoiceInput, targets []*TargetState) int
}

// ChoiceInput holds what a policy may base its choice on, apart from the state of
// the targets.
type ChoiceInput struct {
	Kind *Kind
	// MeanShortLatency is the mean latency of all short calls of the service; see
	// Kind.Long.
	MeanShortLatency time.Duration
	// MeanExternalCalls is the mean number of other instances' calls at a target.
	// It is the estimate for targets that have not reported their load.
	MeanExternalCalls float64
	// MaxUtilization is the ratio of calls to slots up to which a target receives
	// further calls; 0 selects the default.
	MaxUtilization float64
	// OverflowEnabled is set if Service.OverflowUtilization is above 0, so that calls
	// may overflow to targets of other data centres.
	OverflowEnabled bool
	// MeanRemoteExternalCalls is the counterpart of MeanExternalCalls for the targets
	// of other data centres. It is used only if OverflowEnabled is set.
	MeanRemoteExternalCalls float64
	// MeanReportedSlowdown is the mean of the slowdowns that targets report: ratios of
	// the current to the normal time of work, so that 1 is normal; 0 if none was
	// reported.
	MeanReportedSlowdown float64
	// Ramp is the slow-start time, after which a new or recovered target receives its
	// full share of the calls.
	Ramp time.Duration
	// BelowFairShare is set if the instance has fewer calls in flight than its share
	// of the slots that the kind may use. The call may then be sent to a target whose
	// slots all appear to be in use, instead of being queued.
	BelowFairShare bool
}

// ProbingPolicy is implemented by policies that need load probes of their own with
// each call, outside the probe budget. Only policies that serve as a baseline for
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

// Forwarder forwards operations to the instances that hold them.
type Forwarder interface {
	// Forward sends an operation to a peer and waits for its response. It fails if
	// the peer could not be reached or did not respond. The operation may have been
	// run in that case.
	Forward(ctx context.Context, address string, o *Operation) (ForwardResponse, error)
	// HolderOf returns the peer address of the instance that took over an
	// incarnation's operations. It returns "" if no hand-over is known; the
	// operations are then held by their home instance, if that is still running.
	HolderOf(i Incarnation) string
	// IsMember reports whether an address belongs to an instance of the fleet.
	IsMember(address string) bool
}

// OperationDispatcher dispatches the operations that the instance holds.
type OperationDispatcher interface {
	// DispatchOperation returns by the operation's deadline. The result is final.
	DispatchOperation(ctx context.Context, o *Operation) StoredResult
}
