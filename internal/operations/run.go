package operations

import (
	"context"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
)

const (
	// maxHops bounds the chain of hand-overs that a request follows.
	maxHops = 4
	// holderPoll is the wait for news of a hand-over that is under way.
	holderPoll = 20 * time.Millisecond
)

// Reasons told to callers.
const (
	reasonHomeUnknown     = "the ticket's home is not known"
	reasonHomeUnreachable = "the ticket's home can't be reached"
	reasonHomeGone        = "the ticket's home is gone"
	reasonStopping        = "the instance is stopping"
	reasonCallerLeft      = "the caller left before the operation was run"
)

// Do brings an operation to its final result, here or at the instance that
// holds its ticket. It ends with ctx.
func (o *Operations) Do(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	r := o.DoHere(ctx, op)
	if !r.NotHolder {
		return r.Result
	}
	return o.forward(ctx, op)
}

// DoHere answers for a ticket that this instance holds and never forwards.
func (o *Operations) DoHere(ctx context.Context, op *tarragonwell.Operation) tarragonwell.ForwardResponse {
	finished := make(chan tarragonwell.StoredResult, 1)
	v, ok := o.decide(ctx, op, finished)
	if !ok {
		return reply(unknown(reasonStopping))
	}
	switch v.Action {
	case operation.ActionReply:
		return reply(v.Result)
	case operation.ActionDispatch:
		o.dispatch(ctx, op, finished)
		return reply(wait(ctx, finished))
	case operation.ActionWait:
		return reply(wait(ctx, finished))
	default:
		return tarragonwell.ForwardResponse{
			NotHolder: true,
			Holder:    o.options.Forwarder.HolderOf(op.Ticket.Incarnation),
		}
	}
}

// decide asks the task what is to be done. A decision to dispatch that comes
// after ctx has ended is given back as not run.
func (o *Operations) decide(ctx context.Context, op *tarragonwell.Operation, finished chan<- tarragonwell.StoredResult) (operation.Decision, bool) {
	verdicts := make(chan operation.Decision, 1)
	o.mailbox.Post(beginMessage{
		ticket:      op.Ticket,
		verb:        op.Verb,
		fingerprint: operation.Fingerprint(op.Method, op.Path, op.Body),
		reply:       verdicts,
		finished:    finished,
	})
	select {
	case v := <-verdicts:
		return v, true
	case <-o.mailbox.Stopped():
	case <-ctx.Done():
		go o.giveBack(op, verdicts)
	}
	return operation.Decision{}, false
}

func (o *Operations) giveBack(op *tarragonwell.Operation, verdicts <-chan operation.Decision) {
	select {
	case v := <-verdicts:
		if v.Action == operation.ActionDispatch {
			o.mailbox.Post(finishMessage{
				ticket: op.Ticket,
				result: tarragonwell.StoredResult{
					Outcome: tarragonwell.OutcomeNotRun,
					Reason:  reasonCallerLeft,
				},
			})
		}
	case <-o.mailbox.Stopped():
	}
}

// dispatch runs an operation to its end, also when its caller leaves: what has
// begun is to have an outcome.
func (o *Operations) dispatch(ctx context.Context, op *tarragonwell.Operation, finished chan<- tarragonwell.StoredResult) {
	go func() {
		result := o.options.Dispatcher.DispatchOperation(context.WithoutCancel(ctx), op)
		o.mailbox.Post(finishMessage{
			ticket: op.Ticket,
			result: result,
		})
		finished <- result
	}()
}

func wait(ctx context.Context, finished <-chan tarragonwell.StoredResult) tarragonwell.StoredResult {
	select {
	case r := <-finished:
		return r
	case <-ctx.Done():
		return unknown(operation.ReasonRunning)
	}
}

// forward follows the chain of hand-overs from the ticket's home.
func (o *Operations) forward(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	address := o.options.Forwarder.HolderOf(op.Ticket.Incarnation)
	if address == "" {
		address = op.Ticket.Home
	}
	for range maxHops {
		if address == o.common.Settings.PeerAddress {
			return o.atOwnAddress(ctx, op)
		}
		if !o.options.Forwarder.IsMember(address) {
			return unknown(reasonHomeUnknown)
		}
		r, err := o.options.Forwarder.Forward(ctx, address, op)
		if err != nil {
			o.common.Log.Debug("forwarding failed", "peer", address, "error", err)
			return unknown(reasonHomeUnreachable)
		}
		if !r.NotHolder {
			return r.Result
		}
		if r.Holder == "" || r.Holder == address {
			return unknown(reasonHomeGone)
		}
		address = r.Holder
	}
	return unknown(reasonHomeGone)
}

// atOwnAddress answers for a ticket of this address that is not held: of a
// former incarnation, or of this one while it hands over.
func (o *Operations) atOwnAddress(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	if op.Ticket.Incarnation != o.common.Incarnation {
		return unknown(reasonHomeGone)
	}
	for {
		holder := o.options.Forwarder.HolderOf(op.Ticket.Incarnation)
		if holder != "" && holder != o.common.Settings.PeerAddress {
			return o.forward(ctx, op)
		}
		select {
		case <-ctx.Done():
			return unknown(reasonHomeGone)
		case <-time.After(holderPoll):
		}
	}
}

func reply(r tarragonwell.StoredResult) tarragonwell.ForwardResponse {
	return tarragonwell.ForwardResponse{
		Result: r,
	}
}

func unknown(reason string) tarragonwell.StoredResult {
	return tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeUnknown,
		Reason:  reason,
	}
}
