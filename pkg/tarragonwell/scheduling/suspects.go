package scheduling

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	// suspectLife is how long peers keep off a suspect target on one's word.
	suspectLife = 400 * time.Millisecond
	// maxSuspectShare bounds the targets that peers' words keep out: one instance
	// with a bad network must not empty a service.
	maxSuspectShare = 0.34
)

// SuspectsToAnnounce returns the targets that have fallen silent or are ejected, by what
// the instance itself saw, and that its peers have not been told of lately.
func (s *Scheduler) SuspectsToAnnounce(now time.Time) []string {
	var out []string
	for _, t := range s.targets {
		// A single call may be slow for reasons of its own.
		silent := t.InFlight-t.InFlightLong > 1 && policy.Unresponsive(now, t, s.shortLatency)
		failing := now.Before(t.EjectedUntil)
		if (silent || failing) && now.Sub(t.SuspectAnnouncedAt) > suspectLife/2 {
			t.SuspectAnnouncedAt = now
			out = append(out, t.ID)
		}
	}
	return out
}

// SuspicionExpiry is how long a suspicion that begins now is believed.
func SuspicionExpiry(now time.Time) time.Time {
	return now.Add(suspectLife)
}

// MarkSuspect takes in a peer's word that a target has fallen silent or fails.
func (s *Scheduler) MarkSuspect(now time.Time, id string, until time.Time) {
	t := s.find(id)
	if t == nil || s.suspectShare(now) > maxSuspectShare {
		return
	}
	if limit := now.Add(suspectLife); until.After(limit) {
		until = limit
	}
	t.SuspectUntil = until
}

// suspectShare is the share of the targets that would be out with one more.
func (s *Scheduler) suspectShare(now time.Time) float64 {
	n := 1
	for _, t := range s.targets {
		if suspect(now, t) {
			n++
		}
	}
	return float64(n) / float64(len(s.targets))
}
