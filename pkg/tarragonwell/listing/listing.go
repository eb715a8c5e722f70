// Package listing merges changes to the platform's list, from the platform itself or
// from peers, into one list of targets. It does no I/O and reads no clock: the time is
// a parameter.
package listing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

const (
	// removalGrace is how long the target of a removed entry may still be used, from
	// the time at which the entry was last known to be listed.
	removalGrace = 1600 * time.Millisecond
	// massRemovalGrace is the grace period in a mass removal, from the time at which
	// the removal was observed. A large part of a service's entries removed during an
	// outage of the platform indicates that the leases of entries expired while the
	// targets kept running. The targets are listed again within about 2 s of the
	// platform's recovery.
	massRemovalGrace = 2500 * time.Millisecond
	// outageThreshold is the minimum time since the list was last confirmed for a
	// removal to count as observed after an outage of the platform.
	outageThreshold = 1500 * time.Millisecond
	// massRemovalShare is the share of a service's targets above which removals that
	// are observed after an outage count as a mass removal. Smaller removals are taken
	// to be real.
	massRemovalShare = 0.34
	// maxRemovals bounds the removals that are retained for peers.
	maxRemovals = 2048
)

// Listing is an instance's copy of the platform's list. It is not safe for concurrent
// use: one goroutine owns it. The zero value is empty.
type Listing struct {
	// position is that of the latest change. All revisions below are of its era.
	position tarragonwell.ListPosition
	// targets holds the entries by target ID; nil before the first change.
	targets   map[string]*entry
	instances []tarragonwell.ListedInstance
	// removals holds the latest removals, ordered by revision, at most maxRemovals.
	removals []tarragonwell.RemovedTarget
	// removalsSince is the revision after which removals is complete.
	removalsSince uint64
	// drains holds the drains of data centres, as of position.
	drains drains.Set
	// earlier is what is still known of the eras before.
	earlier earlierEra
}

// entry is one target. A removed entry is kept until its grace period is over.
type entry struct {
	target tarragonwell.ListedTarget
	// removedAt is the earliest time at which the entry may have been removed; zero
	// while it is listed.
	removedAt time.Time
	// observedAt is when the instance observed the removal.
	observedAt time.Time
	// afterOutage is set if the removal was observed after an outage of the platform.
	afterOutage bool
	// fromEarlierEra is set until the entry is received in the current era.
	fromEarlierEra bool
	// lost is set if the entry was missing when the era began.
	lost bool
	// departedUntil is set if the entry was removed in an earlier era and is back in the copy
	// with which the era began. The target counts as leaving until then, or until the entry
	// is received again.
	departedUntil time.Time
}

// Position returns the position of the latest change; zero before the first.
func (l *Listing) Position() tarragonwell.ListPosition {
	return l.position
}

// Instances returns the listed instances of tarragonwell, of the latest full list.
func (l *Listing) Instances() []tarragonwell.ListedInstance {
	return l.instances
}

// Drains returns the drains in force, ordered by data centre.
func (l *Listing) Drains() []tarragonwell.DataCenterDrain {
	return l.earlier.withDrains(l.drains.InForce(0))
}

// Apply applies a change and reports whether the list has changed. ok is false if the
// change builds on a later position than the list has. The change is then ignored, like one
// of an earlier era. A later era begins with its full list, whatever its revision.
// confirmedAt is when the list was last confirmed to be up to date; now is used instead
// if it is zero or later than now.
func (l *Listing) Apply(now, confirmedAt time.Time, c *tarragonwell.ListChange) (changed, ok bool) {
	current := l.position.Revision
	switch {
	case c.Era < l.position.Era:
		return false, true
	case c.Era > l.position.Era && c.Since > 0, c.Era == l.position.Era && c.Since > current:
		return false, false
	case c.Era == l.position.Era && (c.Revision < current || c.Revision == current && l.targets != nil):
		return false, true
	}
	if l.targets == nil {
		l.targets = map[string]*entry{}
	}
	if confirmedAt.IsZero() || confirmedAt.After(now) {
		confirmedAt = now
	}
	if c.Era > l.position.Era {
		l.endEra(now)
	}
	if c.Since == 0 {
		l.replace(now, confirmedAt, c)
	} else {
		l.merge(now, confirmedAt, c)
	}
	l.position = c.Position()
	return true, true
}

