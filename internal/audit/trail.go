// Package audit keeps the trail of changes of one instance in bounded memory.
package audit

import (
	"context"

	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	mailboxSize = 1024
	// followerBuffer is how far a follower may lag before it is dropped.
	followerBuffer = 256
)

// Trail is a task that owns the records. Make it with NewTrail and run it.
type Trail struct {
	// limit is the number of records kept at least.
	limit   int
	mailbox *task.Mailbox[any]
}

// state is owned by the task.
type state struct {
	records   []tarragonwell.AuditRecord
	sequence  uint64
	followers map[chan tarragonwell.AuditRecord]bool
}

type readMessage struct {
	reply chan<- []tarragonwell.AuditRecord
}

type followMessage struct {
	follower chan tarragonwell.AuditRecord
	reply    chan<- []tarragonwell.AuditRecord
}

type unfollowMessage struct {
	follower chan tarragonwell.AuditRecord
}

// NewTrail returns a trail that keeps at least the latest limit records and at
// most twice as many.
func NewTrail(limit int) *Trail {
	return &Trail{
		limit:   limit,
		mailbox: task.NewMailbox[any](mailboxSize),
	}
}

// Record implements tarragonwell.AuditSink.
func (t *Trail) Record(r tarragonwell.AuditRecord) {
	t.mailbox.Post(r)
}

// Records returns what is kept, oldest first.
func (t *Trail) Records(ctx context.Context) ([]tarragonwell.AuditRecord, error) {
	return task.Ask(ctx, t.mailbox, func(reply chan<- []tarragonwell.AuditRecord) any {
		return readMessage{
			reply: reply,
		}
	})
}

// Follow returns what is kept and a channel of what comes after. The channel is
// closed with ctx, or where the reader lags too far behind.
func (t *Trail) Follow(ctx context.Context) ([]tarragonwell.AuditRecord, <-chan tarragonwell.AuditRecord, error) {
	follower := make(chan tarragonwell.AuditRecord, followerBuffer)
	kept, err := task.Ask(ctx, t.mailbox, func(reply chan<- []tarragonwell.AuditRecord) any {
		return followMessage{
			follower: follower,
			reply:    reply,
		}
	})
	if err != nil {
		return nil, nil, err
	}
	context.AfterFunc(ctx, func() {
		t.mailbox.Post(unfollowMessage{
			follower: follower,
		})
	})
	return kept, follower, nil
}

// Run owns the records until ctx ends.
func (t *Trail) Run(ctx context.Context) {
	defer t.mailbox.MarkStopped()
	s := state{
		followers: map[chan tarragonwell.AuditRecord]bool{},
	}
	for {
		select {
		case m := <-t.mailbox.Receive():
			t.handle(&s, m)
		case <-ctx.Done():
			for f := range s.followers {
				close(f)
			}
			return
		}
	}
}

func (t *Trail) handle(s *state, message any) {
	switch m := message.(type) {
	case tarragonwell.AuditRecord:
		t.append(s, m)
	case readMessage:
		m.reply <- append([]tarragonwell.AuditRecord(nil), s.records...)
	case followMessage:
		s.followers[m.follower] = true
		m.reply <- append([]tarragonwell.AuditRecord(nil), s.records...)
	case unfollowMessage:
		s.drop(m.follower)
	}
}

func (t *Trail) append(s *state, r tarragonwell.AuditRecord) {
	s.sequence++
	r.Sequence = s.sequence
	s.records = append(s.records, r)
	if len(s.records) >= 2*t.limit {
		s.records = append([]tarragonwell.AuditRecord(nil), s.records[t.limit:]...)
	}
	for f := range s.followers {
		select {
		case f <- r:
		default:
			s.drop(f)
		}
	}
}

func (s *state) drop(f chan tarragonwell.AuditRecord) {
	if s.followers[f] {
		delete(s.followers, f)
		close(f)
	}
}
