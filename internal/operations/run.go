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

// Do performs the operation's verb (run, query or void), here or at the holder of its
// ticket, and returns the result. If ctx ends first, the outcome is unknown; an
// operation that has been dispatched runs on.
func (o *Operations) Do(ctx context.Context, op *tarragonwell.Operation) tarragonwell.StoredResult {
	r := o.DoLocal(ctx, op)
	if !r.NotHolder {
		return r.Result
	}
	return o.forward(ctx, op)
}

// DoLocal is Do without forwarding. It returns the response for a peer that forwarded
// the operation: the result or, for a ticket that this instance doesn't hold, the
// address of the instance that took it over, "" if none is known.
func (o *Operations) DoLocal(ctx context.Context, op *tarragonwell.Operation) tarragonwell.ForwardResponse {
	finished := make(chan tarragonwell.StoredResult, 1)
	d, ok := o.decide(ctx, op, finished)
	if !ok {
		// Either ctx or the task has ended; the reason is the same for both.
		return replyWith(unknownResult(reasonStopping))
	}
	switch d.Action {
	case operation.ActionReply:
		return replyWith(d.Result)
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

// decide requests the task's decision on an operation. It returns false if ctx or the
// task ends first. If the task later decides to dispatch the operation, it is recorded
// as not run.
func (o *Operations) decide(ctx context.Context, op *tarragonwell.Operation, finished chan<- tarragonwell.StoredResult) (operation.Decision, bool) {
	decisions := make(chan operation.Decision, 1)
	o.mailbox.Post(requestMessage{
		ticket:      op.Ticket,
		verb:        op.Verb,
		fingerprint: operation.Fingerprint(op.Method, op.RequestURI, op.Body),
		reply:       decisions,
		finished:    finished,
	})
	select {
	case d := <-decisions:
		return d, true
	case <-o.mailbox.Stopped():
	case <-ctx.Done():
		go o.discardLateDecision(op, decisions)
	}
	return operation.Decision{}, false
}

// discardLateDecision waits for a late decision and records the operation as not run
// if the decision is to dispatch it.
func (o *Operations) discardLateDecision(op *tarragonwell.Operation, decisions <-chan operation.Decision) {
	select {
	case d := <-decisions:
		if d.Action == operation.ActionDispatch {
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

// dispatch starts a goroutine that runs an operation to its end, even if its caller
// disconnects: an operation that has begun needs an outcome.
func (o *Operations) dispatch(ctx context.Context, op *tarragonwell.Operation, finished chan<- tarragonwell.StoredResult) {
	op.Body.Hold()
	go func() {
		defer op.Body.Close()
		result := unknownResult("internal error")
		_ = o.common.Isolate("operation", func() {
			result = o.options.Dispatcher.DispatchOperation(context.WithoutCancel(ctx), op)
		})
		o.mailbox.Post(finishMessage{
			ticket: op.Ticket,
			result: result,
		})
		finished <- result
	}()
}

// awaitResult waits for the result of an operation in flight. If ctx ends first, it
// returns an unknown outcome with ReasonRunning, and the operation runs on.
func awaitResult(ctx context.Context, finished <-chan tarragonwell.StoredResult) tarragonwell.StoredResult {
	select {
	case r := <-finished:
		return r
	case <-ctx.Done():
		return unknownResult(operation.ReasonRunning)
	}
}

// forward sends an operation to the last known holder of its ticket, or else to the
// ticket's home, and follows the hand-overs from there.
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

// awaitHandOver handles a ticket that should be held at this address but isn't. The
// operations of another incarnation count as lost; those of this one are being handed
// over, and the new holder is awaited.
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
