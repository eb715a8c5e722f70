package tarragonwell

import (
	"context"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
	// Uptime counts also while the process, or the whole machine, is suspended,
	// as Now need not.
	Uptime() time.Duration
}

// AuditSink takes in the records of the audit trail. Record never blocks on a
// reader.
type AuditSink interface {
	Record(AuditRecord)
}

// Platform reads what operators publish. Implementations write nothing.
type Platform interface {
	// Feeds lists what is to be watched, each by a task of its own.
	Feeds() []Feed
	// ParseRules checks published rules. The verdict depends on the revision and
	// the bytes alone, so that all instances agree.
	ParseRules(p *PublishedRules) (*RuleSet, error)
}

// Feed is a part of what the platform publishes that is watched with one call
// at a time.
type Feed interface {
	// Name is for logs.
	Name() string
	// Watch returns what was published after a position, or nothing when the
	// wait ran out. From the zero position it reads everything at once.
	Watch(ctx context.Context, after PlatformPosition, wait time.Duration) (PlatformUpdate, error)
	// MayRegress says that the platform may show earlier revisions again, as
	// after a restore, so that everything is to be read now and then.
	MayRegress() bool
}

// CallerDialect translates between callers' headers and calls.
type CallerDialect interface {
	// ReadCall takes what a request's header says into the call and takes out of
	// the header what is not for targets. The call's kind and its bound on the
	// deadline are set before. It fails with a *RequestError.
	ReadCall(now time.Time, client string, c *Call) error
	// CallID returns the id that a request brings, or "".
	CallID(header map[string][]string) string
	// EncodeLocalReply encodes the end of a call that is not a target's answer.
	EncodeLocalReply(r *LocalReply) EncodedReply
	// WriteAnswer turns the header of a target's answer into what the caller is
	// told.
	WriteAnswer(r *Result, header map[string][]string)
}

// TargetDialect translates between calls and what targets speak. It is shared by
// all tasks and has no state.
type TargetDialect interface {
	// WriteCall completes the header of a call to a target. left is the time
	// until the call's deadline.
	WriteCall(c *Call, to *ListedTarget, left time.Duration, header map[string][]string)
	// ReadAnswer judges the header of an answer.
	ReadAnswer(c *Call, status int, header map[string][]string) AnswerHead
	// ProbePath is asked for a target's load.
	ProbePath(s *Service) string
	// ReadProbe takes in the answer to a probe. It fails where the answer can't
	// be read or comes from another target.
	ReadProbe(to *ListedTarget, status int, header map[string][]string, body []byte) (ProbeAnswer, error)
}

// Exchanger sends calls to one target.
type Exchanger interface {
	// Exchange returns once the header of the answer has arrived. The error is
	// an *ExchangeError.
	Exchange(ctx context.Context, c *Call) (*Answer, error)
}

// Chooser picks a target for a call.
type Chooser interface {
	// Choose returns an index into targets, which is never empty, or -1 to hold
	// the call until a slot is likely free. Targets that may not be used have
	// been left out.
	Choose(now time.Time, c ChoiceInput, targets []*TargetState) int
}

// ChoiceInput is what a chooser may know of a call.
type ChoiceInput struct {
	Kind *Kind
	// MeanShortLatency is the mean of all short calls of the service.
	MeanShortLatency time.Duration
	// MeanExternalCalls is the mean number of other instances' calls at a target, for
	// targets that have not reported.
	MeanExternalCalls float64
	// MaxUtilization is the share of its slots up to which a target is given calls; 0 for
	// the usual.
	MaxUtilization float64
	// OverflowEnabled says that far targets are asked for their load, so that MeanOthersFar,
	// which is MeanOthers at targets of other data centres, tells of them.
	OverflowEnabled         bool
	MeanRemoteExternalCalls float64
	// MeanReportedSlowdown is the mean that targets report, in parts of the usual; 0
	// where none has.
	MeanReportedSlowdown float64
	// Ramp is the time over which a new target is given its full share.
	Ramp time.Duration
	// BelowFairShare says that the instance has fewer calls in flight than its share
	// of the slots that the kind may use, and so need not wait for a target with
	// room.
	BelowFairShare bool
}

// Prober is implemented by choosers that ask for probes of their own with each
// call, outside of the probe budget. Only baselines do.
type Prober interface {
	// ProbeTargets returns indexes into targets.
	ProbeTargets(now time.Time, targets []*TargetState) []int
	// RecordProbe hands in the answer to a probe.
	RecordProbe(now time.Time, id string, load LoadReport, latency time.Duration)
}

// Dispatcher brings a call to a target and back.
type Dispatcher interface {
	// Dispatch ends the call within its deadline, or with ctx.
	Dispatch(ctx context.Context, c *Call) Result
}

// Forwarder carries operations to the instances that hold their tickets.
type Forwarder interface {
	// Forward fails where the peer could not be reached or did not answer; the
	// operation may have run then.
	Forward(ctx context.Context, address string, o *Operation) (ForwardReply, error)
	// HolderOf returns where an incarnation's operations went, or "".
	HolderOf(i Incarnation) string
	// IsMember reports whether an address belongs to the fleet.
	IsMember(address string) bool
}

// OperationDispatcher runs an operation at its home.
type OperationDispatcher interface {
	// DispatchOperation ends within the operation's deadline. The result is final.
	DispatchOperation(ctx context.Context, o *Operation) StoredResult
}
