package history

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// programs holds the paths of two builds: normal enforces every safeguard, in
// control the environment variable control.EnvVar disables one.
var programs struct {
	normal  string
	control string
}

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "history")
	if err != nil {
		panic(err)
	}
	programs.normal, err = fleet.Build(folder, "normal", ".")
	if err != nil {
		panic(err)
	}
	programs.control, err = fleet.Build(folder, "control", ".", "-tags", "negativecontrol")
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// scenario is a short run with the failure that one safeguard guards against.
type scenario struct {
	safeguard control.Safeguard
	promise   string
	configure func(p *Plan)
}

func withTargetFault(set func(*target.Behaviour)) func(*Plan) {
	return func(p *Plan) {
		set(&p.Fleet.Behaviour)
	}
}

// scenarios holds, for each safeguard, a run that breaks the promise when the
// safeguard is disabled.
var scenarios = []scenario{
	{
		safeguard: control.TicketHome,
		promise:   PromiseAtMostOnce,
		configure: func(*Plan) {},
	},
	{
		safeguard: control.SingleSend,
		promise:   PromiseAtMostOnce,
		configure: withTargetFault(func(b *target.Behaviour) { b.CloseAfterRun = 0.3 }),
	},
	{
		safeguard: control.TruthfulNotRun,
		promise:   PromiseTruthfulNotRun,
		configure: withTargetFault(func(b *target.Behaviour) { b.CloseAfterRun = 0.3 }),
	},
	{
		safeguard: control.TruncationAbort,
		promise:   PromiseWholeAnswer,
		configure: withTargetFault(func(b *target.Behaviour) {
			b.TruncatedResponses = 0.5
			b.Chunked = true
		}),
	},
	{
		safeguard: control.ResponseIdentity,
		promise:   PromiseWholeAnswer,
		configure: withTargetFault(func(b *target.Behaviour) { b.MismatchedResponses = 0.3 }),
	},
	{
		safeguard: control.GracefulStop,
		promise:   PromiseGracefulStop,
		configure: func(p *Plan) {
			p.ThroughBalancer = true
			p.ForbidConnectionFailures = true
			p.Script = stopEachInstance
		},
	},
	{
		safeguard: control.NewestRules,
		promise:   PromiseNewestRules,
		configure: func(p *Plan) {
			p.Script = revertRulesAfterOutage
		},
	},
	{
		safeguard: control.LeavingReport,
		promise:   PromiseLeavingTarget,
		configure: func(p *Plan) {
			p.Script = drainOneTarget
			p.LeavingGrace = time.Second
		},
	},
	{
		safeguard: control.PauseCheck,
		promise:   PromiseLeavingTarget,
		configure: func(p *Plan) {
			p.Script = removeTargetDuringFreeze
			p.Callers = 150
			p.LeavingGrace = time.Second
			p.Fleet.Rules = removalDuringFreezeRules(p.Fleet.Rules)
			p.ProbeBudget = 0
		},
	},
	{
		safeguard: control.ProbeBudget,
		promise:   PromiseProbeBudget,
		configure: func(*Plan) {},
	},
}

// stopEachInstance stops and restarts every instance in turn. The balancer still
// routes to a stopping instance until its lagging list catches up.
func stopEachInstance(_ context.Context, j *Injector) {
	for _, i := range j.Fleet.Instances {
		j.StopAndRelaunch(i)
	}
}

// revertRulesAfterOutage publishes three edits and then interrupts the platform,
// which serves an older rules file after the outage.
func revertRulesAfterOutage(ctx context.Context, j *Injector) {
	for range 3 {
		j.EditRules()
		sleep(ctx, 300*time.Millisecond)
	}
	j.setPlatformFault(FaultPlatformStale, true)
	j.setPlatformFault(FaultPlatformDown, true)
	sleep(ctx, 700*time.Millisecond)
	j.setPlatformFault(FaultPlatformDown, false)
	sleep(ctx, 2*time.Second)
	j.setPlatformFault(FaultPlatformStale, false)
}

// drainOneTarget drains one target, which reports this itself. The platform's
// list still shows it as live.
func drainOneTarget(ctx context.Context, j *Injector) {
	sleep(ctx, time.Second)
	j.DrainTarget(j.Fleet.Targets["booking-tracking"][0])
}

// fleetCount is the number of fleets started so far. It gives each fleet a
// subnet of its own.
var fleetCount byte

