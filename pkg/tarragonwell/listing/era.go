package listing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

const (
	// rewriteGrace is how long the operators and targets may take to write again what the copy
	// with which an era begins lacks. A drain that is missing in it stays in force until then,
	// and a target whose removal is missing counts as leaving.
	rewriteGrace = 10 * time.Second
	// departureRetention is how long a removal is remembered in case the next era begins
	// with a copy from before it.
	departureRetention = 30 * time.Second
	// maxDepartures bounds the removals that are remembered.
	maxDepartures = 2048
)

// departure identifies one start of a target whose entry was removed.
type departure struct {
	id   string
	born uint64
}

// earlierEra is what an instance knows of the eras before the current one. An era begins with
// a copy of the platform's data from some seconds before the end of the one before: it lacks
// the latest changes, which are written again, and has entries whose removal it lacks. The
// zero value is empty.
type earlierEra struct {
	// departures holds when the targets were removed that were removed last.
	departures map[departure]time.Time
	// drains holds the drains that were not received in the current era, by data centre.
	drains map[string]missingDrain
}

// missingDrain is a drain that has not been written again yet.
type missingDrain struct {
	drain tarragonwell.DataCenterDrain
	// until is when it ends unless it is written again.
	until time.Time
}

// endEra prepares the list for the full list of a later era. What was missing already is waited
// for anew.
func (l *Listing) endEra(now time.Time) {
	for _, e := range l.targets {
		e.fromEarlierEra = true
		if e.lost {
			e.removedAt = time.Time{}
		}
	}
	for _, d := range l.Drains() {
		l.earlier.addDrain(d, now.Add(rewriteGrace))
	}
	l.drains = drains.Set{}
}

// remember records that the entry of a target was removed.
func (x *earlierEra) remember(now time.Time, t tarragonwell.ListedTarget) {
	if t.Born == 0 {
		return
	}
	if x.departures == nil {
		x.departures = map[departure]time.Time{}
	}
	for d, at := range x.departures {
		if now.Sub(at) > departureRetention || len(x.departures) >= maxDepartures {
			delete(x.departures, d)
		}
	}
	x.departures[departure{
		id:   t.ID,
		born: t.Born,
	}] = now
}

// hasDeparted reports whether the entry of this start of a target was removed lately.
func (x *earlierEra) hasDeparted(now time.Time, t tarragonwell.ListedTarget) bool {
	at, found := x.departures[departure{
		id:   t.ID,
		born: t.Born,
	}]
	return found && now.Sub(at) <= departureRetention
}

func (x *earlierEra) addDrain(d tarragonwell.DataCenterDrain, until time.Time) {
	if x.drains == nil {
		x.drains = map[string]missingDrain{}
	}
	x.drains[d.DataCenter] = missingDrain{
		drain: d,
		until: until,
	}
}

// forgetDrains forgets the missing drains of data centres whose entries, or the removal of these,
// were received.
func (x *earlierEra) forgetDrains(received []tarragonwell.DataCenterDrain) {
	for _, d := range received {
		delete(x.drains, d.DataCenter)
	}
}

// dropDrains ends the missing drains that were not written again in time, and reports whether
// there were any.
func (x *earlierEra) dropDrains(now time.Time) bool {
	before := len(x.drains)
	for name, d := range x.drains {
		if !now.Before(d.until) {
			delete(x.drains, name)
		}
	}
	return len(x.drains) < before
}

// withDrains adds the missing drains to those in force, ordered by data centre.
func (x *earlierEra) withDrains(inForce []tarragonwell.DataCenterDrain) []tarragonwell.DataCenterDrain {
	if len(x.drains) == 0 {
		return inForce
	}
	out := slices.Clone(inForce)
	for _, d := range x.drains {
		out = append(out, d.drain)
	}
	slices.SortFunc(out, func(a, b tarragonwell.DataCenterDrain) int {
		return cmp.Compare(a.DataCenter, b.DataCenter)
	})
	return out
}

// Survey counts what a list has at the start of an era.
type Survey struct {
	// Listed is the number of targets that the copy has.
	Listed int
	// Missing is the number of targets that the copy lacks.
	Missing int
	// Departed is the number of targets that the copy has although they were removed.
	Departed int
	// MissingDrains is the number of drains that the copy lacks.
	MissingDrains int
}

// Survey counts the targets and the drains that differ in the copy with which the era began.
func (l *Listing) Survey() Survey {
	s := Survey{
		MissingDrains: len(l.earlier.drains),
	}
	for _, e := range l.targets {
		switch {
		case e.lost:
			s.Missing++
		case !e.departedUntil.IsZero():
			s.Departed++
		case e.removedAt.IsZero():
			s.Listed++
		}
	}
	return s
}
