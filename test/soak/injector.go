package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	// faultGap is the minimum length of a fault and the minimum interval between the
	// starts of two faults.
	faultGap = 250 * time.Millisecond
	// faultLengthRange is the upper bound of the random time added to faultGap for the
	// length of a fault.
	faultLengthRange = 2500 * time.Millisecond
	// stopTimeout is the time within which an instance must exit after SIGTERM.
	stopTimeout = 7 * time.Second
	// variants is the number of values from which the variant of a fault is drawn.
	variants = 12
)

// injector injects faults, consecutive and overlapping, that it draws from a seeded
// random source.
type injector struct {
	environment *environment
	random      *rand.Rand

	mu sync.Mutex
	// injected describes the injected faults, in order.
	injected []string
	// configChanges are the published configurations, the latest last.
	configChanges []configChange
	// stopFailures names the instances that did not exit within stopTimeout.
	stopFailures []string
	// drainPeriods are the completed drain periods of targets.
	drainPeriods []drainPeriod
	// silentLeavings are the completed times during which targets said that they leave in
	// their responses only.
	silentLeavings []drainPeriod
	// zoneDrains are the completed drains of zones.
	zoneDrains []zoneDrain
	// drainedZones are the zones that are drained now.
	drainedZones map[string]bool
}

// zoneDrain is the time during which a zone was drained: from when the store had confirmed
// the key until just before it was removed.
type zoneDrain struct {
	zone     string
	from, to time.Time
}

// drainPeriod is the time during which a target was draining.
type drainPeriod struct {
	target string
	// from is when the store confirmed the draining state, to is just before the
	// target was announced as ready again.
	from, to time.Time
}

// configChange is a published configuration.
type configChange struct {
	// reads is the service that reads are routed to.
	reads string
	// at is when the store confirmed the configuration.
	at time.Time
}

// record adds a line to the list of injected faults.
func (in *injector) record(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.injected = append(in.injected, fmt.Sprintf(format, args...))
}

// run starts faults at random intervals until ctx is done, and waits for all of them
// to end.
func (in *injector) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	faults := []func(*instance, *backend, time.Duration, int){
		in.kill, in.stop, in.freeze, in.failStore, in.partitionStore, in.compactStore, in.disruptStorePath,
		in.disruptPeerPath, in.disruptTargetPath, in.dropTargetResponses, in.drainTarget, in.switchReads, in.switchReads,
		in.leaveInResponses, in.askForBackoff, in.respondWithoutEnd, in.writeOddEntry, in.drainZone, in.drill,
	}
	for ctx.Err() == nil {
		inject := faults[in.random.IntN(len(faults))]
		i := in.environment.instances[in.random.IntN(len(in.environment.instances))]
		b := in.environment.backends[in.random.IntN(len(in.environment.backends))]
		length := faultGap + time.Duration(in.random.Int64N(int64(faultLengthRange)))
		// All random values are drawn here because the faults run concurrently.
		variant := in.random.IntN(variants)
		wg.Go(func() { inject(i, b, length, variant) })
		time.Sleep(faultGap + time.Duration(in.random.Int64N(int64(2*faultGap))))
	}
}

// kill kills an instance and restarts it after length.
func (in *injector) kill(i *instance, _ *backend, length time.Duration, _ int) {
	in.record("kill %s", i.name)
	i.recordProcessFault()
	i.currentProcess().Kill()
	time.Sleep(length)
	in.relaunch(i)
}

// relaunch restarts the instance if its process has exited.
func (in *injector) relaunch(i *instance) {
	i.recordProcessFault()
	select {
	case <-i.currentProcess().Exited():
		if err := in.environment.launch(i); err != nil {
			in.record("launch %s: %v", i.name, err)
		}
	default:
		// A concurrent fault has already restarted it.
	}
}

// stop stops an instance gracefully and restarts it.
func (in *injector) stop(i *instance, _ *backend, length time.Duration, _ int) {
	in.record("stop %s", i.name)
	p := i.currentProcess()
	p.Terminate()
	if !p.WaitExit(stopTimeout) {
		in.mu.Lock()
		in.stopFailures = append(in.stopFailures, i.name)
		in.mu.Unlock()
		p.Thaw()
		p.Kill()
	}
	time.Sleep(length / 4)
	in.relaunch(i)
}

// freeze suspends the process of an instance.
func (in *injector) freeze(i *instance, _ *backend, length time.Duration, _ int) {
	in.record("freeze %s for %v", i.name, length)
	i.recordProcessFault()
	p := i.currentProcess()
	p.Freeze()
	time.Sleep(length)
	p.Thaw()
	i.recordProcessFault()
}

