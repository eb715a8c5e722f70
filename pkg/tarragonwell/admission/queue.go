// Package admission bounds what is sent: queues by deadline and weight, limits
// that adapt, and budgets for retries and probes.
package admission

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MaxQueuePerClass bounds the waiting calls of one kind.
const MaxQueuePerClass = 2048

// PendingCall is a call that waits for a target.
type PendingCall struct {
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// Exclude lists the IDs of targets that the call has tried.
	Exclude []string
	// SpareCapacityOnly marks a call that may only use what others leave, as a hedge.
	SpareCapacityOnly bool
	// QueueDeadline is when waiting is of no more use; zero for the deadline.
	QueueDeadline time.Time
	// Late says that the call can't meet its objective any more. It is served
	// after those that can.
	Late bool
	// CallerTimeLeft is how long the caller still waited when the call came; 0 where
	// it does not tell.
	CallerTimeLeft time.Duration
}

// QueueTimedOut reports whether waiting is of no more use.
func (w *PendingCall) QueueTimedOut(now time.Time) bool {
	return !w.QueueDeadline.IsZero() && now.After(w.QueueDeadline)
}

// lateWeight is the weight of calls that can't meet their objective any more,
// whatever their kind.
const lateWeight = 0.1

// class names the queue of a call.
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

// Queue orders waiting calls: kinds share the service by their weights, so none
// is starved, and within a kind the first comes first. The zero value is empty.
type Queue struct {
	kinds  []*kindQueue
	length int
	// clock is the virtual time of the last grant.
	clock float64
}

// kindQueue holds the waiters of one kind.
type kindQueue struct {
	kind    string
	weight  float64
	virtual float64
	waiters []*PendingCall
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return q.length
}

// ClassLen returns the number of waiting calls of the same class.
func (q *Queue) ClassLen(w *PendingCall) int {
	if k := q.find(w.class()); k != nil {
		return len(k.waiters)
	}
	return 0
}

// Peek returns the call that is served next, or nil.
func (q *Queue) Peek() *PendingCall {
	var first *kindQueue
	for _, k := range q.kinds {
		if len(k.waiters) > 0 && (first == nil || k.virtual < first.virtual) {
			first = k
		}
	}
	if first == nil {
		return nil
	}
	return first.waiters[0]
}

// MustYield reports whether a late call has to let others go first.
func (q *Queue) MustYield(w *PendingCall) bool {
	return w.Late && q.length > 0
}

// Push adds a call. It returns false where the kind's queue is full.
func (q *Queue) Push(w *PendingCall) bool {
	k := q.find(w.class())
	if k == nil {
		k = &kindQueue{
			kind: w.class(),
		}
		q.kinds = append(q.kinds, k)
	}
	if len(k.waiters) >= MaxQueuePerClass {
		return false
	}
	k.weight = w.weight()
	if len(k.waiters) == 0 {
		k.virtual = max(k.virtual, q.clock)
	}
	k.waiters = append(k.waiters, w)
	q.length++
	return true
}

// GrantsAhead estimates how many grants go to other calls before a new call is served.
func (q *Queue) GrantsAhead(w *PendingCall) float64 {
	own := 0
	total := w.weight()
	for _, k := range q.kinds {
		if k.kind == w.class() {
			own = len(k.waiters)
		} else if len(k.waiters) > 0 {
			total += k.weight
		}
	}
	return min(float64(q.length), float64(own)*total/w.weight())
}

// Serve offers the first call of each kind, in the order of their shares, to
// try until none is taken. Calls that try takes are removed.
func (q *Queue) Serve(try func(*PendingCall) bool) {
	for q.serveOne(try) {
	}
}

func (q *Queue) serveOne(try func(*PendingCall) bool) bool {
	slices.SortStableFunc(q.kinds, func(a, b *kindQueue) int {
		switch {
		case a.virtual < b.virtual:
			return -1
		case a.virtual > b.virtual:
			return 1
		default:
			return 0
		}
	})
	for _, k := range q.kinds {
		if len(k.waiters) == 0 || !try(k.waiters[0]) {
			continue
		}
		k.waiters = k.waiters[1:]
		q.length--
		q.clock = k.virtual
		k.virtual += 1 / k.weight
		return true
	}
	return false
}

// Remove takes out the calls for which drop returns true and returns them.
func (q *Queue) Remove(drop func(*PendingCall) bool) []*PendingCall {
	var dropped []*PendingCall
	for _, k := range q.kinds {
		k.waiters = slices.DeleteFunc(k.waiters, func(w *PendingCall) bool {
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

func (q *Queue) find(kind string) *kindQueue {
	for _, k := range q.kinds {
		if k.kind == kind {
			return k
		}
	}
	return nil
}
