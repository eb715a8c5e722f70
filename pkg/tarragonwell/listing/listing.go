// Package listing joins changes of the platform's list, however they reach an
// instance, into one view of the targets. It is pure: it is told the time and
// is owned by one task.
package listing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// lapseLife is how long the target of a removed entry may still be used, from
	// when the entry was last known to be there.
	lapseLife = 1600 * time.Millisecond
	// massLapseLife is the same, from when the removal was learnt, where a large
	// part of a service's entries went while the platform was away: a sign that
	// leases ran out, not targets. They are back within two seconds or so of its
	// return.
	massLapseLife = 2500 * time.Millisecond
	// awayFor is how long nobody must have reached the platform for that.
	awayFor = 1500 * time.Millisecond
	// maxLapsedShare is the share of a service's targets up to which a removal is
	// believed.
	maxLapsedShare = 0.34
	// maxRemovals bounds the removals that are remembered for peers.
	maxRemovals = 2048
)

// Listing is what an instance knows of the list. The zero value is empty.
type Listing struct {
	revision  uint64
	targets   map[string]*entry
	instances []tarragonwell.ListedInstance
	// removals holds the latest, ordered by revision.
	removals []tarragonwell.RemovedTarget
	// horizon is the revision since which removals are complete.
	horizon uint64
}

// entry is one target. A removed one is kept until its lapse is over.
type entry struct {
	target tarragonwell.ListedTarget
	// removedAt is when the entry may have been removed at the earliest; zero while
	// it is listed.
	removedAt time.Time
	// learntAt is when the removal was learnt.
	learntAt time.Time
	// away says that the platform had been away before.
	away bool
}

// Revision returns that of the latest change; 0 before the first.
func (l *Listing) Revision() uint64 {
	return l.revision
}

// Instances returns the listed instances of tarragonwell.
func (l *Listing) Instances() []tarragonwell.ListedInstance {
	return l.instances
}

// Apply takes in a change. It reports whether the list is another one now, and
// false for ok where the change builds on a revision that is not known yet.
// current is when the list was last known to be current; zero for never.
func (l *Listing) Apply(now, current time.Time, c *tarragonwell.ListChange) (changed, ok bool) {
	if c.Since > l.revision {
		return false, false
	}
	if c.Revision < l.revision || (c.Revision == l.revision && l.targets != nil) {
		return false, true
	}
	if l.targets == nil {
		l.targets = map[string]*entry{}
	}
	if current.IsZero() || current.After(now) {
		current = now
	}
	if c.Since == 0 {
		l.replace(now, current, c)
	} else {
		l.merge(now, current, c)
	}
	l.revision = c.Revision
	return true, true
}

// replace takes in a whole list.
func (l *Listing) replace(now, current time.Time, c *tarragonwell.ListChange) {
	listed := map[string]bool{}
	for _, t := range c.Targets {
		listed[t.Identity()] = true
		l.put(t)
	}
	for id, e := range l.targets {
		if !listed[id] && e.target.Revision <= c.Revision {
			l.remove(now, current, id, e)
		}
	}
	l.instances = c.Instances
	l.removals = nil
	l.horizon = c.Revision
}

// merge takes in what has changed since an earlier revision.
func (l *Listing) merge(now, current time.Time, c *tarragonwell.ListChange) {
	for _, t := range c.Targets {
		l.put(t)
	}
	for _, r := range c.Removed {
		if r.Revision <= l.revision {
			continue
		}
		if e := l.targets[r.ID]; e != nil && e.target.Revision < r.Revision {
			l.remove(now, current, r.ID, e)
		}
		l.removals = append(l.removals, r)
	}
	slices.SortFunc(l.removals, func(a, b tarragonwell.RemovedTarget) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	if excess := len(l.removals) - maxRemovals; excess > 0 {
		l.horizon = l.removals[excess-1].Revision
		l.removals = slices.Clone(l.removals[excess:])
	}
}

// put takes in an entry unless a later one is known.
func (l *Listing) put(t tarragonwell.ListedTarget) {
	t.ID = t.Identity()
	t.Expired = false
	e := l.targets[t.ID]
	if e == nil {
		l.targets[t.ID] = &entry{
			target: t,
		}
		return
	}
	if t.Revision < e.target.Revision {
		return
	}
	e.target = t
	e.removedAt = time.Time{}
}

// remove marks an entry. Only one without an identity of its own is dropped at
// once: its address may be another target's soon.
func (l *Listing) remove(now, current time.Time, id string, e *entry) {
	if e.target.ID == e.target.Address {
		delete(l.targets, id)
		return
	}
	if e.removedAt.IsZero() {
		e.removedAt = current
		e.learntAt = now
		e.away = now.Sub(current) >= awayFor
	}
}

// Expire drops the targets whose lapse is over. It reports whether there were
// any.
func (l *Listing) Expire(now time.Time) bool {
	mass := l.massLapsed()
	dropped := false
	for id, e := range l.targets {
		over := now.Sub(e.removedAt) >= lapseLife
		if e.away && mass[e.target.Service] {
			over = now.Sub(e.learntAt) >= massLapseLife
		}
		if !e.removedAt.IsZero() && over {
			delete(l.targets, id)
			dropped = true
		}
	}
	return dropped
}

// massLapsed names the services that lost so many entries while the platform was
// away that it is taken for a fault of the platform.
func (l *Listing) massLapsed() map[string]bool {
	lapsed := map[string]int{}
	total := map[string]int{}
	for _, e := range l.targets {
		total[e.target.Service]++
		if !e.removedAt.IsZero() && e.away {
			lapsed[e.target.Service]++
		}
	}
	out := map[string]bool{}
	for service, n := range lapsed {
		out[service] = float64(n) > maxLapsedShare*float64(total[service])
	}
	return out
}

// HasRemoved reports whether a removed entry is still kept.
func (l *Listing) HasRemoved() bool {
	for _, e := range l.targets {
		if !e.removedAt.IsZero() {
			return true
		}
	}
	return false
}

// Targets returns the targets by service, each ordered by ID. Removed ones are
// marked as lapsed, unless many of the service's went while the platform was
// away.
func (l *Listing) Targets() map[string][]tarragonwell.ListedTarget {
	mass := l.massLapsed()
	out := map[string][]tarragonwell.ListedTarget{}
	for _, e := range l.targets {
		t := e.target
		t.Expired = !e.removedAt.IsZero() && !(e.away && mass[t.Service])
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b tarragonwell.ListedTarget) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return out
}

// ChangesSince returns what has changed after a revision, or the whole list where that
// is no longer known. It returns nil before the first change.
func (l *Listing) ChangesSince(revision uint64) *tarragonwell.ListChange {
	if l.targets == nil {
		return nil
	}
	c := &tarragonwell.ListChange{
		Since:    revision,
		Revision: l.revision,
	}
	if revision < l.horizon || revision > l.revision || !l.revised() {
		c.Since = 0
		c.Instances = l.instances
	}
	for _, e := range l.targets {
		if e.removedAt.IsZero() && (c.Since == 0 || e.target.Revision > revision) {
			c.Targets = append(c.Targets, e.target)
		}
	}
	if c.Since == 0 {
		return c
	}
	for _, r := range l.removals {
		if r.Revision > revision {
			c.Removed = append(c.Removed, r)
		}
	}
	return c
}

// revised reports whether the entries have revisions of their own.
func (l *Listing) revised() bool {
	for _, e := range l.targets {
		if e.target.Revision == 0 {
			return false
		}
	}
	return l.horizon > 0
}
