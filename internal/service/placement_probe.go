package service

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// placementProbeTimeout is the maximum time that a call waits for the responses to one
// round of placement probes. After that, the call is placed based on the load data
// available.
const placementProbeTimeout = 12 * time.Millisecond

// place leases a target for the next attempt. It sends placement probes in rounds until one
// finds a lightly loaded target that no other call takes first. If none does, the target is
// selected by the load data available.
func (d *dispatch) place(ctx context.Context) (*lease, *scheduling.Rejection) {
	dr := d.dispatcher
	if d.call.Service.PlacementProbes == 0 {
		return dr.acquire(ctx, d.request())
	}
	// A round without a probe may mean that a lightly loaded target is known, which another
	// call may then take. After a second one there is nothing left to probe.
	for round, unprobed := 0, 0; unprobed < 2; {
		if dr.placementProbeRound(ctx, d.request(), round) {
			round++
			unprobed = 0
		} else {
			unprobed++
		}
		r := d.request()
		r.LightlyLoadedOnly = true
		l, rejection := dr.acquire(ctx, r)
		if rejection == nil || rejection.Reason != scheduling.ReasonBusy {
			return l, rejection
		}
	}
	return dr.acquire(ctx, d.request())
}

// placementProbeRound probes some targets and returns when all have responded or
// the timeout has passed; later responses are still recorded. It returns false if there
// were no targets to probe or ctx has ended.
func (dr *Dispatcher) placementProbeRound(ctx context.Context, r scheduling.AcquireRequest, round int) bool {
	targets, err := task.Ask(ctx, dr.mailbox, func(reply chan<- []*target.Client) any {
		return placementProbeMessage{
			request: r,
			round:   round,
			reply:   reply,
		}
	})
	if err != nil || len(targets) == 0 {
		return false
	}
	var probes sync.WaitGroup
	for _, t := range targets {
		// A probe isn't cancelled when the call has been placed: its response still
		// updates the load data, and its connection can be reused.
		probes.Go(func() { t.ProbeForPlacement(context.WithoutCancel(ctx)) })
	}
	done := make(chan struct{})
	go func() {
		probes.Wait()
		close(done)
	}()
	timeout := time.NewTimer(placementProbeTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// probeForQueued sends placement probes on behalf of queued calls. It doesn't
// wait for the responses, which are recorded as they arrive.
func (dr *Dispatcher) probeForQueued(ctx context.Context, now time.Time, st *state) {
	for _, id := range st.scheduler.ProbeTargetsForQueue(now) {
		go st.handles[id].target.ProbeForPlacement(ctx)
	}
}

// placementProbeTargets returns the targets to probe in one round for a call.
func (st *state) placementProbeTargets(now time.Time, m placementProbeMessage) []*target.Client {
	var out []*target.Client
	for _, id := range st.scheduler.PlacementProbeTargets(now, m.request, m.round) {
		out = append(out, st.handles[id].target)
	}
	return out
}
