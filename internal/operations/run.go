package operations

import (
	"context"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
)

const (
	// maxHops bounds the chain of hand-overs that a request is forwarded along.
	maxHops = 4
	// holderPollInterval is the interval between checks for the new holder while a
	// hand-over is in progress.
	holderPollInterval = 20 * time.Millisecond
)

// Reasons sent to callers.
const (
	reasonHomeUnknown     = "the ticket's home is not known"
	reasonHomeUnreachable = "the ticket's home can't be reached"
	reasonHomeGone        = "the ticket's home is gone"
	reasonStopping        = "the instance is stopping"
	reasonCallerLeft      = "the caller left before the operation was run"
)

// Do runs an operation to its final result, here or at the instance that holds its
// ticket. It returns when ctx ends.
func (o *Operations) Do(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	r := o.DoLocal(ctx, op)
	if !r.NotHolder {
		return r.Result
	}
	return o.forward(ctx, op)
}

// DoLocal is Do without forwarding. For a ticket that this instance doesn't hold, the
// reply has the address of the holder, or "" if it isn't known.
func (o *Operations) DoLocal(ctx context.Context, op *tarragonwell.Operation) tarragonwell.ForwardResponse {
	finished := make(chan tarragonwell.StoredResult, 1)
	v, ok := o.decide(ctx, op, finished)
	if !ok {
		return replyWith(unknownResult(reasonStopping))
	}
	switch v.Action {
	case operation.ActionReply:
		return replyWith(v.Result)
	case operation.ActionDispatch:
		o.dispatch(ctx, op, finished)
		return replyWith(awaitResult(ctx, finished))
	case operation.ActionWait:
		return replyWith(awaitResult(ctx, finished))
	default:
		return tarragonwell.ForwardResponse{
			NotHolder: true,
			Holder:    o.options.Forwarder.HolderOf(op.Ticket.Incarnation),
		}
	}
}

// decide asks the task for the verdict on an operation. It returns false if ctx or
// the task ends first; a verdict to dispatch that arrives later is cancelled.
func (o *Operations) decide(ctx context.Context, op *tarragonwell.Operation, finished chan<- tarragonwell.StoredResult) (operation.Decision, bool) {
	verdicts := make(chan operation.Decision, 1)
	o.mailbox.Post(beginMessage{
		ticket:      op.Ticket,
		verb:        op.Verb,
		fingerprint: operation.Fingerprint(op.Method, op.RequestURI, op.Body),
		reply:       verdicts,
		finished:    finished,
	})
	select {
	case v := <-verdicts:
		return v, true
	case <-o.mailbox.Stopped():
	case <-ctx.Done():
		go o.cancelDispatch(op, verdicts)
	}
	return operation.Decision{}, false
}

// cancelDispatch waits for a late verdict and records the operation as not run if
// the verdict is to dispatch it.
func (o *Operations) cancelDispatch(op *tarragonwell.Operation, verdicts <-chan operation.Decision) {
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

// dispatch runs an operation to its end even if its caller disconnects: an
// operation that has begun needs an outcome.
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

func awaitResult(ctx context.Context, finished <-chan tarragonwell.StoredResult) tarragonwell.StoredResult {
	select {
	case r := <-finished:
		return r
	case <-ctx.Done():
		return unknownResult(operation.ReasonRunning)
	}
}

// forward sends an operation along the chain of hand-overs from the ticket's home
// instance.
func (o *Operations) forward(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	address := o.options.Forwarder.HolderOf(op.Ticket.Incarnation)
	if address == "" {
		address = op.Ticket.Home
	}
	for range maxHops {
		if address == o.common.Settings.PeerAddress {
			return o.awaitHandOver(ctx, op)
		}
		if !o.options.Forwarder.IsMember(address) {
			return unknownResult(reasonHomeUnknown)
		}
		r, err := o.options.Forwarder.Forward(ctx, address, op)
		if err != nil {
			o.common.Log.Debug("forwarding failed", "peer", address, "error", err)
			return unknownResult(reasonHomeUnreachable)
		}
		if !r.NotHolder {
			return r.Result
		}
		if r.Holder == "" || r.Holder == address {
			return unknownResult(reasonHomeGone)
		}
		address = r.Holder
	}
	return unknownResult(reasonHomeGone)
}

// awaitHandOver handles a ticket that was minted at this address but is not held
// here. The operations of an earlier incarnation are lost; those of this one are
// being handed over, and the new holder is awaited.
func (o *Operations) awaitHandOver(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	if op.Ticket.Incarnation != o.common.Incarnation {
		return unknownResult(reasonHomeGone)
	}
	for {
		holder := o.options.Forwarder.HolderOf(op.Ticket.Incarnation)
		if holder != "" && holder != o.common.Settings.PeerAddress {
			return o.forward(ctx, op)
		}
		select {
		case <-ctx.Done():
			return unknownResult(reasonHomeGone)
		case <-time.After(holderPollInterval):
		}
	}
}

func replyWith(r tarragonwell.StoredResult) tarragonwell.ForwardResponse {
	return tarragonwell.ForwardResponse{
		Result: r,
	}
}

func unknownResult(reason string) tarragonwell.StoredResult {
	return tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeUnknown,
		Reason:  reason,
	}
}
