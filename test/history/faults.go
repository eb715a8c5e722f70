package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/platform"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults that a schedule can draw.
const (
	// FaultKill kills an instance and restarts it.
	FaultKill FaultKind = "kill"
	// FaultFreeze suspends an instance's process.
	FaultFreeze FaultKind = "freeze"
	// FaultCut blocks the connections that one instance opens to another.
	FaultCut FaultKind = "cut"
	// FaultIsolate blocks all connections between an instance and its peers.
	FaultIsolate FaultKind = "isolate"
	// FaultPlannedStop stops an instance gracefully and restarts it.
	FaultPlannedStop FaultKind = "planned-stop"
	// FaultPlatformDown makes the platform reject every read.
	FaultPlatformDown FaultKind = "platform-down"
	// FaultPlatformStale makes the platform serve rules that are two revisions old
	// and a list that no longer changes.
	FaultPlatformStale FaultKind = "platform-stale"
	// FaultPlatformHeld makes the platform hold all responses back. Schedules do not draw
	// it.
	FaultPlatformHeld FaultKind = "platform-held"
	// FaultListLag delays changes of the platform's list by one second.
	FaultListLag FaultKind = "list-lag"
	// FaultEdit publishes another rules file.
	FaultEdit FaultKind = "edit"
	// FaultTargetSlow makes a target 20 times slower.
	FaultTargetSlow FaultKind = "target-slow"
	// FaultTargetDrain makes a target drain for a time.
	FaultTargetDrain FaultKind = "target-drain"
	// FaultTargetFailFast makes a target respond with 500 at once.
	FaultTargetFailFast FaultKind = "target-fail-fast"
	// FaultTargetFrozen makes a target unresponsive.
	FaultTargetFrozen FaultKind = "target-frozen"
	// FaultTargetShed makes a target reject every call.
	FaultTargetShed FaultKind = "target-shed"
	// FaultTargetCloseAfterRun makes a target run some calls and close the
	// connection without a response.
	FaultTargetCloseAfterRun FaultKind = "target-close-after-run"
	// FaultTargetTruncate makes a target truncate some responses.
	FaultTargetTruncate FaultKind = "target-truncate"
	// FaultTargetSwap makes a target send some responses with the id and body of
	// another request.
	FaultTargetSwap FaultKind = "target-swap"
	// FaultTargetFalseLoad makes a target report no load.
	FaultTargetFalseLoad FaultKind = "target-lie"
)

// AllFaults holds every kind of fault.
var AllFaults = []FaultKind{
	FaultKill, FaultFreeze, FaultCut, FaultIsolate, FaultPlannedStop, FaultPlatformDown, FaultPlatformStale,
	FaultListLag, FaultEdit, FaultTargetSlow, FaultTargetDrain, FaultTargetFailFast, FaultTargetFrozen,
	FaultTargetShed, FaultTargetCloseAfterRun, FaultTargetTruncate, FaultTargetSwap, FaultTargetFalseLoad,
}

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind
	// At is the time from the start of the run.
	At time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Victim selects the instance or target, as an index modulo their number.
	Victim int
	// Other selects the second instance of FaultCut in the same way.
	Other int
}

// String returns the fault as printed with violations.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s for %v at %d,%d", f.At.Round(time.Millisecond), f.Kind, f.Duration.Round(time.Millisecond), f.Victim, f.Other)
}

const (
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 1200 * time.Millisecond
)

// Schedule draws count faults from seed, which start in the first 80% of the
// period over. The same seed draws the same schedule.
func Schedule(seed uint64, kinds []FaultKind, count int, over time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []Fault
	for range count {
		out = append(out, Fault{
			Kind:     kinds[r.IntN(len(kinds))],
			At:       time.Duration(r.Float64() * 0.8 * float64(over)),
			Duration: minFaultDuration + time.Duration(r.Float64()*float64(maxFaultDuration-minFaultDuration)),
			Victim:   r.IntN(1 << 16),
			Other:    r.IntN(1 << 16),
		})
	}
	return out
}

// Injector injects faults into a fleet.
type Injector struct {
	Fleet *fleet.Fleet
	// RulesEdit returns the n-th edit of the rules file.
	RulesEdit func(n int) string

	mu sync.Mutex
	// inFault holds the indexes of instances that are being killed, frozen or
	// stopped. Faults overlap, but a process can have only one of these at a time.
	inFault    map[int]bool
	rulesEdits int
	// drainStarts holds the times at which targets began to drain permanently, by
	// address.
	drainStarts map[string]time.Time
	// platform holds the platform's current faults.
	platform platform.Faults
}

// Run injects the faults of a schedule and returns when all are over.
func (j *Injector) Run(ctx context.Context, schedule []Fault) {
	var all sync.WaitGroup
	begin := time.Now()
	for _, f := range schedule {
		all.Go(func() {
			sleep(ctx, f.At-time.Since(begin))
			j.inject(ctx, f)
		})
	}
	all.Wait()
}

// DrainTarget makes a target drain permanently. The platform still lists it as
// live.
func (j *Injector) DrainTarget(t *target.Target) {
	t.UpdateBehaviour(func(b *target.Behaviour) { b.Draining = true })
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drainStarts == nil {
		j.drainStarts = map[string]time.Time{}
	}
	j.drainStarts[t.Address] = time.Now()
}

