package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	// suspicionTTL is the time for which the announcement of a suspected target is
	// effective at the peers.
	suspicionTTL = 400 * time.Millisecond
	// maxSuspectedShare is the maximum share of the targets that are avoided because
	// of peers' announcements: an instance with a bad network must not leave a service
	// without targets.
	maxSuspectedShare = 0.34
)

// SuspectsToAnnounce returns the IDs of the targets that the instance itself has found
// to be unresponsive or has ejected, and marks them as announced. Unlike in ejected, a
// target that awaits or serves its trial call does not count. It leaves out those that
// were announced to the peers recently.
func (s *Scheduler) SuspectsToAnnounce(now time.Time) []string {
	var ids []string
	for _, t := range s.targets {
		// A single slow call is no evidence: the cause may be the call itself.
		unresponsive := t.InFlight-t.InFlightLong > 1 && policy.Unresponsive(now, t, s.meanShortLatency)
		inEjection := now.Before(t.EjectedUntil)
		if (unresponsive || inEjection) && now.Sub(t.SuspectAnnouncedAt) > suspicionTTL/2 {
			t.SuspectAnnouncedAt = now
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// SuspicionExpiry returns the time until which a suspicion raised now is
// effective.
func SuspicionExpiry(now time.Time) time.Time {
	return now.Add(suspicionTTL)
}

// MarkSuspect records a peer's announcement that a target is unresponsive or ejected.
// The announcement is effective until expiresAt, at most for suspicionTTL. It is
// ignored if the share of suspected targets would exceed maxSuspectedShare.
func (s *Scheduler) MarkSuspect(now time.Time, id string, expiresAt time.Time) {
	t := s.find(id)
	if t == nil || s.nextSuspectedShare(now) > maxSuspectedShare {
		return
	}
	if limit := now.Add(suspicionTTL); expiresAt.After(limit) {
		expiresAt = limit
	}
	t.SuspectUntil = expiresAt
}

// nextSuspectedShare returns the share of the targets, without drained ones, that would be
// suspected with one more than now. It does not consider which target that is: at the limit, the
// suspicion of a target that is already suspected can't be extended.
func (s *Scheduler) nextSuspectedShare(now time.Time) float64 {
	suspects := 1
	for _, t := range s.targets {
		if !t.Drained && suspected(now, t) {
			suspects++
		}
	}
	return float64(suspects) / float64(max(1, s.undrained))
}
