package history

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// Promises holds all promises in the order of reports.
var Promises = []string{
	PromiseAtMostOnce, PromiseTruthfulNotRun, PromiseCompleteWasRun, PromiseWholeAnswer, PromiseOneOutcome, PromiseLeavingTarget,
	PromiseGracefulStop, PromiseNewestRules, PromiseProbeBudget,
}

const (
	standardInstances = 5
	// standardProbeBudget is in probes per second and target.
	standardProbeBudget = 10
	// standardInstancesAtMost bounds the number of instances. A restarted instance
	// counts once, as its new process starts without saved-up probes.
	standardInstancesAtMost = standardInstances
)

// standardRules is the template of the rules file. The number after "edit" makes
// each edit a different file.
const standardRules = `# Rules for runs under faults.
- {fleet: {instances-at-most: 5, ticket-life: 60s}}  # test
- {service: {name: booking-tracking, organisation: trust, slots: 5, connections: 250, probe-budget: 10, ramp: 500ms}}  # test
- {service: {name: stock-documents, organisation: trust, slots: 5, connections: 250, probe-budget: 10, ramp: 500ms}}  # test
- {kind: {name: load-lookup, organisation: trust, repeatable: true, deadline: 800ms, weight: 4, hedge: true}}  # test
- {kind: {name: stock-check, organisation: trust, repeatable: true, deadline: 1s, weight: 2}}  # test
- {kind: {name: manual-download, organisation: trust, repeatable: true, length: long, deadline: 1s, slot-share: 0.5}}  # test
- {kind: {name: booking, organisation: trust, repeatable: false, deadline: 1s, weight: 6}}  # test
- {kind: {name: winch-release, organisation: trust, repeatable: false, deadline: 1s, weight: 8}}  # edit %d
- {route: {method: GET, path: /loads, service: booking-tracking, kind: load-lookup}}  # test
- {route: {method: POST, path: /bookings, service: booking-tracking, kind: booking}}  # test
- {route: {method: POST, path: /releases, service: booking-tracking, kind: winch-release}}  # test
- {route: {method: GET, path: /stock, service: stock-documents, kind: stock-check}}  # test
- {route: {method: GET, path: /manuals, service: stock-documents, kind: manual-download}}  # test
`

// StandardRules returns the n-th edit of the rules file.
func StandardRules(n int) string {
	return strings.Replace(standardRules, "edit %d", fmt.Sprintf("edit %d", n), 1)
}

// StandardPlan returns the plan that seeded runs have in common. It has no
// faults; callers add these and change the durations.
func StandardPlan(program, folder string, subnet [2]byte, seed uint64) Plan {
	return Plan{
		Fleet: fleet.Options{
			Program:     program,
			Folder:      folder,
			Subnet:      subnet,
			Instances:   standardInstances,
			DataCenters: 2,
			Rules:       StandardRules(0),
			Targets: map[string]int{
				"booking-tracking": 4,
				"stock-documents":  3,
			},
			Behaviour: target.Behaviour{
				Slots:       5,
				Queue:       10,
				Connections: 250,
				ServiceMs:   3,
				LongBytes:   40_000,
				LongMs:      60,
			},
			Settings: "shutdown: {balancer-wait: 1s}\nlog: {level: warn}",
			Seed:     seed,
		},
		RequestTypes:    TrustRequests,
		Callers:         24,
		MeanPause:       10 * time.Millisecond,
		Duration:        6 * time.Second,
		RulesEdit:       StandardRules,
		ProbeBudget:     standardProbeBudget,
		InstancesAtMost: standardInstancesAtMost,
	}
}

// seedsPerCycle is the number of seeds after which the kinds of plans repeat.
const seedsPerCycle = 5

// SeededPlan returns the plan of one seed. If kinds is not empty, faults are drawn
// from it. Otherwise, of seedsPerCycle seeds, three draw from all faults, one
// stops instances gracefully behind the balancer and allows no failed
// connection, and one drains a target permanently in addition to other faults.
func SeededPlan(program, folder string, subnet [2]byte, seed uint64, kinds []FaultKind, faults int, duration time.Duration) Plan {
	p := StandardPlan(program, folder, subnet, seed)
	p.Duration = duration
	switch {
	case len(kinds) > 0:
		p.Faults = Schedule(seed, kinds, faults, duration)
	case seed%seedsPerCycle == 3:
		p.ThroughBalancer = true
		p.ForbidConnectionFailures = true
		p.Fleet.BalancerLag = 200 * time.Millisecond
		p.Faults = Schedule(seed, []FaultKind{FaultPlannedStop}, standardInstances-1, duration)
	case seed%seedsPerCycle == 4:
		p.Script = func(ctx context.Context, j *Injector) {
			sleep(ctx, duration/4)
			j.DrainTarget(j.Fleet.Targets["booking-tracking"][0])
		}
		others := slices.DeleteFunc(slices.Clone(AllFaults), func(k FaultKind) bool { return k == FaultTargetDrain })
		p.Faults = Schedule(seed, others, faults, duration)
	default:
		p.Faults = Schedule(seed, AllFaults, faults, duration)
	}
	return p
}

// Checks reports whether a run of the plan checks a promise.
func (p Plan) Checks(promise string) bool {
	switch promise {
	case PromiseGracefulStop:
		return p.ForbidConnectionFailures
	case PromiseLeavingTarget:
		return p.Script != nil
	case PromiseProbeBudget:
		return p.ProbeBudget > 0
	default:
		return true
	}
}
