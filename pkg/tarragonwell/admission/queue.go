// Package admission limits the load that is sent to targets. It provides a weighted
// fair queue, an adaptive concurrency limit, and budgets for retries and probes.
package admission

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MaxQueuePerClass is the maximum number of queued calls of one class. A kind has two
// classes: its late calls and its others.
const MaxQueuePerClass = 2048

// PendingCall is a call that needs a target and may be queued for it.
type PendingCall struct {
	// ID is the ID of the request to the scheduler, not that of the call.
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// Exclude contains the IDs of the targets to which the call has already been
	// sent.
	Exclude []string
	// SpareCapacityOnly is set if the call may use only capacity that other calls
	// leave unused, as for a hedge.
	SpareCapacityOnly bool
	// QueueDeadline is the time until which the call may be queued; zero if only
	// Deadline applies.
	QueueDeadline time.Time
	// Late is set if the call could no longer meet its latency objective when it
	// arrived. Late calls have a low weight, so that calls that can meet theirs are
	// served first.
	Late bool
	// CallerTimeLeft is how long the caller was still prepared to wait when the call
	// arrived; 0 if that is not known or the call has no QueueDeadline. The retry delay
	// of a rejected call is a share of it or, if it is 0, the estimated queueing time.
	CallerTimeLeft time.Duration
}

// QueueTimedOut reports whether the call has passed its queue deadline.
func (p *PendingCall) QueueTimedOut(now time.Time) bool {
	return !p.QueueDeadline.IsZero() && now.After(p.QueueDeadline)
}

// lateWeight is the weight of late calls, regardless of their kind.
const lateWeight = 0.1

// class returns the key of the call's queue. Late calls of a kind have their own.
func (p *PendingCall) class() string {
	if p.Late {
		return p.Kind.Name + " late"
	}
	return p.Kind.Name
}

func (p *PendingCall) weight() float64 {
	if p.Late {
		return lateWeight
	}
	return float64(max(1, p.Kind.Weight))
}

// Queue is a weighted fair queue of calls. It has two classes per kind, one for the
// late calls of the kind and one for the others. The classes share the service's
// capacity by weight, so that none is starved. Within a class the order is first
// in, first out. The zero value is an empty queue.
type Queue struct {
	classes []*classQueue
	length  int
	// virtualTime is the virtual start time of the call served last.
	virtualTime float64
}

// classQueue is the queue of one class.
type classQueue struct {
	class  string
	weight float64
	// virtualTime is the virtual start time of the next call. It advances by 1/weight
	// per call served; the class with the lowest is served first.
	virtualTime float64
	// calls is in order of arrival.
	calls []*PendingCall
}

// Len returns the number of queued calls.
func (q *Queue) Len() int {
	return q.length
}

// ClassLen returns the number of queued calls of p's class.
func (q *Queue) ClassLen(p *PendingCall) int {
	if c := q.find(p.class()); c != nil {
		return len(c.calls)
	}
	return 0
}

// Peek returns the call that Serve offers first, or nil if the queue is empty.
func (q *Queue) Peek() *PendingCall {
	var first *classQueue
	for _, c := range q.classes {
		if len(c.calls) > 0 && (first == nil || c.virtualTime < first.virtualTime) {
			first = c
		}
	}
	if first == nil {
		return nil
	}
	return first.calls[0]
}

// MustYield reports whether p must be queued behind other calls: a late call must
// if any call is queued.
func (q *Queue) MustYield(p *PendingCall) bool {
	return p.Late && q.length > 0
}

// Push adds a call. It returns false if the queue of the call's class is full.
func (q *Queue) Push(p *PendingCall) bool {
	c := q.find(p.class())
	if c == nil {
		c = &classQueue{
			class: p.class(),
		}
		q.classes = append(q.classes, c)
	}
	if len(c.calls) >= MaxQueuePerClass {
		return false
	}
	c.weight = p.weight()
	if len(c.calls) == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.calls = append(c.calls, p)
	q.length++
	return true
}

// CallsAhead estimates the number of calls that would be served before p if it were
// queued now.
func (q *Queue) CallsAhead(p *PendingCall) float64 {
	own := 0
	total := p.weight()
	for _, c := range q.classes {
		if c.class == p.class() {
			own = len(c.calls)
		} else if len(c.calls) > 0 {
			total += c.weight
		}
	}
	return min(float64(q.length), float64(own)*total/p.weight())
}

// Serve offers the first call of each class to try, in order of virtual time, until
// try returns true for one. It removes that call and starts again, until try returns
// false for all.
func (q *Queue) Serve(try func(*PendingCall) bool) {
	for q.serveOne(try) {
	}
}

func (q *Queue) serveOne(try func(*PendingCall) bool) bool {
	slices.SortStableFunc(q.classes, func(a, b *classQueue) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		default:
			return 0
		}
	})
	for _, c := range q.classes {
		if len(c.calls) == 0 || !try(c.calls[0]) {
			continue
		}
		c.calls = c.calls[1:]
		q.length--
		q.virtualTime = c.virtualTime
		c.virtualTime += 1 / c.weight
		return true
	}
	return false
}

// Remove removes the calls for which drop returns true and returns them.
func (q *Queue) Remove(drop func(*PendingCall) bool) []*PendingCall {
	var dropped []*PendingCall
	for _, c := range q.classes {
		c.calls = slices.DeleteFunc(c.calls, func(p *PendingCall) bool {
			if !drop(p) {
				return false
			}
			dropped = append(dropped, p)
			return true
		})
	}
	q.length -= len(dropped)
	return dropped
}

func (q *Queue) find(class string) *classQueue {
	for _, c := range q.classes {
		if c.class == class {
			return c
		}
	}
	return nil
}
