package tarragonwell

import "time"

// TargetState is an instance's view of one target. It is owned by the goroutine of
// the service; policies only read it.
type TargetState struct {
	// ID identifies the target even after its address was reassigned.
	ID      string
	Address string
	// Born is a number that changes with each start of the target under the same ID.
	// Only its equality matters.
	Born uint64
	// JoinSequence is different each time the target is added to the service, so
	// that a call sent before a removal is not counted after the target returns.
	JoinSequence uint64
	DataCenter   string
	// Local is set if the target is in the instance's own data centre.
	Local bool
	// Slots is the number of requests that the target runs concurrently, at least
	// 1.
	Slots int
	// ListedSlots is the number of slots on the platform's list, or 0 if the list
	// does not contain it.
	ListedSlots int
	// InFlight is the number of the instance's own calls at the target, including
	// long ones.
	InFlight int
	// InFlightLong is the number of the instance's own long calls at the target, at
	// most InFlight.
	InFlightLong int
	// TrialInFlight is the number of the instance's own calls at the target that were
	// sent while it was on trial after an ejection or a backoff, at most InFlight.
	TrialInFlight int
	// ExternalCalls is the number of calls of other instances at the target as of
	// LoadReportedAt, at least 0.
	ExternalCalls  float64
	LoadReportedAt time.Time
	// SmoothedExternalCalls is ExternalCalls smoothed over many load reports.
	SmoothedExternalCalls float64
	// ReportedSlowdown is the ratio of the current to the normal time of work at the
	// target by its latest report: 1 is normal, 2 is twice as long, 0 means not
	// reported.
	ReportedSlowdown float64
	// Latency is the smoothed latency of short calls; 0 before the first. For short
	// and long calls see Kind.Long.
	Latency time.Duration
	// ObservedSlowdown is the smoothed ratio of latency to the kind's mean over all
	// targets: 1 is normal; 0 before the first call.
	ObservedSlowdown float64
	// LastProgress is when a short call last ended, when the target last refused a
	// call, or when the first of the short calls in flight was sent, whichever is
	// latest. A target with calls in flight and no recent progress counts as
	// unresponsive: it is avoided and, if several calls are affected, announced to the
	// peers as suspected.
	LastProgress time.Time
	// FailureRate is the smoothed share of failures, 0 to 1. Failed probes and
	// refusals in spite of free slots count as failures.
	FailureRate float64
	// ConsecutiveFailures is reset to 0 by the first success.
	ConsecutiveFailures int
	// EjectedUntil is when an ejected target may receive a trial call.
	EjectedUntil time.Time
	// SuspectUntil is when a peer's announcement that the target is unresponsive or
	// ejected expires.
	SuspectUntil time.Time
	// SuspectAnnouncedAt is when the instance itself last announced the target to its
	// peers as suspected.
	SuspectAnnouncedAt time.Time
	// Ejections is the number of ejections since the last success.
	Ejections int
	// RampStart is when the target joined, recovered or returned after a drain, which
	// starts its slow start. It is in the future while the target awaits ReturnAt.
	RampStart time.Time
	// MinRamp is the minimum length of the slow start that begins at RampStart, whatever
	// the rules say. It is above 0 only after a drain of the target's data centre.
	MinRamp time.Duration
	// WarmUpUntil is the end of the target's warm-up, according to the platform or, if
	// WarmUpReported is set, to the target itself.
	WarmUpUntil    time.Time
	WarmUpReported bool
	// ListedWarmUpUntil is the end of the target's warm-up according to the platform when
	// its list was last applied, and ListedWarmUpAt is when it changed.
	ListedWarmUpUntil time.Time
	ListedWarmUpAt    time.Time
	// PlacementProbedAt is when the target last responded to a placement probe.
	PlacementProbedAt time.Time
	// LeavingReported is set once the target has told this instance that it is
	// draining, if Born identifies the start of the target that the report is about. It
	// is never cleared.
	LeavingReported bool
	// LeavingUntil is when a report without such an identity, or a peer's announcement,
	// that the target is draining expires.
	LeavingUntil time.Time
	// BackoffUntil is when the time for which the target asked to be sent nothing ends.
	BackoffUntil time.Time
	// BackoffTrial is set from the start of a backoff to the first success after it.
	// After BackoffUntil the target receives one call at a time while it is set.
	BackoffTrial bool
	// ListedLeaving is set if the platform's list marks the target as leaving.
	ListedLeaving bool
	// Delisted is set if the target's entry was removed from the platform's list too
	// recently to conclude that the target has stopped; see ListedTarget.Delisted. Such
	// a target is used only as a last resort.
	Delisted bool
	// Drained is set if the target's data centre is out of service. The target is then
	// never eligible for calls, nor as a last resort.
	Drained bool
	// ReturnAt is when the instance sends calls to the target again after a drain; see
	// package drains. Before that, the target is used only as a last resort.
	ReturnAt time.Time
	// Preferred is set if the target is in the subset that the instance sends calls
	// to by preference, so that connections are reused and load reports are recent.
	// The subset has a maximum size, which is larger for the local data centre than
	// for all others together.
	Preferred bool
	// LongCallRank is the position of the target, from 0, in an order of the service's
	// targets that is the same on every instance with the same list. A long kind with a
	// SlotShare below 1 uses only about that share of the targets, the first ones in
	// this order, and more while there are few short calls.
	LongCallRank int

	// Sent counts all attempts.
	Sent uint64
	// Failed counts failed attempts. Unlike FailureRate it includes no refusals, which
	// Shed counts.
	Failed uint64
	// Shed counts attempts that the target refused. The name is that of the status
	// output.
	Shed uint64
	// Probes counts load probes.
	Probes uint64
}

// Leaving reports whether the target is draining and accepts no new calls.
func (t *TargetState) Leaving(now time.Time) bool {
	return t.ListedLeaving || t.LeavingReported || now.Before(t.LeavingUntil)
}

// InBackoff reports whether the target asked to be sent nothing and has not yet
// recovered from it: the time is not over, or a trial call is in flight.
func (t *TargetState) InBackoff(now time.Time) bool {
	return now.Before(t.BackoffUntil) || (t.BackoffTrial && t.TrialInFlight > 0)
}

// TotalCalls returns the number of calls at the target: those of other instances
// by its latest load report, and the instance's own.
func (t *TargetState) TotalCalls() float64 {
	return float64(t.InFlight) + t.ExternalCalls
}
