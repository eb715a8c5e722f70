// Package admission limits the load that is sent to targets. It provides a weighted
// fair queue, an adaptive concurrency limit, and budgets for retries and probes.
package admission

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MaxQueuePerClass is the maximum number of queued calls of one kind. It applies
// separately to the late calls of a kind.
const MaxQueuePerClass = 2048

// PendingCall is a queued call that waits for a target.
type PendingCall struct {
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// Exclude contains the IDs of the targets that the call has already tried.
	Exclude []string
	// SpareCapacityOnly is set if the call may use only capacity that other calls
	// leave unused, as for a hedge.
	SpareCapacityOnly bool
	// QueueDeadline is when the call has reached its maximum queue wait; zero if
	// only Deadline applies.
	QueueDeadline time.Time
	// Late is set if the call can no longer meet its latency objective. It has a low
	// weight, so that calls that still can are served first.
	Late bool
	// CallerTimeLeft is how long the caller was still prepared to wait when the call
	// arrived; 0 if it was not stated.
	CallerTimeLeft time.Duration
}

// QueueTimedOut reports whether the call has passed its queue deadline.
func (w *PendingCall) QueueTimedOut(now time.Time) bool {
	return !w.QueueDeadline.IsZero() && now.After(w.QueueDeadline)
}

// lateWeight is the weight of late calls, regardless of their kind.
const lateWeight = 0.1

// class returns the key of the call's queue. Late calls of a kind have their own.
func (w *PendingCall) class() string {
	if w.Late {
		return w.Kind.Name + " late"
	}
	return w.Kind.Name
}

func (w *PendingCall) weight() float64 {
	if w.Late {
		return lateWeight
	}
	return float64(max(1, w.Kind.Weight))
}

// Queue is a weighted fair queue of calls. Classes, which are kinds or the late
// calls of a kind, share the service's capacity by weight, so that none is starved.
// Within a class the order is first in, first out. The zero value is an empty
// queue.
type Queue struct {
	classes []*classQueue
	length  int
	// virtualTime is the virtual start time of the last grant.
	virtualTime float64
}

// classQueue is the queue of one class.
type classQueue struct {
	class  string
	weight float64
	// virtualTime is the virtual start time of the next grant. It advances by
	// 1/weight per grant; the class with the lowest is served first.
	virtualTime float64
	// waiters is in order of arrival.
	waiters []*PendingCall
}

// Len returns the number of queued calls.
func (q *Queue) Len() int {
	return q.length
}

// ClassLen returns the number of queued calls of w's class.
func (q *Queue) ClassLen(w *PendingCall) int {
	if c := q.find(w.class()); c != nil {
		return len(c.waiters)
	}
	return 0
}

// Peek returns the call to be served next, or nil if the queue is empty.
func (q *Queue) Peek() *PendingCall {
	var first *classQueue
	for _, c := range q.classes {
		if len(c.waiters) > 0 && (first == nil || c.virtualTime < first.virtualTime) {
			first = c
		}
	}
	if first == nil {
		return nil
	}
	return first.waiters[0]
}

// MustYield reports whether w must be queued behind other calls: a late call must
// if any call is queued.
func (q *Queue) MustYield(w *PendingCall) bool {
	return w.Late && q.length > 0
}

// Push adds a call. It returns false if the queue of the call's class is full.
func (q *Queue) Push(w *PendingCall) bool {
	c := q.find(w.class())
	if c == nil {
		c = &classQueue{
			class: w.class(),
		}
		q.classes = append(q.classes, c)
	}
	if len(c.waiters) >= MaxQueuePerClass {
		return false
	}
	c.weight = w.weight()
	if len(c.waiters) == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.waiters = append(c.waiters, w)
	q.length++
	return true
}

// GrantsAhead estimates the number of grants to other calls before w, if queued now,
// is served.
func (q *Queue) GrantsAhead(w *PendingCall) float64 {
	own := 0
	total := w.weight()
	for _, c := range q.classes {
		if c.class == w.class() {
			own = len(c.waiters)
		} else if len(c.waiters) > 0 {
			total += c.weight
		}
	}
	return min(float64(q.length), float64(own)*total/w.weight())
}

// Serve offers the first call of each class to try, in order of virtual time, and
// repeats this until try accepts none. Calls for which try returns true are removed.
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
		if len(c.waiters) == 0 || !try(c.waiters[0]) {
			continue
		}
		c.waiters = c.waiters[1:]
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
		c.waiters = slices.DeleteFunc(c.waiters, func(w *PendingCall) bool {
			if !drop(w) {
				return false
			}
			dropped = append(dropped, w)
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