// removalDuringFreezeRules returns rules under which the instance of
// removeTargetDuringFreeze certainly sends calls to the removed target unless it checks
// for pauses. There are no probes, whose responses would say that the target is leaving,
// and the calls in flight at the freeze do not miss their deadline, which would eject
// the target.
func removalDuringFreezeRules(rules string) string {
	return strings.NewReplacer(
		"probe-budget: 10", "probe-budget: 0.01",
		"deadline: 800ms", "deadline: 5s",
		"deadline: 1s", "deadline: 5s",
	).Replace(rules)
}

// unseenTime is how long the instance of removeTargetDuringFreeze can't learn of the
// removal after it is thawed. It is shorter than the wait for a confirmed list.
const unseenTime = 400 * time.Millisecond

// removeTargetDuringFreeze removes and drains a target while an instance is
// frozen. Callers still send to the instance, which serves these requests when
// it is thawed, with an outdated list of targets: the platform holds its responses
// back, and the peers can't reach the instance, until unseenTime after the thaw.
func removeTargetDuringFreeze(ctx context.Context, j *Injector) {
	sleep(ctx, 500*time.Millisecond)
	frozen := j.Fleet.Instances[0]
	j.setPlatformFault(FaultPlatformHeld, true)
	j.isolate(frozen, true)
	frozen.Process().Freeze()
	// The calls in flight end before the target begins to drain: their responses would
	// say so.
	sleep(ctx, 100*time.Millisecond)
	t := j.Fleet.Targets["booking-tracking"][0]
	j.Fleet.RemoveTarget(t)
	j.DrainTarget(t)
	sleep(ctx, 1500*time.Millisecond)
	frozen.Process().Thaw()
	sleep(ctx, unseenTime)
	j.setPlatformFault(FaultPlatformHeld, false)
	j.isolate(frozen, false)
}

func runScenario(t *testing.T, s scenario, program string, environment ...string) *Report {
	t.Helper()
	fleetCount++
	plan := StandardPlan(program, t.TempDir(), [2]byte{80, fleetCount}, 1)
	plan.Fleet.Environment = environment
	plan.Fleet.BalancerLag = 200 * time.Millisecond
	plan.Duration = 4 * time.Second
	plan.Faults = nil
	s.configure(&plan)
	r, err := Execute(plan)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func countViolations(r *Report, promise string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == promise {
			n++
		}
	}
	return n
}

// TestRemovedSafeguardBreaksItsPromise guards against checks that detect nothing
// and safeguards that have no effect. Each scenario has to run without violations
// with all safeguards, and to break its promise with its safeguard disabled.
func TestRemovedSafeguardBreaksItsPromise(t *testing.T) {
	for _, s := range scenarios {
		t.Run(string(s.safeguard), func(t *testing.T) {
			r := runScenario(t, s, programs.normal)
			for _, v := range r.Violations {
				t.Errorf("with all safeguards: %s: %s", v.Promise, v.Detail)
			}
			if got := violationsWithoutSafeguard(t, s); got == 0 {
				t.Errorf("without %s: got no violation of %s, want some", s.safeguard, s.promise)
			} else {
				t.Logf("without %s: %d violations of %s", s.safeguard, got, s.promise)
			}
		})
	}
}

// maxControlRuns bounds the attempts to break a promise: some faults need a
// request to arrive within a few milliseconds, which does not happen in every run.
const maxControlRuns = 4

// violationsWithoutSafeguard repeats the scenario with its safeguard disabled
// until a run breaks the promise, and returns the number of violations in it.
func violationsWithoutSafeguard(t *testing.T, s scenario) int {
	t.Helper()
	for range maxControlRuns {
		r := runScenario(t, s, programs.control, control.EnvVar+"="+string(s.safeguard))
		if n := countViolations(r, s.promise); n > 0 {
			return n
		}
	}
	return 0
}

// TestPromisesHoldUnderSeededFaults guards against promises broken by several
// faults at a time, drawn from three fixed seeds. "make prove" runs more seeds.
func TestPromisesHoldUnderSeededFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		plan := StandardPlan(programs.normal, t.TempDir(), [2]byte{81, byte(seed)}, seed)
		plan.Duration = 4 * time.Second
		plan.Faults = Schedule(seed, AllFaults, 10, plan.Duration)
		r, err := Execute(plan)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s: %s", seed, v.Promise, v.Detail)
		}
		t.Logf("seed %d: %d calls, %d runs", seed, len(r.Calls), len(r.Runs))
	}
}
