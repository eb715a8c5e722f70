// Package operations runs what must not repeat. One task owns the table of
// operations; it dispatches each ticket at most once and tells the outcome to
// everyone who asks.
package operations

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
)

const (
	mailboxSize    = 4096
	keySize        = 32
	expireInterval = time.Second
)

// Operations is the task that owns the table. Make it with New and run it.
type Operations struct {
	options Options
	common  *common.Dependencies
	mailbox *task.Mailbox[any]
}

// Options configures Operations.
type Options struct {
	Common     *common.Dependencies
	Dispatcher tarragonwell.OperationDispatcher
	Forwarder  tarragonwell.Forwarder
}

// state is owned by the task.
type state struct {
	table operation.Table
	// waiting holds who waits for an operation in flight.
	waiting map[operationKey][]chan<- tarragonwell.StoredResult
	// closing is set while the operations in flight are waited for; no other may
	// begin.
	closing chan<- []tarragonwell.OperationHandOver
	// parked holds the requests that came while closing.
	parked []beginMessage
}

type operationKey struct {
	incarnation tarragonwell.Incarnation
	sequence    uint64
}

type mintMessage struct {
	count int
	life  time.Duration
	reply chan<- mintReply
}

type mintReply struct {
	tickets []tarragonwell.Ticket
	err     error
}

type beginMessage struct {
	ticket      tarragonwell.Ticket
	verb        tarragonwell.OperationVerb
	fingerprint []byte
	reply       chan<- operation.Decision
	// finished receives the result where the verdict is ActionWait.
	finished chan<- tarragonwell.StoredResult
}

type finishMessage struct {
	ticket tarragonwell.Ticket
	result tarragonwell.StoredResult
}

type adoptMessage struct {
	handOver tarragonwell.OperationHandOver
	reply    chan<- error
}

type closeMessage struct {
	reply chan<- []tarragonwell.OperationHandOver
}

type sizeMessage struct {
	reply chan<- Size
}

// Size is how much the table holds.
type Size struct {
	Entries int
	Bytes   int
	Running int
	// Closing says that no further operation may begin.
	Closing bool
	// Parked counts the requests that wait for a hand-over.
	Parked int
	// Generations lists the incarnations whose operations are held.
	Generations map[tarragonwell.Incarnation]uint32
}

// New returns operations that aren't running yet.
func New(o Options) *Operations {
	return &Operations{
		options: o,
		common:  o.Common,
		mailbox: task.NewMailbox[any](mailboxSize),
	}
}

// Mint makes tickets. It fails with operation.ErrFull or operation.ErrClosed.
func (o *Operations) Mint(ctx context.Context, count int, life time.Duration) ([]tarragonwell.Ticket, error) {
	r, err := task.Ask(ctx, o.mailbox, func(reply chan<- mintReply) any {
		return mintMessage{
			count: count,
			life:  life,
			reply: reply,
		}
	})
	if err != nil {
		return nil, err
	}
	return r.tickets, r.err
}

// Adopt takes over another incarnation's operations. It fails with
// operation.ErrClosed.
func (o *Operations) Adopt(ctx context.Context, h tarragonwell.OperationHandOver) error {
	refused, err := task.Ask(ctx, o.mailbox, func(reply chan<- error) any {
		return adoptMessage{
			handOver: h,
			reply:    reply,
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// Close lets no further operation begin, waits for those in flight until ctx
// ends, and returns what a successor needs.
func (o *Operations) Close(ctx context.Context) ([]tarragonwell.OperationHandOver, error) {
	return task.Ask(ctx, o.mailbox, func(reply chan<- []tarragonwell.OperationHandOver) any {
		return closeMessage{
			reply: reply,
		}
	})
}

// Size tells how much the table holds.
func (o *Operations) Size(ctx context.Context) (Size, error) {
	return task.Ask(ctx, o.mailbox, func(reply chan<- Size) any {
		return sizeMessage{
			reply: reply,
		}
	})
}

// Run owns the table until ctx ends.
func (o *Operations) Run(ctx context.Context) {
	defer o.mailbox.MarkStopped()
	st := o.start()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.mailbox.Receive():
			o.handle(st, m)
		case <-ticker.C:
			st.table.Expire(o.common.Clock.Now())
		}
	}
}

func (o *Operations) start() *state {
	st := &state{
		waiting: map[operationKey][]chan<- tarragonwell.StoredResult{},
	}
	st.table.Home = o.common.Settings.PeerAddress
	st.table.MaxEntries = o.common.Settings.MaxOperations
	st.table.MaxBytes = o.common.Settings.MaxOperationBytes
	key := make([]byte, keySize)
	_, _ = rand.Read(key)
	st.table.Open(o.common.Clock.Now(), o.common.Incarnation, key)
	return st
}

func (o *Operations) handle(st *state, message any) {
	now := o.common.Clock.Now()
	switch m := message.(type) {
	case mintMessage:
		tickets, err := st.table.Mint(now, m.count, m.life)
		m.reply <- mintReply{
			tickets: tickets,
			err:     err,
		}
	case beginMessage:
		o.begin(now, st, m)
	case finishMessage:
		o.finish(st, m)
	case adoptMessage:
		m.reply <- st.table.TakeOver(now, m.handOver)
	case closeMessage:
		st.closing = m.reply
		o.closeWhenIdle(now, st)
	case sizeMessage:
		m.reply <- o.size(st)
	}
}

func (o *Operations) begin(now time.Time, st *state, m beginMessage) {
	if st.closing != nil && m.verb != tarragonwell.OperationQuery {
		st.parked = append(st.parked, m)
		return
	}
	v := st.decide(now, m)
	if v.Action == operation.ActionForward && !control.Enabled(control.TicketHome) {
		v.Action = operation.ActionDispatch
	}
	if v.Action == operation.ActionWait {
		k := keyOf(m.ticket)
		st.waiting[k] = append(st.waiting[k], m.finished)
	}
	m.reply <- v
}

func (st *state) decide(now time.Time, m beginMessage) operation.Decision {
	switch m.verb {
	case tarragonwell.OperationQuery:
		return st.table.Lookup(now, m.ticket)
	case tarragonwell.OperationVoid:
		return st.table.Void(now, m.ticket)
	default:
		return st.table.Begin(now, m.ticket, m.fingerprint)
	}
}

func (o *Operations) finish(st *state, m finishMessage) {
	st.table.Finish(m.ticket, m.result)
	k := keyOf(m.ticket)
	for _, w := range st.waiting[k] {
		w <- m.result
	}
	delete(st.waiting, k)
	o.closeWhenIdle(o.common.Clock.Now(), st)
}

// closeWhenIdle hands the table out once nothing runs any more.
func (o *Operations) closeWhenIdle(now time.Time, st *state) {
	if st.closing == nil || st.table.Running() > 0 {
		return
	}
	st.closing <- st.table.Close(now)
	st.closing = nil
	for _, m := range st.parked {
		o.begin(now, st, m)
	}
	st.parked = nil
}

func (o *Operations) size(st *state) Size {
	entries, bytes := st.table.Size()
	return Size{
		Entries:     entries,
		Bytes:       bytes,
		Running:     st.table.Running(),
		Closing:     st.closing != nil,
		Parked:      len(st.parked),
		Generations: st.table.Generations(),
	}
}

func keyOf(t tarragonwell.Ticket) operationKey {
	return operationKey{
		incarnation: t.Incarnation,
		sequence:    t.Sequence,
	}
}
