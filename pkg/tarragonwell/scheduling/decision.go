package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// AcquireRequest requests a target for one attempt of a call.
type AcquireRequest struct {
	// ID is unique among the requests to a Scheduler.
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// CallerTimeLeft is how long the caller will still wait; 0 if unknown.
	CallerTimeLeft time.Duration
	// Exclude lists the IDs of the targets that the call has already tried.
	Exclude []string
	// Retry marks a further attempt, which counts against the instance's share of the
	// retry budget. This includes an attempt after a refusal by a target, which is not
	// charged to the call's tarragonwell.Call.RetriesLeft.
	Retry bool
	// SpareCapacityOnly is set for hedges, which would take slots from first attempts
	// under load. The request is rejected instead of queued if no target has room or
	// calls of its class, that is, of its kind and with the same Late, are already
	// queued. Unlike other requests, it is not granted a target that appears full if
	// the instance is below its fair share, and its maximum utilization is at most
	// hedgeMaxUtilization.
	SpareCapacityOnly bool
	// MustFinish is set while the instance stops, when a call that is still in progress at
	// the deadline is cut off. The request is rejected if the call would most likely not
	// end by then, even if a target is free.
	MustFinish bool
	// MayBeCutOff is set late in such a stop if the time for which the caller waits ends after the
	// deadline. The request is rejected, however short such calls usually are: the caller gets a
	// response in time from another instance.
	MayBeCutOff bool
	// LightlyLoadedOnly is set while further targets can be probed for the call. The request
	// is rejected, without an effect on any budget, unless a recently probed target is
	// lightly loaded: another call may have taken the one that the probes found.
	LightlyLoadedOnly bool
}

// Grant assigns a target to a new or queued request.
type Grant struct {
	// ID is the ID of the request.
	ID       uint64
	TargetID string
	// JoinSequence is the target's join sequence number, to be passed to Release.
	JoinSequence uint64
	// Trial is set if the target is on trial after an ejection or a backoff, to be passed
	// to Release.
	Trial bool
	// SendWithin is the time after the grant within which the call must be sent, because
	// the target is limited to a rate of calls; 0 if it is not.
	SendWithin time.Duration
	// HedgeAfter is the delay after which the call may be hedged to a second
	// target; 0 if no latency has been measured yet.
	HedgeAfter time.Duration
	Basis      Basis
}

// Basis is the data on the target that was chosen, for logs.
type Basis struct {
	// Eligible is the number of eligible targets.
	Eligible int
	// InFlight is the number of the instance's own calls at the target, including
	// this one.
	InFlight int
	// TotalCalls is InFlight plus the calls of other instances according to the
	// target's latest load report. The default policy, in contrast, discounts old
	// reports.
	TotalCalls float64
	// ReportedSlowdown is the service time at the target according to its latest
	// report, relative to the normal one as the target defines it: 1 is normal, 0 not
	// reported.
	ReportedSlowdown float64
	// ReportAge is the age of the target's latest load report; -1 if there is none.
	ReportAge time.Duration
	// Late is set if the call could no longer meet its latency objective when it
	// arrived.
	Late bool
}

// Rejection is the decision to grant a request no target. The attempt is not made.
type Rejection struct {
	// ID is the ID of the request.
	ID     uint64
	Reason string
	// RetryAfter is the delay after which the service may have room; 0 if unknown.
	RetryAfter   time.Duration
	LoadSnapshot LoadSnapshot
}

// LoadSnapshot is this instance's load on the service at the time of a rejection, for
// logs.
type LoadSnapshot struct {
	// InFlight is the number of attempts in flight.
	InFlight int
	// Limit is the concurrency limit.
	Limit float64
	// Queued is the number of queued calls.
	Queued int
	// EstimatedWait is the estimated queueing time of a new call of the same kind; if
	// the rejected call was queued, of a new call of the same class.
	EstimatedWait time.Duration
}

// Reasons for rejections, which are sent to callers.
const (
	ReasonNoTargets        = "no target of the service takes work"
	ReasonDrained          = "the data centres of the service are drained"
	ReasonWarmingUp        = "the targets of the service are warming up"
	ReasonDeadline         = "the deadline can't be met"
	ReasonLatencyObjective = "no target gets free within the objective"
	ReasonQueueFull        = "the queue is full"
	ReasonRetryBudget      = "the retry budget is spent"
	ReasonBusy             = "no target is free"
)

// Decision is the result of an AcquireRequest. At most one field is set; neither is
// set while the call is queued.
type Decision struct {
	Grant     *Grant
	Rejection *Rejection
}
