package service

import (
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// acquireMessage asks for a target; the reply has room for one decision.
type acquireMessage struct {
	request scheduling.AcquireRequest
	reply   chan<- decision
}

// decision answers an acquireMessage. The handle is set with a grant.
type decision struct {
	scheduling.Decision
	handle *target.Client
}

// surveyMessage asks which targets are to be asked for their load before a call
// is placed.
type surveyMessage struct {
	request scheduling.AcquireRequest
	// round counts from 0.
	round int
	reply chan<- []*target.Client
}

// abandonMessage gives up a call that may be waiting or may have been granted.
type abandonMessage struct {
	id    uint64
	reply chan<- struct{}
}

// releaseMessage gives a grant back.
type releaseMessage struct {
	release scheduling.Release
}

// targetsMessage takes in the platform's list.
type targetsMessage struct {
	targets []tarragonwell.ListedTarget
}

// configureMessage takes in a changed rule or other counts of instances.
type configureMessage struct {
	service   *tarragonwell.Service
	instances int
	sharers   int
}

// leavingMessage takes in a peer's word that a target leaves.
type leavingMessage struct {
	// id names the target.
	id    string
	until time.Time
	from  string
}

// suspectMessage takes in a peer's word that a target has fallen silent.
type suspectMessage struct {
	// id names the target.
	id    string
	until time.Time
}

// resumeMessage says that the targets have been confirmed after a pause.
type resumeMessage struct{}

// statusMessage asks for a report.
type statusMessage struct {
	reply chan<- Status
}

// Status is a report on one service.
type Status struct {
	Name     string
	Policy   string
	InFlight int
	Queued   int
	Limit    float64
	// Targets are copies.
	Targets []tarragonwell.TargetState
	// Now is when the report was made.
	Now time.Time
}
