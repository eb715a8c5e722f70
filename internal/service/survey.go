package service

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// surveyLimit is how long answers are waited for before a call is placed by
// what is known.
const surveyLimit = 12 * time.Millisecond

// survey asks a few targets for their load before a call is placed, so that
// the choice rests on fresh news, and a few more where none of them is good.
func (s *Dispatcher) survey(ctx context.Context, r scheduling.AcquireRequest) {
	for round := 0; s.surveyRound(ctx, r, round); round++ {
	}
}

// surveyRound asks some targets and returns when all have answered or the limit
// is over; late answers are still taken in. It reports whether there were any
// to be asked.
func (s *Dispatcher) surveyRound(ctx context.Context, r scheduling.AcquireRequest, round int) bool {
	ask, err := task.Ask(ctx, s.mailbox, func(reply chan<- []*target.Client) any {
		return surveyMessage{
			request: r,
			round:   round,
			reply:   reply,
		}
	})
	if err != nil || len(ask) == 0 {
		return false
	}
	var asked sync.WaitGroup
	for _, t := range ask {
		// A question goes on though the call is placed: its answer is news all the
		// same, and its connection stays fit for use.
		asked.Go(func() { t.ProbeForPlacement(context.WithoutCancel(ctx)) })
	}
	done := make(chan struct{})
	go func() {
		asked.Wait()
		close(done)
	}()
	limit := time.NewTimer(surveyLimit)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// surveyForWaiting asks on behalf of the calls that wait. Nobody waits for the
// answers: they are taken in as they come.
func (s *Dispatcher) surveyForWaiting(ctx context.Context, now time.Time, st *state) {
	for _, id := range st.scheduler.ProbeTargetsForQueue(now) {
		go st.handles[id].target.ProbeForPlacement(ctx)
	}
}

// surveyed returns the targets to be asked.
func (st *state) surveyed(now time.Time, m surveyMessage) []*target.Client {
	var out []*target.Client
	for _, id := range st.scheduler.PlacementProbeTargets(now, m.request, m.round) {
		out = append(out, st.handles[id].target)
	}
	return out
}
