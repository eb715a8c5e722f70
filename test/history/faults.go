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

// FaultKind is one kind of fault.
type FaultKind string

// Faults that a schedule can draw.
const (
	FaultKill                FaultKind = "kill"
	FaultFreeze              FaultKind = "freeze"
	FaultCut                 FaultKind = "cut"
	FaultIsolate             FaultKind = "isolate"
	FaultPlannedStop         FaultKind = "planned-stop"
	FaultPlatformDown        FaultKind = "platform-down"
	FaultPlatformStale       FaultKind = "platform-stale"
	FaultListLag             FaultKind = "list-lag"
	FaultEdit                FaultKind = "edit"
	FaultTargetSlow          FaultKind = "target-slow"
	FaultTargetDrain         FaultKind = "target-drain"
	FaultTargetFailFast      FaultKind = "target-fail-fast"
	FaultTargetFrozen        FaultKind = "target-frozen"
	FaultTargetShed          FaultKind = "target-shed"
	FaultTargetCloseAfterRun FaultKind = "target-close-after-run"
	FaultTargetTruncate      FaultKind = "target-truncate"
	FaultTargetSwap          FaultKind = "target-swap"
	FaultTargetFalseLoad     FaultKind = "target-lie"
)

// AllFaults lists every kind.
var AllFaults = []FaultKind{
	FaultKill, FaultFreeze, FaultCut, FaultIsolate, FaultPlannedStop, FaultPlatformDown, FaultPlatformStale, FaultListLag,
	FaultEdit, FaultTargetSlow, FaultTargetDrain, FaultTargetFailFast, FaultTargetFrozen, FaultTargetShed, FaultTargetCloseAfterRun, FaultTargetTruncate,
	FaultTargetSwap, FaultTargetFalseLoad,
}

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind
	// At is the time from the start of the run.
	At time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Victim and Other select instances or targets, by index.
	Victim int
	Other  int
}

// String returns the form used in reports.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s for %v at %d,%d", f.At.Round(time.Millisecond), f.Kind, f.Duration.Round(time.Millisecond), f.Victim, f.Other)
}

const (
	minFault = 100 * time.Millisecond
	maxFault = 1200 * time.Millisecond
)

// Schedule draws count faults over a time from a seed. The same seed draws the
// same schedule.
func Schedule(seed uint64, kinds []FaultKind, count int, over time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []Fault
	for range count {
		out = append(out, Fault{
			Kind:     kinds[r.IntN(len(kinds))],
			At:       time.Duration(r.Float64() * 0.8 * float64(over)),
			Duration: minFault + time.Duration(r.Float64()*float64(maxFault-minFault)),
			Victim:   r.IntN(1 << 16),
			Other:    r.IntN(1 << 16),
		})
	}
	return out
}

// Injector brings faults about in a fleet.
type Injector struct {
	Fleet *fleet.Fleet
	// RulesEdit makes the n-th edit of the rules file.
	RulesEdit func(n int) string

	mu sync.Mutex
	// busy marks instances that are being killed, frozen or stopped: the
	// promises are checked under several faults, but one process can have only
	// one of these at a time.
	busy  map[int]bool
	edits int
	left  map[string]time.Time
	// platform is what is wrong with the platform now.
	platform platform.Faults
}

// Run carries out a schedule and returns when all faults are over.
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

// DrainTarget lets a target leave for good. The platform's list goes on to show it.
func (j *Injector) DrainTarget(t *target.Target) {
	t.UpdateBehaviour(func(b *target.Behaviour) { b.Draining = true })
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.left == nil {
		j.left = map[string]time.Time{}
	}
	j.left[t.Address] = time.Now()
}

// DrainStarts returns when targets began to drain for good.
func (j *Injector) DrainStarts() map[string]time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.left
}

func (j *Injector) inject(ctx context.Context, f Fault) {
	instances := j.Fleet.Instances
	victim := instances[f.Victim%len(instances)]
	other := instances[f.Other%len(instances)]
	switch f.Kind {
	case FaultKill:
		j.alone(victim, func() {
			victim.Process().Kill()
			sleep(ctx, f.Duration)
			j.relaunch(victim)
		})
	case FaultFreeze:
		j.alone(victim, func() {
			victim.Process().Freeze()
			sleep(ctx, f.Duration)
			victim.Process().Thaw()
		})
	case FaultPlannedStop:
		j.alone(victim, func() { j.StopAndRelaunch(victim) })
	case FaultCut:
		j.Fleet.SetBlocked(victim, other, true)
		sleep(ctx, f.Duration)
		j.Fleet.SetBlocked(victim, other, false)
	case FaultIsolate:
		j.isolate(victim, true)
		sleep(ctx, f.Duration)
		j.isolate(victim, false)
	case FaultPlatformDown, FaultPlatformStale, FaultListLag:
		j.setPlatform(f.Kind, true)
		sleep(ctx, f.Duration)
		j.setPlatform(f.Kind, false)
	case FaultEdit:
		j.EditRules()
	default:
		j.targetFault(ctx, f)
	}
}

// alone runs act unless the instance is busy with another fault.
func (j *Injector) alone(i *fleet.Instance, act func()) {
	j.mu.Lock()
	if j.busy == nil {
		j.busy = map[int]bool{}
	}
	taken := j.busy[i.Index]
	j.busy[i.Index] = true
	j.mu.Unlock()
	if taken {
		return
	}
	act()
	j.mu.Lock()
	delete(j.busy, i.Index)
	j.mu.Unlock()
}

func (j *Injector) relaunch(i *fleet.Instance) {
	if err := j.Fleet.Launch(i); err != nil {
		return
	}
	_ = i.WaitReady(10 * time.Second)
}

// stopLimit is how long a planned stop may take.
const stopLimit = 30 * time.Second

// StopAndRelaunch stops an instance gracefully and starts it anew.
func (j *Injector) StopAndRelaunch(i *fleet.Instance) {
	i.Process().Terminate()
	j.Fleet.SetLeaving(i, true)
	if !i.Process().WaitExit(stopLimit) {
		i.Process().Kill()
	}
	j.relaunch(i)
	j.Fleet.SetLeaving(i, false)
}

func (j *Injector) isolate(victim *fleet.Instance, cut bool) {
	for _, i := range j.Fleet.Instances {
		if i != victim {
			j.Fleet.SetBlocked(i, victim, cut)
			j.Fleet.SetBlocked(victim, i, cut)
		}
	}
}

func (j *Injector) setPlatform(k FaultKind, on bool) {
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
	case FaultListLag:
		j.platform.ListLagMs = 0
		if on {
			j.platform.ListLagMs = 1000
		}
	}
	j.Fleet.Platform.SetFaults(j.platform)
}

// EditRules publishes another rules file.
func (j *Injector) EditRules() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.RulesEdit == nil {
		return
	}
	j.edits++
	j.Fleet.Platform.Publish([]byte(j.RulesEdit(j.edits)))
}

func (j *Injector) targetFault(ctx context.Context, f Fault) {
	targets := j.Fleet.AllTargets()
	t := targets[f.Victim%len(targets)]
	set := func(on bool) {
		t.UpdateBehaviour(func(b *target.Behaviour) { alter(b, f.Kind, on) })
	}
	set(true)
	sleep(ctx, f.Duration)
	set(false)
}

// shareOfFaults is the share of calls that a target's fault hits.
const shareOfFaults = 0.3

func alter(b *target.Behaviour, k FaultKind, on bool) {
	share := 0.0
	if on {
		share = shareOfFaults
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
