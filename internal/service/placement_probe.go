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

// probeForPlacement sends placement probes to a few targets, so that the target for a
// call is selected based on current load reports. If none of the probed targets is a
// good choice, further rounds probe a few more.
func (dr *Dispatcher) probeForPlacement(ctx context.Context, r scheduling.AcquireRequest) {
	for round := 0; dr.placementProbeRound(ctx, r, round); round++ {
	}
}

// placementProbeRound probes some targets and returns when all have responded or
// the timeout has passed; later responses are still recorded. It reports whether
// another round may follow: false if there were no targets to probe or ctx has
// ended.
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