// failStore makes the store fail in one of three ways.
func (in *injector) failStore(_ *instance, _ *backend, length time.Duration, variant int) {
	fault := prepared.Fault(1 + variant%3)
	in.record("store fails (%d) for %v", fault, length)
	in.recordFaultOnAll()
	in.environment.store.SetFault(fault)
	time.Sleep(length)
	in.environment.store.SetFault(prepared.FaultNone)
	in.recordFaultOnAll()
}

// partitionStore cuts a third of the instances off from the store.
func (in *injector) partitionStore(_ *instance, _ *backend, length time.Duration, _ int) {
	in.record("store turns some away for %v", length)
	for k, i := range in.environment.instances {
		if k%3 == 0 {
			i.storeProxy.setMode(modeBlock)
			i.storeProxy.reset()
			i.recordStoreCut()
		}
	}
	time.Sleep(length)
	for k, i := range in.environment.instances {
		i.storeProxy.setMode(modePass)
		if k%3 == 0 {
			i.recordStoreCut()
		}
	}
}

// compactStore discards the history of the store.
func (in *injector) compactStore(*instance, *backend, time.Duration, int) {
	in.record("store forgets its history")
	in.environment.store.Compact()
}

// drill plays a drill of the store: what was written lately is lost, and written again.
func (in *injector) drill(_ *instance, _ *backend, length time.Duration, variant int) {
	copyAge := time.Duration(1+variant%5) * time.Second
	rewriteAfter := time.Duration(variant%3) * time.Second / 2
	in.record("store comes back from a copy of %v before, after %v; what is lost is written again after %v", copyAge, length/2, rewriteAfter)
	in.recordFaultOnAll()
	in.environment.store.Drill(copyAge, length/2, rewriteAfter)
	in.recordFaultOnAll()
}

func (in *injector) disruptStorePath(i *instance, _ *backend, length time.Duration, variant int) {
	i.recordStoreCut()
	in.disruptPath("store of "+i.name, i.storeProxy, length, variant)
	i.recordStoreCut()
}

func (in *injector) disruptPeerPath(i *instance, _ *backend, length time.Duration, variant int) {
	in.disruptPath("peers of "+i.name, i.peerProxy, length, variant)
}

func (in *injector) disruptTargetPath(_ *instance, b *backend, length time.Duration, variant int) {
	b.recordCut()
	in.disruptPath("path to "+b.target.ID, b.proxy, length, variant)
	b.recordCut()
}

// disruptPath delays a path, blocks it in both directions or in that of responses, or
// resets its connections.
func (in *injector) disruptPath(name string, p *proxy, length time.Duration, variant int) {
	mode := proxyMode(variant % 4)
	in.record("%s: mode %d for %v", name, mode, length)
	if mode == modePass {
		p.reset()
		return
	}
	p.setMode(mode)
	time.Sleep(length)
	p.setMode(modePass)
}

// dropTargetResponses makes a target slower and lets it lose a share of its responses.
func (in *injector) dropTargetResponses(_ *instance, b *backend, length time.Duration, _ int) {
	in.record("%s loses answers for %v", b.target.ID, length)
	b.target.UpdateFaults(func(f *prepared.Faults) {
		f.DropRate = 0.3
		f.Slowdown = 3
	})
	time.Sleep(length)
	b.target.UpdateFaults(func(f *prepared.Faults) {
		f.DropRate = 0
		f.Slowdown = 1
	})
}

// beginLeaving reports whether the target was not leaving before.
func (in *injector) beginLeaving(b *backend) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !b.leavingSince.IsZero() {
		return false
	}
	b.leavingSince = time.Now()
	return true
}

// restart ends a target's leaving: it starts again under its ID.
func (in *injector) restart(b *backend) {
	b.target.UpdateFaults(func(f *prepared.Faults) { f.Leaving = false })
	in.mu.Lock()
	b.leavingSince = time.Time{}
	b.starts++
	in.mu.Unlock()
	in.environment.publishTarget(b, "ready")
}

// drainTarget drains a target, which also says so in its responses, and starts it again.
// It does nothing if the target is leaving already.
func (in *injector) drainTarget(_ *instance, b *backend, length time.Duration, _ int) {
	if !in.beginLeaving(b) {
		return
	}
	in.record("%s leaves", b.target.ID)
	in.environment.publishTarget(b, "draining")
	confirmed := time.Now()
	b.target.UpdateFaults(func(f *prepared.Faults) { f.Leaving = true })
	time.Sleep(drainLimit + length)
	in.mu.Lock()
	in.drainPeriods = append(in.drainPeriods, drainPeriod{
		target: b.target.ID,
		from:   confirmed,
		to:     time.Now(),
	})
	in.mu.Unlock()
	in.restart(b)
}