// replace applies a full list.
func (l *Listing) replace(now, confirmedAt time.Time, c *tarragonwell.ListChange) {
	listed := map[string]bool{}
	for _, t := range c.Targets {
		listed[t.Identity()] = true
		l.put(now, t)
		if c.Era > l.position.Era && l.earlier.hasDeparted(now, t) {
			l.targets[t.Identity()].departedUntil = now.Add(rewriteGrace)
		}
	}
	for id, e := range l.targets {
		if !listed[id] && (e.fromEarlierEra || e.target.Revision <= c.Revision) {
			l.remove(now, confirmedAt, id, e)
		}
	}
	l.instances = c.Instances
	l.drains.Replace(c.Revision, c.Drains)
	l.earlier.forgetDrains(c.Drains)
	l.removals = nil
	l.removalsSince = c.Revision
}

// merge applies the changes since an earlier revision.
func (l *Listing) merge(now, confirmedAt time.Time, c *tarragonwell.ListChange) {
	l.drains.Merge(c.Drains, c.EndedDrains)
	l.earlier.forgetDrains(c.Drains)
	l.earlier.forgetDrains(c.EndedDrains)
	for _, t := range c.Targets {
		l.put(now, t)
	}
	for _, r := range c.Removed {
		if r.Revision <= l.position.Revision {
			continue
		}
		if e := l.targets[r.ID]; e != nil && (e.fromEarlierEra || e.target.Revision < r.Revision) {
			l.remove(now, confirmedAt, r.ID, e)
		}
		l.removals = append(l.removals, r)
	}
	slices.SortFunc(l.removals, func(a, b tarragonwell.RemovedTarget) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	if excess := len(l.removals) - maxRemovals; excess > 0 {
		l.removalsSince = l.removals[excess-1].Revision
		l.removals = slices.Clone(l.removals[excess:])
	}
}

// put adds or updates an entry unless the present one has a later revision.
func (l *Listing) put(now time.Time, t tarragonwell.ListedTarget) {
	t.ID = t.Identity()
	t.Delisted = false
	t.Drained = false
	e := l.targets[t.ID]
	t.WarmUpUntil = warmUpEnd(now, t, e)
	t.WarmUpRemaining = 0
	if e == nil {
		l.targets[t.ID] = &entry{
			target: t,
		}
		return
	}
	if !e.fromEarlierEra && t.Revision < e.target.Revision {
		return
	}
	fromCopy := e.fromEarlierEra || t.Revision == e.target.Revision
	if fromCopy && e.target.Leaving && t.Born != 0 && t.Born == e.target.Born {
		// The copy may be from before the target reported that it is leaving.
		t.Leaving = true
	}
	if !fromCopy {
		e.departedUntil = time.Time{}
	}
	e.target = t
	e.removedAt = time.Time{}
	e.fromEarlierEra = false
	e.lost = false
}

// warmUpEnd returns the end of the warm-up time that an entry states. An entry that is
// received again, with the revision and the start of the present one, does not extend it:
// the time has been running since the first receipt.
func warmUpEnd(now time.Time, t tarragonwell.ListedTarget, present *entry) time.Time {
	if t.WarmUpRemaining <= 0 {
		return time.Time{}
	}
	end := now.Add(min(t.WarmUpRemaining, tarragonwell.MaxWarmUp))
	if present == nil || present.fromEarlierEra || present.target.Revision != t.Revision || present.target.Born != t.Born {
		return end
	}
	if known := present.target.WarmUpUntil; known.Before(end) {
		return known
	}
	return end
}

// remove marks an entry as removed. An entry that is identified by its address only is
// deleted immediately, because another target may soon have the address.
func (l *Listing) remove(now, confirmedAt time.Time, id string, e *entry) {
	if e.target.ID == e.target.Address {
		delete(l.targets, id)
		return
	}
	if e.removedAt.IsZero() {
		e.removedAt = confirmedAt
		e.observedAt = now
		e.afterOutage = now.Sub(confirmedAt) >= outageThreshold
		e.lost = e.fromEarlierEra
		if !e.afterOutage && !e.lost {
			l.earlier.remember(now, e.target)
		}
	}
}

// mayReturn reports whether a removed entry is missing because of a fault of the platform: in
// a mass removal, or in the copy with which an era begins.
func (e *entry) mayReturn(mass map[string]bool) bool {
	return e.lost || e.afterOutage && mass[e.target.Service]
}

// DropRemoved deletes the removed entries whose grace period is over, and the drains of an
// earlier era that were not written again. It reports whether the list has changed.
func (l *Listing) DropRemoved(now time.Time) bool {
	mass := l.massRemovals()
	dropped := l.earlier.dropDrains(now)
	for id, e := range l.targets {
		if !e.departedUntil.IsZero() && !now.Before(e.departedUntil) {
			e.departedUntil = time.Time{}
			dropped = true
		}
		over := now.Sub(e.removedAt) >= removalGrace
		if e.mayReturn(mass) {
			over = now.Sub(e.observedAt) >= massRemovalGrace
		}
		if !e.removedAt.IsZero() && over {
			delete(l.targets, id)
			dropped = true
		}
	}
	return dropped
}

// massRemovals returns the services of which more than massRemovalShare of the entries
// were removed, as observed after an outage of the platform. Such a mass removal is
// attributed to a fault of the platform.
func (l *Listing) massRemovals() map[string]bool {
	removed := map[string]int{}
	total := map[string]int{}
	for _, e := range l.targets {
		total[e.target.Service]++
		if !e.removedAt.IsZero() && e.afterOutage {
			removed[e.target.Service]++
		}
	}
	out := map[string]bool{}
	for service, n := range removed {
		out[service] = float64(n) > massRemovalShare*float64(total[service])
	}
	return out
}

// Targets returns the targets by service, ordered by ID. Targets of removed entries
// are marked as delisted, to be used only as a last resort, except in a mass removal.
func (l *Listing) Targets() map[string][]tarragonwell.ListedTarget {
	mass := l.massRemovals()
	out := map[string][]tarragonwell.ListedTarget{}
	for _, e := range l.targets {
		t := e.target
		t.Leaving = t.Leaving || !e.departedUntil.IsZero()
		t.Delisted = !e.removedAt.IsZero() && !e.mayReturn(mass)
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b tarragonwell.ListedTarget) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return out
}

// ChangesSince returns the changes after a position, or the full list if the position is of
// another era or the removals since then are no longer retained, with the warm-up times that
// remain. It returns nil before the first change.
func (l *Listing) ChangesSince(now time.Time, since tarragonwell.ListPosition) *tarragonwell.ListChange {
	if l.targets == nil {
		return nil
	}
	revision := since.Revision
	c := &tarragonwell.ListChange{
		Era:      l.position.Era,
		Since:    revision,
		Revision: l.position.Revision,
	}
	retained := revision >= max(l.removalsSince, l.drains.EndedSince()) && revision <= l.position.Revision
	if since.Era != l.position.Era || !retained || !l.canComputeChanges() {
		c.Since = 0
		c.Instances = l.instances
	}
	for _, e := range l.targets {
		if e.removedAt.IsZero() && (c.Since == 0 || e.target.Revision > revision) {
			c.Targets = append(c.Targets, withWarmUpRemaining(now, e.target))
		}
	}
	c.Drains = l.drains.InForce(c.Since)
	if c.Since == 0 {
		return c
	}
	c.EndedDrains = l.drains.Ended(c.Since)
	for _, r := range l.removals {
		if r.Revision > revision {
			c.Removed = append(c.Removed, r)
		}
	}
	return c
}

// withWarmUpRemaining returns an entry for another instance, whose clock differs.
func withWarmUpRemaining(now time.Time, t tarragonwell.ListedTarget) tarragonwell.ListedTarget {
	if now.Before(t.WarmUpUntil) {
		t.WarmUpRemaining = t.WarmUpUntil.Sub(now)
	}
	t.WarmUpUntil = time.Time{}
	return t
}

// canComputeChanges reports whether changes since a revision can be computed: a full list
// has been applied, and all entries have revisions of their own.
func (l *Listing) canComputeChanges() bool {
	for _, e := range l.targets {
		if e.target.Revision == 0 {
			return false
		}
	}
	return l.removalsSince > 0
}
