package service

import (
	"context"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// parallelResult is the result of the first attempt or of its hedge.
type parallelResult struct {
	// index is the attempt's index in hedgedPair.cancels.
	index    int
	response *tarragonwell.Response
	err      *tarragonwell.AttemptError
}

// hedgedPair is a first attempt and the hedge that may be started in parallel.
// It is owned by one goroutine.
type hedgedPair struct {
	dispatch *dispatch
	results  chan parallelResult
	// cancels holds the attempts' cancel functions.
	cancels []context.CancelFunc
	// running is the number of attempts whose results are outstanding.
	running int
}

// attemptHedged sends the call to a second target if the first one is slow, and
// returns the first response. The other attempt is cancelled. An error is returned
// only if no attempt is still running.
func (d *dispatch) attemptHedged(ctx context.Context, l *lease) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	h := &hedgedPair{
		dispatch: d,
		results:  make(chan parallelResult, 2),
	}
	h.start(ctx, l, d.retriesLeft())
	timer := time.NewTimer(l.grant.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			h.startHedge(ctx)
		case r := <-h.results:
			h.running--
			if r.err != nil && h.running > 0 {
				d.recordFailure(r.err)
				continue
			}
			h.cancelLosers(r.index)
			return r.response, r.err
		}
	}
}

func (h *hedgedPair) start(ctx context.Context, l *lease, retriesLeft int) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.running++
	number := h.dispatch.attempts
	// The attempt may outlast the call.
	h.dispatch.call.Body.Hold()
	go func() {
		defer h.dispatch.call.Body.Close()
		response, err := h.dispatch.attempt(ctx, l, number, retriesLeft)
		h.results <- parallelResult{
			index:    index,
			response: response,
			err:      err,
		}
	}()
}

// startHedge starts the second attempt if the retry budget allows it and a target
// is free. The hedge uses up this instance's one retry of the call and passes on none.
func (h *hedgedPair) startHedge(ctx context.Context) {
	d := h.dispatch
	request := d.request()
	request.Retry = true
	request.SpareCapacityOnly = true
	l, _ := d.dispatcher.acquire(ctx, request)
	if l == nil {
		return
	}
	d.dispatcher.metrics.hedges.Inc()
	d.resendUsed = true
	d.attempts++
	d.tried = append(d.tried, l.grant.TargetID)
	d.logPlaced(l, true)
	h.start(ctx, l, 0)
}

// cancelLosers cancels all attempts but the winner and closes the responses that
// they may still return. The winner is not cancelled, because its body is still to be
// read; its context ends with the caller's.
func (h *hedgedPair) cancelLosers(winner int) {
	for i, cancel := range h.cancels {
		if i != winner {
			cancel()
		}
	}
	if h.running == 0 {
		return
	}
	go func() {
		for range h.running {
			if r := <-h.results; r.response != nil {
				_ = r.response.Body.Close()
			}
		}
	}()
}
