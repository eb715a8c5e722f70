// Package audit stores the audit trail of one instance in bounded memory.
package audit

import (
	"context"

	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	mailboxSize = 1024
	// followerBuffer is the number of records by which a follower may lag before
	// its channel is closed.
	followerBuffer = 256
)

// Trail is a task that owns the audit records. Create it with NewTrail, then call
// Run.
type Trail struct {
	// minRecords is the number of latest records that are always retained. Up to
	// twice as many are retained, so that not every append copies them.
	minRecords int
	mailbox    *task.Mailbox[any]
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

// NewTrail returns a trail that retains at least the latest minRecords records and
// fewer than twice as many.
func NewTrail(minRecords int) *Trail {
	return &Trail{
		minRecords: minRecords,
		mailbox:    task.NewMailbox[any](mailboxSize),
	}
}

// Record implements tarragonwell.AuditSink. It blocks while the mailbox is full and
// the task runs, but never waits for a follower: the task drops followers that lag. The
// task also numbers the records.
func (t *Trail) Record(r tarragonwell.AuditRecord) {
	t.mailbox.Post(r)
}

// Records returns the retained records, oldest first.
func (t *Trail) Records(ctx context.Context) ([]tarragonwell.AuditRecord, error) {
	return task.Ask(ctx, t.mailbox, func(reply chan<- []tarragonwell.AuditRecord) any {
		return readMessage{
			reply: reply,
		}
	})
}

// Follow returns the retained records, oldest first, and a channel of the later
// ones. The channel is closed when ctx or the trail ends, or when the follower lags
// by more than followerBuffer records.
func (t *Trail) Follow(ctx context.Context) ([]tarragonwell.AuditRecord, <-chan tarragonwell.AuditRecord, error) {
	follower := make(chan tarragonwell.AuditRecord, followerBuffer)
	retained, err := task.Ask(ctx, t.mailbox, func(reply chan<- []tarragonwell.AuditRecord) any {
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
	return retained, follower, nil
}

// Run handles messages until ctx ends.
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
		s.removeFollower(m.follower)
	}
}

func (t *Trail) append(s *state, r tarragonwell.AuditRecord) {
	s.sequence++
	r.Sequence = s.sequence
	s.records = append(s.records, r)
	if len(s.records) >= 2*t.minRecords {
		s.records = append([]tarragonwell.AuditRecord(nil), s.records[t.minRecords:]...)
	}
	for f := range s.followers {
		select {
		case f <- r:
		default:
			s.removeFollower(f)
		}
	}
}

func (s *state) removeFollower(f chan tarragonwell.AuditRecord) {
	if s.followers[f] {
		delete(s.followers, f)
		close(f)
	}
}
