package service

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// maxGrantAge is how long after the grant a call may be sent. An older grant was followed
// by a pause of the process, or by a long wait for a connection; the target may have left
// since.
const maxGrantAge = pauseThreshold

// errGrantExpired means that a call was not sent within the lease's maxAge.
var errGrantExpired = eris.New("the grant expired before the call was sent")

// lease is the permit for one attempt at a target. It does not expire and must be
// released.
type lease struct {
	dispatcher *Dispatcher
	grant      *scheduling.Grant
	target     *target.Client
	grantedAt  time.Time
	// maxAge is how long after the grant the call may be sent: maxGrantAge, or less if the
	// target is limited to a rate of calls.
	maxAge time.Duration
	// expiresAt is the Clock.Uptime until which the call may be sent.
	expiresAt time.Duration
	// triedBefore is set if the call was sent to the target before.
	triedBefore bool
	// released is set once the lease has been released.
	released bool
}

// acquire requests a target from the service's task and waits for the decision.
// Exactly one of the results is non-nil.
func (dr *Dispatcher) acquire(ctx context.Context, r scheduling.AcquireRequest) (*lease, *scheduling.Rejection) {
	r.ID = dr.nextID.Add(1)
	reply := make(chan acquireReply, 1)
	message := acquireMessage{
		request: r,
		reply:   reply,
	}
	if err := dr.mailbox.Send(ctx, message); err != nil {
		return nil, rejectionWithoutDecision(ctx)
	}
	select {
	case d := <-reply:
		return dr.lease(r, d)
	case <-dr.mailbox.Stopped():
		return nil, rejectionWithoutDecision(ctx)
	case <-ctx.Done():
		dr.cancelRequest(reply, r)
		return nil, rejectionWithoutDecision(ctx)
	}
}

// cancelRequest cancels a request. If the request was granted in the meantime, it
// releases the lease.
func (dr *Dispatcher) cancelRequest(reply <-chan acquireReply, r scheduling.AcquireRequest) {
	done := make(chan struct{}, 1)
	dr.mailbox.Post(cancelMessage{
		id:    r.ID,
		reply: done,
	})
	select {
	case <-done:
	case <-dr.mailbox.Stopped():
	}
	select {
	case d := <-reply:
		if l, _ := dr.lease(r, d); l != nil {
			l.release(scheduling.Release{
				Kind:   r.Kind,
				Result: scheduling.AttemptCancelled,
			})
		}
	default:
	}
}

// lease returns the lease or the rejection in the reply to a request.
func (dr *Dispatcher) lease(r scheduling.AcquireRequest, d acquireReply) (*lease, *scheduling.Rejection) {
	if d.Grant == nil {
		if d.Rejection.Reason == scheduling.ReasonWarmingUp {
			dr.metrics.warmUpRejected.Inc()
		}
		return nil, d.Rejection
	}
	maxAge := maxGrantAge
	if d.Grant.SendWithin > 0 {
		maxAge = min(maxAge, d.Grant.SendWithin)
		dr.metrics.warmUpCalls.Inc()
	}
	return &lease{
		maxAge:      maxAge,
		dispatcher:  dr,
		grant:       d.Grant,
		target:      d.target,
		grantedAt:   d.grantedAt,
		expiresAt:   d.grantedUptime + maxAge,
		triedBefore: slices.Contains(r.Exclude, d.Grant.TargetID),
	}, nil
}

// rejectionWithoutDecision returns the rejection of a request that got no decision from
// the task, because the context or the task has ended. If the caller disconnected, the
// reason is not sent.
func rejectionWithoutDecision(ctx context.Context) *scheduling.Rejection {
	if errors.Is(context.Cause(ctx), common.ErrStopping) {
		return &scheduling.Rejection{
			Reason:     common.ErrStopping.Error(),
			RetryAfter: notRunRetryAfter,
		}
	}
	if ctx.Err() != nil {
		return &scheduling.Rejection{
			Reason: scheduling.ReasonDeadline,
		}
	}
	return &scheduling.Rejection{
		Reason: ErrStopped.Error(),
	}
}

// expired reports whether the call may no longer be sent, by the clock that also counts
// suspensions of the machine.
func (l *lease) expired() bool {
	return l.dispatcher.options.Common.Clock.Uptime() > l.expiresAt
}

// release returns the lease. Further calls have no effect.
func (l *lease) release(r scheduling.Release) {
	if l.released {
		return
	}
	l.released = true
	r.TargetID = l.grant.TargetID
	r.JoinSequence = l.grant.JoinSequence
	r.Trial = l.grant.Trial
	l.dispatcher.mailbox.Post(releaseMessage{
		release: r,
	})
}
