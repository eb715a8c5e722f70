package service

import (
	"context"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// finish is the end of one of the attempts in a race.
type finish struct {
	// lane is the attempt's index.
	lane   int
	answer *tarragonwell.Response
	err    *tarragonwell.AttemptError
}

// race is a first attempt with a second one beside it. One goroutine owns it.
type race struct {
	dispatch *dispatch
	ends     chan finish
	// cancels ends the attempts by lane.
	cancels []context.CancelFunc
	running int
}

// race sends the call to a second target when the first is slow and returns
// the first good answer. The other attempt is cancelled.
func (d *dispatch) race(ctx context.Context, l *lease) (*tarragonwell.Response, *tarragonwell.AttemptError) {
	r := &race{
		dispatch: d,
		ends:     make(chan finish, 2),
	}
	r.launch(ctx, l, d.retriesLeft())
	timer := time.NewTimer(l.grant.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.hedge(ctx)
		case f := <-r.ends:
			r.running--
			if f.err != nil && r.running > 0 {
				d.note(f.err)
				continue
			}
			r.stopOthers(f.lane)
			return f.answer, f.err
		}
	}
}

func (r *race) launch(ctx context.Context, l *lease, retriesLeft int) {
	ctx, cancel := context.WithCancel(ctx)
	lane := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	number := r.dispatch.attempts
	go func() {
		answer, err := r.dispatch.attempt(ctx, l, number, retriesLeft)
		r.ends <- finish{
			lane:   lane,
			answer: answer,
			err:    err,
		}
	}()
}

// hedge starts the second attempt where the retry budget and a target allow it.
func (r *race) hedge(ctx context.Context) {
	d := r.dispatch
	q := d.request()
	q.Retry = true
	q.SpareCapacityOnly = true
	l, _ := d.service.acquire(ctx, q)
	if l == nil {
		return
	}
	d.service.metrics.hedges.Inc()
	d.repeated = true
	d.attempts++
	d.tried = append(d.tried, l.grant.TargetID)
	d.logPlaced(l, true)
	r.launch(ctx, l, 0)
}

// stopOthers cancels the attempts that lost and closes what they still bring.
// The winner's context ends with the caller's.
func (r *race) stopOthers(winner int) {
	for lane, cancel := range r.cancels {
		if lane != winner {
			cancel()
		}
	}
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if f := <-r.ends; f.answer != nil {
				_ = f.answer.Body.Close()
			}
		}
	}()
}
