package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TargetKey identifies a target of a service.
type TargetKey struct {
	Service string
	// ID is the target's tarragonwell.ListedTarget.Identity.
	ID string
	// Born is the target's tarragonwell.ListedTarget.Born; 0 if it is not known or the
	// key does not tell the starts of a target apart.
	Born uint64
}

// MergeHolder records which instance took over an incarnation's operations. It reports
// whether the record is newer than the stored one.
func (v *View) MergeHolder(h tarragonwell.Holder) bool {
	if v.holders == nil {
		v.holders = map[tarragonwell.Incarnation]tarragonwell.Holder{}
	}
	old, known := v.holders[h.Incarnation]
	if known && old.Generation >= h.Generation {
		return false
	}
	v.holders[h.Incarnation] = h
	return true
}

// Holders lists the latest holder records, in no particular order.
func (v *View) Holders() []tarragonwell.Holder {
	var out []tarragonwell.Holder
	for _, h := range v.holders {
		out = append(out, h)
	}
	return out
}

// MergeLeaving records the announcement of a draining target. It reports whether the
// target was not draining before.
func (v *View) MergeLeaving(now time.Time, l tarragonwell.LeavingTarget) bool {
	if v.leaving == nil {
		v.leaving = map[TargetKey]tarragonwell.LeavingTarget{}
	}
	k := TargetKey{
		Service: l.Service,
		ID:      l.ID,
		Born:    l.Born,
	}
	old := v.leaving[k]
	isNew := !now.Before(old.ExpiresAt) && l.ExpiresAt.After(now)
	if !l.ExpiresAt.After(old.ExpiresAt) {
		l.ExpiresAt = old.ExpiresAt
	}
	l.Observed = l.Observed || old.Observed
	if l != old {
		v.leaving[k] = l
	}
	if isNew || l.Observed != old.Observed {
		v.leavingVersion++
	}
	return isNew
}

// LeavingVersion changes when there is a new announcement of a draining target.
func (v *View) LeavingVersion() uint64 {
	return v.leavingVersion
}

// MergeSuspect records until when a target is suspected. It reports whether the
// target was not suspected before.
func (v *View) MergeSuspect(now time.Time, k TargetKey, expiresAt time.Time) bool {
	if v.suspects == nil {
		v.suspects = map[TargetKey]time.Time{}
	}
	old := v.suspects[k]
	if expiresAt.After(old) {
		v.suspects[k] = expiresAt
	}
	return !now.Before(old) && expiresAt.After(now)
}

// Suspects returns the suspected targets and when each suspicion expires. The map
// belongs to the view.
func (v *View) Suspects() map[TargetKey]time.Time {
	return v.suspects
}

// Leaving lists the announcements of draining targets, those that expire last first.
func (v *View) Leaving() []tarragonwell.LeavingTarget {
	out := slices.Collect(maps.Values(v.leaving))
	slices.SortFunc(out, func(a, b tarragonwell.LeavingTarget) int {
		return b.ExpiresAt.Compare(a.ExpiresAt)
	})
	return out
}

// expireAnnouncements removes holders, draining notices and suspicions of targets that have
// expired.
func (v *View) expireAnnouncements(now time.Time) {
	for i, h := range v.holders {
		if now.After(h.ExpiresAt) {
			delete(v.holders, i)
		}
	}
	for k, l := range v.leaving {
		if now.After(l.ExpiresAt) {
			delete(v.leaving, k)
		}
	}
	for k, expiresAt := range v.suspects {
		if now.After(expiresAt) {
			delete(v.suspects, k)
		}
	}
}
