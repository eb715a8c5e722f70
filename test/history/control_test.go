package history

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// programs are the two builds: with every safeguard in force, and one in which
// a safeguard can be switched off.
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

// scenario is a small run that one safeguard is there for.
type scenario struct {
	safeguard control.Safeguard
	promise   string
	plan      func(p *Plan)
}

func always(set func(*target.Behaviour)) func(*Plan) {
	return func(p *Plan) {
		set(&p.Fleet.Behaviour)
	}
}

// scenarios hold for each safeguard a run that breaks its promise without it.
var scenarios = []scenario{
	{
		safeguard: control.TicketHome,
		promise:   PromiseAtMostOnce,
		plan:      func(*Plan) {},
	},
	{
		safeguard: control.SingleSend,
		promise:   PromiseAtMostOnce,
		plan:      always(func(b *target.Behaviour) { b.CloseAfterRun = 0.3 }),
	},
	{
		safeguard: control.TruthfulNotRun,
		promise:   PromiseTruthfulNotRun,
		plan:      always(func(b *target.Behaviour) { b.CloseAfterRun = 0.3 }),
	},
	{
		safeguard: control.TruncationAbort,
		promise:   PromiseWholeAnswer,
		plan: always(func(b *target.Behaviour) {
			b.TruncatedResponses = 0.5
			b.Chunked = true
		}),
	},
	{
		safeguard: control.ResponseIdentity,
		promise:   PromiseWholeAnswer,
		plan:      always(func(b *target.Behaviour) { b.MismatchedResponses = 0.3 }),
	},
	{
		safeguard: control.GracefulStop,
		promise:   PromiseGracefulStop,
		plan: func(p *Plan) {
			p.ThroughBalancer = true
			p.ForbidConnectionFailures = true
			p.Script = stopEach
		},
	},
	{
		safeguard: control.NewestRules,
		promise:   PromiseNewestRules,
		plan: func(p *Plan) {
			p.Script = editThenStale
		},
	},
	{
		safeguard: control.LeavingReport,
		promise:   PromiseLeavingTarget,
		plan: func(p *Plan) {
			p.Script = drainOne
			p.LeavingGrace = time.Second
		},
	},
	{
		safeguard: control.PauseCheck,
		promise:   PromiseLeavingTarget,
		plan: func(p *Plan) {
			p.Script = removeDuringFreeze
			p.Callers = 150
			p.LeavingGrace = time.Second
		},
	},
	{
		safeguard: control.ProbeBudget,
		promise:   PromiseProbeBudget,
		plan:      func(*Plan) {},
	},
}

// stopEach stops every instance in turn, while the balancer's list lags.
func stopEach(_ context.Context, j *Injector) {
	for _, i := range j.Fleet.Instances {
		j.StopAndRelaunch(i)
	}
}

// editThenStale publishes edits; after an outage the platform shows an older
// file.
func editThenStale(ctx context.Context, j *Injector) {
	for range 3 {
		j.EditRules()
		sleep(ctx, 300*time.Millisecond)
	}
	j.setPlatform(FaultPlatformStale, true)
	j.setPlatform(FaultPlatformDown, true)
	sleep(ctx, 700*time.Millisecond)
	j.setPlatform(FaultPlatformDown, false)
	sleep(ctx, 2*time.Second)
	j.setPlatform(FaultPlatformStale, false)
}

// drainOne lets one target leave by its own word; the list goes on to show it.
func drainOne(ctx context.Context, j *Injector) {
	sleep(ctx, time.Second)
	j.DrainTarget(j.Fleet.Targets["booking-tracking"][0])
}

// runs counts the fleets, so that each has its own addresses.
var runs byte

// removeDuringFreeze takes a target off the list while an instance is frozen;
// callers go on to send to the instance, which answers when it wakes.
func removeDuringFreeze(ctx context.Context, j *Injector) {
	sleep(ctx, 500*time.Millisecond)
	victim := j.Fleet.Instances[0]
	victim.Process().Freeze()
	t := j.Fleet.Targets["booking-tracking"][0]
	j.Fleet.RemoveTarget(t)
	j.DrainTarget(t)
	sleep(ctx, 1500*time.Millisecond)
	victim.Process().Thaw()
}

func execute(t *testing.T, s scenario, program string, environment ...string) *Report {
	t.Helper()
	runs++
	plan := StandardPlan(program, t.TempDir(), [2]byte{80, runs}, 1)
	plan.Fleet.Environment = environment
	plan.Fleet.BalancerLag = 200 * time.Millisecond
	plan.Duration = 4 * time.Second
	plan.Faults = nil
	s.plan(&plan)
	r, err := Execute(plan)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func count(r *Report, promise string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == promise {
			n++
		}
	}
	return n
}

// TestRemovedSafeguardBreaksItsPromise runs each scenario twice: with all safeguards nothing is
// broken; without the scenario's own, its check must see it.
func TestRemovedSafeguardBreaksItsPromise(t *testing.T) {
	for _, s := range scenarios {
		t.Run(string(s.safeguard), func(t *testing.T) {
			r := execute(t, s, programs.normal)
			for _, v := range r.Violations {
				t.Errorf("with all safeguards: %s: %s", v.Promise, v.Detail)
			}
			if got := caught(t, s); got == 0 {
				t.Errorf("without %s: got no violation of %s, want some", s.safeguard, s.promise)
			} else {
				t.Logf("without %s: %d violations of %s", s.safeguard, got, s.promise)
			}
		})
	}
}

// controlRuns bounds the runs without a safeguard: some faults need a request to
// arrive within milliseconds, which not every run brings.
const controlRuns = 4

// caught counts the violations of the first run without the safeguard that
// shows any.
func caught(t *testing.T, s scenario) int {
	t.Helper()
	for range controlRuns {
		r := execute(t, s, programs.control, control.EnvVar+"="+string(s.safeguard))
		if n := count(r, s.promise); n > 0 {
			return n
		}
	}
	return 0
}

// TestPromisesHoldUnderSeededFaults runs a short fixed set of seeds; make prove runs more.
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
