// Package admission bounds what is sent: queues by deadline and weight, limits
// that adapt, and budgets for retries and probes.
package admission

import (
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// MaxQueuePerKind bounds the waiting calls of one kind.
const MaxQueuePerKind = 2048

// Waiter is a call that waits for a target.
type Waiter struct {
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// Exclude lists the IDs of targets that the call has tried.
	Exclude []string
	// Spare marks a call that may only use what others leave, as a hedge.
	Spare bool
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
	waiters []*Waiter
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return q.length
}

// LenOf returns the number of waiting calls of a kind.
func (q *Queue) LenOf(kind *tarragonwell.Kind) int {
	if k := q.find(kind.Name); k != nil {
		return len(k.waiters)
	}
	return 0
}

// Push adds a call. It returns false where the kind's queue is full.
func (q *Queue) Push(w *Waiter) bool {
	k := q.find(w.Kind.Name)
	if k == nil {
		k = &kindQueue{
			kind: w.Kind.Name,
		}
		q.kinds = append(q.kinds, k)
	}
	if len(k.waiters) >= MaxQueuePerKind {
		return false
	}
	k.weight = float64(max(1, w.Kind.Weight))
	if len(k.waiters) == 0 {
		k.virtual = max(k.virtual, q.clock)
	}
	k.waiters = append(k.waiters, w)
	q.length++
	return true
}

// Ahead estimates how many grants go to other calls before a new call of the
// kind is served.
func (q *Queue) Ahead(kind *tarragonwell.Kind) float64 {
	own := 0
	total := float64(max(1, kind.Weight))
	for _, k := range q.kinds {
		if k.kind == kind.Name {
			own = len(k.waiters)
		} else if len(k.waiters) > 0 {
			total += k.weight
		}
	}
	return min(float64(q.length), float64(own)*total/float64(max(1, kind.Weight)))
}

// Serve offers the first call of each kind, in the order of their shares, to
// try until none is taken. Calls that try takes are removed.
func (q *Queue) Serve(try func(*Waiter) bool) {
	for q.serveOne(try) {
	}
}

func (q *Queue) serveOne(try func(*Waiter) bool) bool {
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
func (q *Queue) Remove(drop func(*Waiter) bool) []*Waiter {
	var dropped []*Waiter
	for _, k := range q.kinds {
		k.waiters = slices.DeleteFunc(k.waiters, func(w *Waiter) bool {
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
