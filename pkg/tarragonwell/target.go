package tarragonwell

import "time"

// TargetState is what an instance knows of one target. The service's task owns
// it; the choosers only read it.
type TargetState struct {
	// ID names the target, also after its address went to another.
	ID      string
	Address string
	// Born tells the lives of one ID apart.
	Born uint64
	// JoinSequence tells the times apart that a target has joined.
	JoinSequence uint64
	DataCenter   string
	// Local says that the target is in the instance's own data centre.
	Local bool
	// Slots is at least 1.
	Slots int
	// ListedSlots is what the platform's list says, or 0.
	ListedSlots int
	// InFlight counts the instance's own calls, long ones included.
	InFlight int
	// InFlightLong is at most InFlight.
	InFlightLong int
	// ExternalCalls is the calls of other instances at ReportedAt, at least 0.
	ExternalCalls  float64
	LoadReportedAt time.Time
	// SmoothedExternalCalls is Others smoothed over many reports.
	SmoothedExternalCalls float64
	// ReportedSlowdown is the latest report of how long work takes at the target, in
	// parts of the usual; 0 where it did not tell.
	ReportedSlowdown float64
	// Latency is the smoothed time of short calls; 0 before the first.
	Latency time.Duration
	// ObservedSlowdown is the smoothed ratio of latency to the kind's mean over all
	// targets; 0 before the first call.
	ObservedSlowdown float64
	// LastProgress is when a short call last ended, or when the first of those in
	// flight began.
	LastProgress time.Time
	// FailureRate is the smoothed share of failed calls, 0 to 1.
	FailureRate float64
	// ConsecutiveFailures goes back to 0 with the first success.
	ConsecutiveFailures int
	// EjectedUntil is when an ejected target may get a trial call.
	EjectedUntil time.Time
	// SuspectUntil is how long a peer's word is believed that the target has
	// fallen silent or fails.
	SuspectUntil time.Time
	// SuspectAnnouncedAt is when the instance last told its peers so itself.
	SuspectAnnouncedAt time.Time
	// Ejections counts the ejections since the last success.
	Ejections int
	// RampStart is when the target joined or came back.
	RampStart time.Time
	// WarmUpUntil is when the target has warmed up, by the platform's word.
	WarmUpUntil time.Time
	// PlacementProbedAt is when the target last answered a question for its load.
	PlacementProbedAt time.Time
	// LeavingUntil is how long a target's own word, or a peer's, is believed.
	LeavingUntil time.Time
	// ListedLeaving is the platform's word.
	ListedLeaving bool
	// Expired says that the entry is gone from the platform's list, though not for
	// long enough to be certain that the target is. It is a last resort.
	Expired bool
	// Preferred says that the target is one of those that the instance keeps its
	// connections to, where there are many: more of the own data centre, a few of
	// the others.
	Preferred bool
	// LongCallRank orders the targets of a service for long work, from 0. It is the
	// same on every instance with the same list.
	LongCallRank int

	Sent   uint64
	Failed uint64
	Shed   uint64
	Probes uint64
}

// Leaving reports whether the target takes no new work.
func (t *TargetState) Leaving(now time.Time) bool {
	return t.ListedLeaving || now.Before(t.LeavingUntil)
}

// TotalCalls is the number of calls at the target by its latest report and the
// instance's own count.
func (t *TargetState) TotalCalls() float64 {
	return float64(t.InFlight) + t.ExternalCalls
}
