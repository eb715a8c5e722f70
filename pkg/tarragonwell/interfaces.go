package tarragonwell

import (
	"context"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// AuditSink takes in the records of the audit trail. Record never blocks on a
// reader.
type AuditSink interface {
	Record(AuditRecord)
}

// Platform reads and watches what operators publish. Implementations write
// nothing.
type Platform interface {
	// WatchRules returns the rules file once its revision is greater than after,
	// or nil when the wait ran out without news.
	WatchRules(ctx context.Context, after uint64, wait time.Duration) (*PublishedRules, error)
	// WatchInstances does the same for the list of targets and instances.
	WatchInstances(ctx context.Context, after uint64, wait time.Duration) (*InstanceList, error)
}

// PublishedRules is one reading of the rules file.
type PublishedRules struct {
	Revision uint64
	Content  []byte
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
	// ShortLatency is the mean of all short calls of the service.
	ShortLatency time.Duration
	// MeanOthers is the mean number of other instances' calls at a target, for
	// targets that have not reported.
	MeanOthers float64
	// Ramp is the time over which a new target is given its full share.
	Ramp time.Duration
	// Entitled says that the instance has fewer calls in flight than its share
	// of the slots that the kind may use, and so need not wait for a target with
	// room.
	Entitled bool
}

// Prober is implemented by choosers that ask for probes of their own with each
// call, outside of the probe budget. Only baselines do.
type Prober interface {
	// ProbeTargets returns indexes into targets.
	ProbeTargets(now time.Time, targets []*TargetState) []int
	// TakeProbe hands in the answer to a probe.
	TakeProbe(now time.Time, address string, load LoadReport, latency time.Duration)
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
	// Known reports whether an address belongs to the fleet.
	Known(address string) bool
}

// OperationDispatcher runs an operation at its home.
type OperationDispatcher interface {
	// DispatchOperation ends within the operation's deadline. The result is final.
	DispatchOperation(ctx context.Context, o *Operation) StoredResult
}
