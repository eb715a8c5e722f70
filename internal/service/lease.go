package service

import (
	"context"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// lease is the right to make one attempt at a target. It must be released
// exactly once.
type lease struct {
	service *Dispatcher
	grant   *scheduling.Grant
	target  *target.Client
}

// acquire requests a target from the service's task and waits for the decision.
// Exactly one of the results is non-nil.
func (s *Dispatcher) acquire(ctx context.Context, r scheduling.AcquireRequest) (*lease, *scheduling.Rejection) {
	r.ID = s.nextID.Add(1)
	reply := make(chan decision, 1)
	message := acquireMessage{
		request: r,
		reply:   reply,
	}
	if err := s.mailbox.Send(ctx, message); err != nil {
		return nil, rejectionForContext(ctx)
	}
	select {
	case d := <-reply:
		return s.lease(d)
	case <-s.mailbox.Stopped():
		return nil, rejectionForContext(ctx)
	case <-ctx.Done():
		s.cancelRequest(reply, r)
		return nil, rejectionForContext(ctx)
	}
}

// cancelRequest cancels a request. If the request was granted in the meantime, it
// releases the lease.
func (s *Dispatcher) cancelRequest(reply <-chan decision, r scheduling.AcquireRequest) {
	done := make(chan struct{}, 1)
	s.mailbox.Post(cancelMessage{
		id:    r.ID,
		reply: done,
	})
	select {
	case <-done:
	case <-s.mailbox.Stopped():
	}
	select {
	case d := <-reply:
		if l, _ := s.lease(d); l != nil {
			l.release(scheduling.Release{
				Kind:   r.Kind,
				Result: scheduling.AttemptCancelled,
			})
		}
	default:
	}
}

func (s *Dispatcher) lease(d decision) (*lease, *scheduling.Rejection) {
	if d.Grant == nil {
		return nil, d.Rejection
	}
	return &lease{
		service: s,
		grant:   d.Grant,
		target:  d.target,
	}, nil
}

// rejectionForContext returns the rejection of a request that got no decision
// from the task, because the context or the task has ended.
func rejectionForContext(ctx context.Context) *scheduling.Rejection {
	if ctx.Err() != nil {
		return &scheduling.Rejection{
			Reason: scheduling.ReasonDeadline,
		}
	}
	return &scheduling.Rejection{
		Reason: ErrStopped.Error(),
	}
}

func (l *lease) release(r scheduling.Release) {
	r.TargetID = l.grant.TargetID
	r.JoinSequence = l.grant.JoinSequence
	l.service.mailbox.Post(releaseMessage{
		release: r,
	})
}
