// Package operations runs calls that must not be run twice. One task owns the table
// of operations: it dispatches each ticket at most once and returns the outcome to
// every request with that ticket.
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
	mailboxCapacity = 4096
	keyBytes        = 32
	expireInterval  = time.Second
)

// Operations is the task that owns the table of operations. Create it with New and
// start it with Run.
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

// state is owned by the task's goroutine.
type state struct {
	table operation.Table
	// waiting holds the channels of the requests that wait for the result of an
	// operation in flight.
	waiting map[operationKey][]chan<- tarragonwell.StoredResult
	// closing is the reply channel of Close. It is set while the operations in
	// flight are awaited; no other operation may begin meanwhile.
	closing chan<- []tarragonwell.OperationHandOver
	// parked holds the requests that arrived while closing was set.
	parked []beginMessage
}

type operationKey struct {
	incarnation tarragonwell.Incarnation
	sequence    uint64
}

type mintMessage struct {
	count    int
	lifetime time.Duration
	reply    chan<- mintReply
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
	// finished receives the result if the verdict is ActionWait.
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
	reply chan<- Stats
}

// Stats is the size and state of the table.
type Stats struct {
	Entries int
	Bytes   int
	Running int
	// Closing reports that no further operation may begin.
	Closing bool
	// Parked is the number of requests that wait for the end of Close.
	Parked int
	// Generations maps each incarnation whose operations are held to its generation
	// in the chain of hand-overs.
	Generations map[tarragonwell.Incarnation]uint32
}

// New returns Operations that aren't running yet.
func New(o Options) *Operations {
	return &Operations{
		options: o,
		common:  o.Common,
		mailbox: task.NewMailbox[any](mailboxCapacity),
	}
}

// Mint returns new tickets. It fails with operation.ErrFull, operation.ErrClosed,
// task.ErrStopped or the error of ctx.
func (o *Operations) Mint(ctx context.Context, count int, lifetime time.Duration) ([]tarragonwell.Ticket, error) {
	r, err := task.Ask(ctx, o.mailbox, func(reply chan<- mintReply) any {
		return mintMessage{
			count:    count,
			lifetime: lifetime,
			reply:    reply,
		}
	})
	if err != nil {
		return nil, err
	}
	return r.tickets, r.err
}

// TakeOver takes over another incarnation's operations. It fails with
// operation.ErrClosed, task.ErrStopped or the error of ctx.
func (o *Operations) TakeOver(ctx context.Context, h tarragonwell.OperationHandOver) error {
	adoptErr, err := task.Ask(ctx, o.mailbox, func(reply chan<- error) any {
		return adoptMessage{
			handOver: h,
			reply:    reply,
		}
	})
	if err != nil {
		return err
	}
	return adoptErr
}

// Close stops further operations from beginning, waits until those in flight have
// ended or ctx ends, and returns what a successor needs.
func (o *Operations) Close(ctx context.Context) ([]tarragonwell.OperationHandOver, error) {
	return task.Ask(ctx, o.mailbox, func(reply chan<- []tarragonwell.OperationHandOver) any {
		return closeMessage{
			reply: reply,
		}
	})
}

// Stats returns the size and state of the table.
func (o *Operations) Stats(ctx context.Context) (Stats, error) {
	return task.Ask(ctx, o.mailbox, func(reply chan<- Stats) any {
		return sizeMessage{
			reply: reply,
		}
	})
}

// Run handles messages and expires tickets until ctx ends.
func (o *Operations) Run(ctx context.Context) {
	defer o.mailbox.MarkStopped()
	st := o.newState()
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

func (o *Operations) newState() *state {
	st := &state{
		waiting: map[operationKey][]chan<- tarragonwell.StoredResult{},
	}
	st.table.Home = o.common.Settings.PeerAddress
	st.table.MaxTickets = o.common.Settings.MaxTickets
	st.table.MaxBytes = o.common.Settings.MaxOperationBytes
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	st.table.Open(o.common.Clock.Now(), o.common.Incarnation, key)
	return st
}

func (o *Operations) handle(st *state, message any) {
	now := o.common.Clock.Now()
	switch m := message.(type) {
	case mintMessage:
		tickets, err := st.table.Mint(now, m.count, m.lifetime)
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
		k := operationKeyOf(m.ticket)
		st.waiting[k] = append(st.waiting[k], m.finished)
	}
	m.reply <- v
}

func (st *state) decide(now time.Time, m beginMessage) operation.Decision {
	switch m.verb {
	case tarragonwell.OperationQuery:
		return st.table.Query(now, m.ticket)
	case tarragonwell.OperationVoid:
		return st.table.Void(now, m.ticket)
	default:
		return st.table.Begin(now, m.ticket, m.fingerprint)
	}
}

func (o *Operations) finish(st *state, m finishMessage) {
	st.table.Finish(m.ticket, m.result)
	k := operationKeyOf(m.ticket)
	for _, w := range st.waiting[k] {
		w <- m.result
	}
	delete(st.waiting, k)
	o.closeWhenIdle(o.common.Clock.Now(), st)
}

// closeWhenIdle completes a Close once no operation is in flight: it replies with
// the operations to hand over and resumes the parked requests.
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

func (o *Operations) size(st *state) Stats {
	entries, bytes := st.table.Size()
	return Stats{
		Entries:     entries,
		Bytes:       bytes,
		Running:     st.table.Running(),
		Closing:     st.closing != nil,
		Parked:      len(st.parked),
		Generations: st.table.Generations(),
	}
}

func operationKeyOf(t tarragonwell.Ticket) operationKey {
	return operationKey{
		incarnation: t.Incarnation,
		sequence:    t.Sequence,
	}
}