// DrainStarts returns the times at which targets began to drain permanently, by
// address.
func (j *Injector) DrainStarts() map[string]time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.drainStarts
}

func (j *Injector) inject(ctx context.Context, f Fault) {
	instances := j.Fleet.Instances
	victim := instances[f.Victim%len(instances)]
	other := instances[f.Other%len(instances)]
	switch f.Kind {
	case FaultKill:
		j.runExclusively(victim, func() {
			victim.Process().Kill()
			sleep(ctx, f.Duration)
			j.relaunch(victim)
		})
	case FaultFreeze:
		j.runExclusively(victim, func() {
			victim.Process().Freeze()
			sleep(ctx, f.Duration)
			victim.Process().Thaw()
		})
	case FaultPlannedStop:
		j.runExclusively(victim, func() { j.StopAndRelaunch(victim) })
	case FaultCut:
		j.Fleet.SetBlocked(victim, other, true)
		sleep(ctx, f.Duration)
		j.Fleet.SetBlocked(victim, other, false)
	case FaultIsolate:
		j.isolate(victim, true)
		sleep(ctx, f.Duration)
		j.isolate(victim, false)
	case FaultPlatformDown, FaultPlatformStale, FaultListLag:
		j.setPlatformFault(f.Kind, true)
		sleep(ctx, f.Duration)
		j.setPlatformFault(f.Kind, false)
	case FaultEdit:
		j.EditRules()
	default:
		j.injectTargetFault(ctx, f)
	}
}

// runExclusively runs act unless the instance is in another fault, in which case
// the new fault is skipped.
func (j *Injector) runExclusively(i *fleet.Instance, act func()) {
	j.mu.Lock()
	if j.inFault == nil {
		j.inFault = map[int]bool{}
	}
	skip := j.inFault[i.Index]
	j.inFault[i.Index] = true
	j.mu.Unlock()
	if skip {
		return
	}
	act()
	j.mu.Lock()
	delete(j.inFault, i.Index)
	j.mu.Unlock()
}

func (j *Injector) relaunch(i *fleet.Instance) {
	if err := j.Fleet.Launch(i); err != nil {
		return
	}
	_ = i.WaitReady(10 * time.Second)
}

// stopLimit bounds a planned stop; then the process is killed.
const stopLimit = 30 * time.Second

// StopAndRelaunch stops an instance gracefully and starts it again. The platform
// lists it as leaving until it is ready.
func (j *Injector) StopAndRelaunch(i *fleet.Instance) {
	i.Process().Terminate()
	j.Fleet.SetLeaving(i, true)
	if !i.Process().WaitExit(stopLimit) {
		i.Process().Kill()
	}
	j.relaunch(i)
	j.Fleet.SetLeaving(i, false)
}

func (j *Injector) isolate(victim *fleet.Instance, block bool) {
	for _, i := range j.Fleet.Instances {
		if i != victim {
			j.Fleet.SetBlocked(i, victim, block)
			j.Fleet.SetBlocked(victim, i, block)
		}
	}
}

func (j *Injector) setPlatformFault(k FaultKind, on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch k {
	case FaultPlatformDown:
		j.platform.Down = on
	case FaultPlatformStale:
		j.platform.RulesLag = 0
		if on {
			j.platform.RulesLag = 2
		}
		j.platform.StaleList = on
	case FaultPlatformHeld:
		j.platform.Held = on
	case FaultListLag:
		j.platform.ListLagMs = 0
		if on {
			j.platform.ListLagMs = 1000
		}
	}
	j.Fleet.Platform.SetFaults(j.platform)
}

// EditRules publishes the next edit of the rules file.
func (j *Injector) EditRules() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.RulesEdit == nil {
		return
	}
	j.rulesEdits++
	j.Fleet.Platform.Publish([]byte(j.RulesEdit(j.rulesEdits)))
}

func (j *Injector) injectTargetFault(ctx context.Context, f Fault) {
	targets := j.Fleet.AllTargets()
	t := targets[f.Victim%len(targets)]
	set := func(on bool) {
		t.UpdateBehaviour(func(b *target.Behaviour) { applyTargetFault(b, f.Kind, on) })
	}
	set(true)
	sleep(ctx, f.Duration)
	set(false)
}

// targetFaultShare is the share of calls that FaultTargetCloseAfterRun,
// FaultTargetTruncate and FaultTargetSwap affect.
const targetFaultShare = 0.3

func applyTargetFault(b *target.Behaviour, k FaultKind, on bool) {
	share := 0.0
	if on {
		share = targetFaultShare
	}
	switch k {
	case FaultTargetSlow:
		b.Slowdown = 1
		if on {
			b.Slowdown = 20
		}
	case FaultTargetDrain:
		b.Draining = on
	case FaultTargetFailFast:
		b.FailFast = on
	case FaultTargetFrozen:
		b.Frozen = on
	case FaultTargetShed:
		b.Shedding = on
	case FaultTargetCloseAfterRun:
		b.CloseAfterRun = share
	case FaultTargetTruncate:
		b.TruncatedResponses = share
	case FaultTargetSwap:
		b.MismatchedResponses = share
	case FaultTargetFalseLoad:
		b.UnderreportLoad = on
	}
}
