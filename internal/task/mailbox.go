// Package task provides bounded mailboxes for the tasks of an instance. A task is an
// actor: a goroutine that owns its state and communicates by messages. A sender never stays blocked
// after the receiving task has ended.
package task

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrStopped means that the task has ended.
var ErrStopped = eris.New("the task has ended")

// Mailbox carries messages to one task. Create it with NewMailbox.
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

// Send blocks until the message is in the mailbox. While the mailbox is full, it fails
// with ErrStopped if the task has ended, or with the error of ctx if ctx has. A message
// can also be stored, and never read, after the task has ended.
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

// Post is Send without a context or an error: it blocks until the message is in the
// mailbox or the task has ended.
func (m *Mailbox[M]) Post(message M) {
	select {
	case m.messages <- message:
	case <-m.stopped:
	}
}

// TryPost stores the message without blocking. If the mailbox is full it drops the
// message and returns false.
func (m *Mailbox[M]) TryPost(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Receive returns the channel from which the task reads its messages.
func (m *Mailbox[M]) Receive() <-chan M {
	return m.messages
}

// Stopped returns a channel that is closed when the task has ended.
func (m *Mailbox[M]) Stopped() <-chan struct{} {
	return m.stopped
}

// MarkStopped releases blocked senders. The task calls it exactly once, when it
// ends.
func (m *Mailbox[M]) MarkStopped() {
	close(m.stopped)
}

// Ask sends the message that build returns and waits for the reply. It fails with
// ErrStopped if the task ends first, or with the error of ctx.
func Ask[M, R any](ctx context.Context, m *Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := m.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-m.Stopped():
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
