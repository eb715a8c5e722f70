// Package task holds what the tasks of an instance share: bounded mailboxes
// whose senders never outlive the receiver.
package task

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrStopped means that the task has ended.
var ErrStopped = eris.New("the task has ended")

// Mailbox carries messages to one task. Make it with NewMailbox.
type Mailbox[M any] struct {
	messages chan M
	// stopped is closed when the task ends.
	stopped chan struct{}
}

// NewMailbox returns a mailbox that holds up to size messages.
func NewMailbox[M any](size int) *Mailbox[M] {
	return &Mailbox[M]{
		messages: make(chan M, size),
		stopped:  make(chan struct{}),
	}
}

// Send waits until the message is in the mailbox. It fails with ErrStopped or
// the error of ctx.
func (m *Mailbox[M]) Send(ctx context.Context, message M) error {
	select {
	case m.messages <- message:
		return nil
	default:
	}
	select {
	case m.messages <- message:
		return nil
	case <-m.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Post waits until the message is in the mailbox or the task has ended.
func (m *Mailbox[M]) Post(message M) {
	select {
	case m.messages <- message:
	case <-m.stopped:
	}
}

// TryPost drops the message where the mailbox is full.
func (m *Mailbox[M]) TryPost(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Receive returns the channel that the task reads.
func (m *Mailbox[M]) Receive() <-chan M {
	return m.messages
}

// Stopped is closed when the task has ended.
func (m *Mailbox[M]) Stopped() <-chan struct{} {
	return m.stopped
}

// MarkStopped marks the end of the task. The task calls it once, as its last act.
func (m *Mailbox[M]) MarkStopped() {
	close(m.stopped)
}

// Ask sends the message that build makes and waits for the reply.
func Ask[M, R any](ctx context.Context, m *Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var none R
	if err := m.Send(ctx, build(reply)); err != nil {
		return none, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-m.Stopped():
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
