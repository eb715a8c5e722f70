package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// UnidentifiedLeavingTTL is how long a target's report that it is leaving is
	// effective if the platform does not tell the starts of a target apart. The target
	// may return under the same ID.
	UnidentifiedLeavingTTL = 30 * time.Second
	// leaverRetention is how long a target that reported that it is leaving is
	// remembered after its removal, in case the platform lists it again.
	leaverRetention = 10 * time.Minute
	// maxLeavers bounds the leavers that are remembered.
	maxLeavers = 4096
	// maxAnnouncedLeavingShare is the maximum share of the targets that are left out
	// because of peers' announcements alone, so that false ones can't leave the service
	// without targets.
	maxAnnouncedLeavingShare = 0.5
)

// leaverKey identifies one start of a target.
type leaverKey struct {
	id   string
	born uint64
}

// leaverMemory remembers the targets that reported that they are leaving, and when. The
// zero value is empty.
type leaverMemory struct {
	reportedAt map[leaverKey]time.Time
}

func (m *leaverMemory) contains(t *tarragonwell.TargetState) bool {
	_, ok := m.reportedAt[leaverKey{
		id:   t.ID,
		born: t.Born,
	}]
	return ok && t.Born != 0
}

// add remembers a target, and drops those whose retention is over.
func (m *leaverMemory) add(now time.Time, t *tarragonwell.TargetState) {
	if m.reportedAt == nil {
		m.reportedAt = map[leaverKey]time.Time{}
	}
	for k, at := range m.reportedAt {
		if now.Sub(at) > leaverRetention || len(m.reportedAt) >= maxLeavers {
			delete(m.reportedAt, k)
		}
	}
	m.reportedAt[leaverKey{
		id:   t.ID,
		born: t.Born,
	}] = now
}

// RecordLeaving records that a target told this instance that it is leaving. born is the
// Born of the target that the response came from. RecordLeaving returns true if the
// service has that target and it was not already leaving.
//
// The record holds until the target starts again, which changes Born. Where Born is
// unknown, it expires after UnidentifiedLeavingTTL.
func (s *Scheduler) RecordLeaving(now time.Time, id string, born uint64) bool {
	t := s.find(id)
	if t == nil || t.Born != born {
		return false
	}
	isNew := !t.Leaving(now)
	if t.Born == 0 {
		t.LeavingUntil = now.Add(UnidentifiedLeavingTTL)
		return isNew
	}
	t.LeavingReported = true
	s.leavers.add(now, t)
	return isNew
}

// MarkLeaving applies a peer's announcement. It returns true if the service has the
// target and it was not already leaving. An announcement for another start of the target
// is ignored, and so is one with which more than maxAnnouncedLeavingShare of the targets
// would count as leaving because of announcements alone.
func (s *Scheduler) MarkLeaving(now time.Time, a tarragonwell.LeavingTarget) bool {
	t := s.find(a.ID)
	if t == nil || (a.Born != 0 && a.Born != t.Born) || !now.Before(a.ExpiresAt) {
		return false
	}
	if a.Observed && t.Born != 0 {
		return s.RecordLeaving(now, a.ID, a.Born)
	}
	isNew := !t.Leaving(now)
	if isNew && !a.Observed && s.nextAnnouncedLeavingShare(now) > maxAnnouncedLeavingShare {
		return false
	}
	if a.ExpiresAt.After(t.LeavingUntil) {
		t.LeavingUntil = a.ExpiresAt
	}
	return isNew
}

// nextAnnouncedLeavingShare returns the share of the targets, without drained ones, that
// would be leaving only because of announcements with one more than now.
func (s *Scheduler) nextAnnouncedLeavingShare(now time.Time) float64 {
	announced := 1
	for _, t := range s.targets {
		if !t.Drained && !t.ListedLeaving && !t.LeavingReported && now.Before(t.LeavingUntil) {
			announced++
		}
	}
	return float64(announced) / float64(max(1, s.undrained))
}
