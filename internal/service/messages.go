package service

import (
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// acquireMessage requests a target. The reply channel has a buffer of one, so
// that the task never blocks on it.
type acquireMessage struct {
	request scheduling.AcquireRequest
	reply   chan<- acquireReply
}

// acquireReply is the reply to an acquireMessage. The target is set if there is a
// grant.
type acquireReply struct {
	scheduling.Decision
	target *target.Client
	// grantedAt and grantedUptime are the time of the decision and its Clock.Uptime.
	grantedAt     time.Time
	grantedUptime time.Duration
}

// placementProbeMessage requests the list of targets that are to be probed before a
// call is placed.
type placementProbeMessage struct {
	request scheduling.AcquireRequest
	// round is the number of the probe round for the call, from 0.
	round int
	reply chan<- []*target.Client
}

// cancelMessage cancels a request that may be queued or already granted.
type cancelMessage struct {
	id    uint64
	reply chan<- struct{}
}

// releaseMessage returns a granted lease.
type releaseMessage struct {
	release scheduling.Release
}

// targetsMessage replaces the service's targets by the platform's list.
type targetsMessage struct {
	targets []tarragonwell.ListedTarget
}

// configureMessage applies a changed rule, or changes of the budget divisor or of the
// number of serving instances.
type configureMessage struct {
	serviceRule          *tarragonwell.Service
	budgetDivisor        int
	servingInstanceCount int
}

// fleetMessage replaces the view of the fleet.
type fleetMessage struct {
	view tarragonwell.FleetView
}

// leavingMessage passes on an announcement that a target is leaving.
type leavingMessage struct {
	announced tarragonwell.LeavingTarget
	// from is the source of the announcement, for the audit trail.
	from string
}

// suspectMessage passes on a peer's announcement that a target is unresponsive or
// ejected.
type suspectMessage struct {
	// id is the target's ID.
	id string
	// expiresAt is when the suspicion expires.
	expiresAt time.Time
}

// targetsConfirmedMessage reports that the platform's list has been confirmed after a
// pause of the process.
type targetsConfirmedMessage struct{}

// statusMessage requests a Status.
type statusMessage struct {
	reply chan<- Status
}

// Status is a snapshot of one service.
type Status struct {
	Name   string
	Policy string
	// InFlight is the number of attempts of this instance in flight.
	InFlight int
	// Queued is the number of queued calls.
	Queued int
	// Limit is the scheduler's current limit on attempts in flight.
	Limit float64
	// Targets holds copies of the targets' states.
	Targets []tarragonwell.TargetState
	// WarmUps holds the targets that are warming up, by ID.
	WarmUps map[string]scheduling.WarmUp
	// Now is when the snapshot was taken.
	Now time.Time
}
