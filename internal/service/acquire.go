package service

import (
	"context"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// lease is the right to one attempt at a target. It must be released once.
type lease struct {
	service *Dispatcher
	grant   *scheduling.Grant
	target  *target.Client
}

// acquire asks the task for a target. Exactly one of the results is set.
func (s *Dispatcher) acquire(ctx context.Context, r scheduling.AcquireRequest) (*lease, *scheduling.Rejection) {
	r.ID = s.nextID.Add(1)
	reply := make(chan decision, 1)
	message := acquireMessage{
		request: r,
		reply:   reply,
	}
	if err := s.mailbox.Send(ctx, message); err != nil {
		return nil, refusalFor(ctx)
	}
	select {
	case d := <-reply:
		return s.lease(d)
	case <-s.mailbox.Stopped():
		return nil, refusalFor(ctx)
	case <-ctx.Done():
		s.abandon(reply, r)
		return nil, refusalFor(ctx)
	}
}

// abandon gives up a request and gives back a grant that crossed it.
func (s *Dispatcher) abandon(reply <-chan decision, r scheduling.AcquireRequest) {
	done := make(chan struct{}, 1)
	s.mailbox.Post(abandonMessage{
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
		target:  d.handle,
	}, nil
}

func refusalFor(ctx context.Context) *scheduling.Rejection {
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
