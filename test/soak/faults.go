package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	faultGap     = 250 * time.Millisecond
	faultLongest = 2500 * time.Millisecond
	stopLimit    = 7 * time.Second
	// choices is what the variants of a fault are drawn from.
	choices = 12
)

// faults brings faults about, in series and overlapping, drawn from a seed.
type faults struct {
	world  *world
	random *rand.Rand

	mu   sync.Mutex
	done []string
	// configs are the configurations that were put, the latest last.
	configs []configured
	// stopFailures names the instances that did not end in time.
	stopFailures []string
	// leaves are the times in which targets were to get nothing.
	leaves []leave
}

// leave is a target's time between its word that it leaves, as the store has
// confirmed it, and its return.
type leave struct {
	target   string
	from, to time.Time
}

// configured is a configuration and when the store confirmed it.
type configured struct {
	reads string
	at    time.Time
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = append(f.done, fmt.Sprintf(format, args...))
}

// run starts a fault now and then until ctx ends, and waits for all to heal.
func (f *faults) run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	kinds := []func(*node, *backend, time.Duration, int){
		f.kill, f.stop, f.freeze, f.storeFails, f.storeTurnsAway, f.storeForgets, f.storePath,
		f.peerPath, f.targetPath, f.targetBreaks, f.targetLeaves, f.configure, f.configure,
	}
	for ctx.Err() == nil {
		kind := kinds[f.random.IntN(len(kinds))]
		n := f.world.nodes[f.random.IntN(len(f.world.nodes))]
		b := f.world.backends[f.random.IntN(len(f.world.backends))]
		length := faultGap + time.Duration(f.random.Int64N(int64(faultLongest)))
		// Everything is drawn here: the faults run beside each other.
		choice := f.random.IntN(choices)
		all.Go(func() { kind(n, b, length, choice) })
		time.Sleep(faultGap + time.Duration(f.random.Int64N(int64(2*faultGap))))
	}
}

func (f *faults) kill(n *node, _ *backend, length time.Duration, _ int) {
	f.note("kill %s", n.name)
	n.disturb()
	n.current().Kill()
	time.Sleep(length)
	f.relaunch(n)
}

func (f *faults) relaunch(n *node) {
	n.disturb()
	select {
	case <-n.current().Exited():
		if err := f.world.launch(n); err != nil {
			f.note("launch %s: %v", n.name, err)
		}
	default:
		// Another fault has started it already.
	}
}

// stop asks for a graceful end and starts the instance again.
func (f *faults) stop(n *node, _ *backend, length time.Duration, _ int) {
	f.note("stop %s", n.name)
	p := n.current()
	p.Terminate()
	if !p.WaitExit(stopLimit) {
		f.mu.Lock()
		f.stopFailures = append(f.stopFailures, n.name)
		f.mu.Unlock()
		p.Thaw()
		p.Kill()
	}
	time.Sleep(length / 4)
	f.relaunch(n)
}

func (f *faults) freeze(n *node, _ *backend, length time.Duration, _ int) {
	f.note("freeze %s for %v", n.name, length)
	n.disturb()
	p := n.current()
	p.Freeze()
	time.Sleep(length)
	p.Thaw()
	n.disturb()
}

func (f *faults) storeFails(_ *node, _ *backend, length time.Duration, choice int) {
	fault := prepared.Fault(1 + choice%3)
	f.note("store fails (%d) for %v", fault, length)
	f.disturbAll()
	f.world.store.SetFault(fault)
	time.Sleep(length)
	f.world.store.SetFault(prepared.FaultNone)
	f.disturbAll()
}

// storeTurnsAway cuts a third of the instances off from the store.
func (f *faults) storeTurnsAway(_ *node, _ *backend, length time.Duration, _ int) {
	f.note("store turns some away for %v", length)
	for i, n := range f.world.nodes {
		if i%3 == 0 {
			n.store.set(modeSilent)
			n.store.reset()
			n.cut()
		}
	}
	time.Sleep(length)
	for i, n := range f.world.nodes {
		n.store.set(modePass)
		if i%3 == 0 {
			n.cut()
		}
	}
}

func (f *faults) storeForgets(*node, *backend, time.Duration, int) {
	f.note("store forgets its history")
	f.world.store.Compact()
}

func (f *faults) storePath(n *node, _ *backend, length time.Duration, choice int) {
	n.cut()
	f.breakPath("store of "+n.name, n.store, length, choice)
	n.cut()
}

func (f *faults) peerPath(n *node, _ *backend, length time.Duration, choice int) {
	f.breakPath("peers of "+n.name, n.peers, length, choice)
}

func (f *faults) targetPath(_ *node, b *backend, length time.Duration, choice int) {
	f.breakPath("path to "+b.target.ID, b.path, length, choice)
}

// breakPath delays, silences, cuts one way, or resets.
func (f *faults) breakPath(name string, p *proxy, length time.Duration, choice int) {
	mode := proxyMode(choice % 4)
	f.note("%s: mode %d for %v", name, mode, length)
	if mode == modePass {
		p.reset()
		return
	}
	p.set(mode)
	time.Sleep(length)
	p.set(modePass)
}

func (f *faults) targetBreaks(_ *node, b *backend, length time.Duration, _ int) {
	f.note("%s loses answers for %v", b.target.ID, length)
	b.target.SetFaults(0.3, 3)
	time.Sleep(length)
	b.target.SetFaults(0, 1)
}

// targetLeaves drains a target and brings it back.
func (f *faults) targetLeaves(_ *node, b *backend, length time.Duration, _ int) {
	f.mu.Lock()
	leaving := !b.draining.IsZero()
	if !leaving {
		b.draining = time.Now()
	}
	f.mu.Unlock()
	if leaving {
		return
	}
	f.note("%s leaves", b.target.ID)
	f.world.announce(b, "draining")
	confirmed := time.Now()
	time.Sleep(drainLimit + length)
	f.mu.Lock()
	b.draining = time.Time{}
	f.leaves = append(f.leaves, leave{
		target: b.target.ID,
		from:   confirmed,
		to:     time.Now(),
	})
	f.mu.Unlock()
	f.world.announce(b, "ready")
}

// configure moves reads to the other service.
func (f *faults) configure(*node, *backend, time.Duration, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reads := serviceDocs
	if len(f.configs)%2 == 1 {
		reads = serviceDesk
	}
	f.world.store.PutJSON("op/config", configuration(len(f.configs)+2, reads))
	f.configs = append(f.configs, configured{
		reads: reads,
		at:    time.Now(),
	})
	f.done = append(f.done, "reads go to "+reads)
}

func (f *faults) disturbAll() {
	for _, n := range f.world.nodes {
		n.disturb()
	}
}