// drainZone drains the zone of a target for longer than zoneDrainLimit. It does nothing if
// the zone is drained already.
func (in *injector) drainZone(_ *instance, b *backend, length time.Duration, _ int) {
	in.mu.Lock()
	busy := in.drainedZones[b.zone]
	if in.drainedZones == nil {
		in.drainedZones = map[string]bool{}
	}
	in.drainedZones[b.zone] = true
	in.mu.Unlock()
	if busy {
		return
	}
	in.record("%s is drained", b.zone)
	key := "op/evacuate/" + b.zone
	in.environment.store.Put(key, []byte("{}"))
	confirmed := time.Now()
	time.Sleep(zoneDrainLimit + length)
	in.mu.Lock()
	in.zoneDrains = append(in.zoneDrains, zoneDrain{
		zone: b.zone,
		from: confirmed,
		to:   time.Now(),
	})
	in.mu.Unlock()
	in.environment.store.Delete(key)
	in.mu.Lock()
	in.drainedZones[b.zone] = false
	in.mu.Unlock()
}

// leaveInResponses lets a target say in its responses that it leaves, while its entry
// still says that it is ready, and starts it again.
func (in *injector) leaveInResponses(_ *instance, b *backend, length time.Duration, _ int) {
	if !in.beginLeaving(b) {
		return
	}
	in.record("%s leaves by its responses only", b.target.ID)
	from := time.Now()
	b.target.UpdateFaults(func(f *prepared.Faults) { f.Leaving = true })
	time.Sleep(2*drainLimit + length)
	in.mu.Lock()
	in.silentLeavings = append(in.silentLeavings, drainPeriod{
		target: b.target.ID,
		from:   from,
		to:     time.Now(),
	})
	in.mu.Unlock()
	in.restart(b)
}

// askForBackoff lets a target refuse all requests and ask to be sent nothing.
func (in *injector) askForBackoff(_ *instance, b *backend, length time.Duration, variant int) {
	asked := time.Second + time.Duration(variant)*100*time.Millisecond
	in.record("%s asks for %v without requests, for %v", b.target.ID, asked, length)
	b.target.UpdateFaults(func(f *prepared.Faults) { f.RetryAfter = asked })
	time.Sleep(length)
	b.target.UpdateFaults(func(f *prepared.Faults) { f.RetryAfter = 0 })
}

// respondWithoutEnd lets a target send responses that never end, or bytes that are none.
func (in *injector) respondWithoutEnd(_ *instance, b *backend, length time.Duration, variant int) {
	mode := hostile.Mode(variant) % hostile.Modes
	if mode == hostile.LongerThanLength {
		// It ends the body that the target has sealed too early, which no instance can see.
		mode = hostile.EndlessGarbage
	}
	in.record("%s: %v for %v", b.target.ID, mode, length)
	b.target.UpdateFaults(func(f *prepared.Faults) {
		f.Hostile = mode
		f.HostileRate = 0.3
	})
	time.Sleep(length)
	b.target.UpdateFaults(func(f *prepared.Faults) { f.HostileRate = 0 })
}

// oddEntries are values that another writer leaves among the entries of the targets.
var oddEntries = []string{
	"null", "{", "\x00\xff", "[[[[]]]]", `{"address":"10.0.0.1:0"}`, `{"info":{"capacity":1e400}}`,
	strings.Repeat("[", 20_000),
	`{"address":"10.0.0.1:70000","info":{"service":"desk","zone":"z","capacity":6},"status":{"state":"ready","sequence":1,"coldLeft":"0s"}}`,
	`{"address":"10.0.0.1:7","info":{"service":"desk","zone":"z","capacity":99999999999},"status":{"state":"ready","sequence":1,"coldLeft":"0s"}}`,
}

// writeOddEntry leaves an odd entry among those of the targets.
func (in *injector) writeOddEntry(_ *instance, _ *backend, length time.Duration, variant int) {
	key := fmt.Sprintf("servers/odd-%d", variant)
	in.record("odd entry %s for %v", key, length)
	in.environment.store.Put(key, []byte(oddEntries[variant%len(oddEntries)]))
	time.Sleep(length)
	in.environment.store.Delete(key)
}

// switchReads publishes a configuration that routes reads to the other service.
func (in *injector) switchReads(*instance, *backend, time.Duration, int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	reads := serviceDocs
	if len(in.configChanges)%2 == 1 {
		reads = serviceDesk
	}
	in.environment.store.PutJSON("op/config", newConfiguration(len(in.configChanges)+2, reads))
	in.configChanges = append(in.configChanges, configChange{
		reads: reads,
		at:    time.Now(),
	})
	in.injected = append(in.injected, "reads go to "+reads)
}

// recordFaultOnAll records that a fault of all instances begins or ends.
func (in *injector) recordFaultOnAll() {
	for _, i := range in.environment.instances {
		i.recordFault()
	}
}
