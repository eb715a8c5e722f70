package service

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// placementProbeTimeout is the maximum time that a call waits for responses to
// its placement probes. After that, the call is placed by the load data available.
const placementProbeTimeout = 12 * time.Millisecond

// probeForPlacement sends placement probes to a few targets, so that the target
// for a call is selected by current load reports. If none of the probed targets
// is a good choice, further rounds probe a few more.
func (s *Dispatcher) probeForPlacement(ctx context.Context, r scheduling.AcquireRequest) {
	for round := 0; s.placementProbeRound(ctx, r, round); round++ {
	}
}

// placementProbeRound probes some targets and returns when all have responded or
// the timeout has passed; later responses are still recorded. It reports whether
// another round may follow: false if there were no targets to probe or ctx has
// ended.
func (s *Dispatcher) placementProbeRound(ctx context.Context, r scheduling.AcquireRequest, round int) bool {
	targets, err := task.Ask(ctx, s.mailbox, func(reply chan<- []*target.Client) any {
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

// probeForWaiting sends placement probes on behalf of queued calls. It doesn't
// wait for the responses, which are recorded as they arrive.
func (s *Dispatcher) probeForWaiting(ctx context.Context, now time.Time, st *state) {
	for _, id := range st.scheduler.ProbeTargetsForQueue(now) {
		go st.handles[id].target.ProbeForPlacement(ctx)
	}
}

// placementProbes returns the targets to probe for a call.
func (st *state) placementProbes(now time.Time, m placementProbeMessage) []*target.Client {
	var out []*target.Client
	for _, id := range st.scheduler.PlacementProbeTargets(now, m.request, m.round) {
		out = append(out, st.handles[id].target)
	}
	return out
}
