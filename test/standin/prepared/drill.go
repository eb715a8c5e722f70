package prepared

import (
	"slices"
	"time"
)

// Drill plays a drill: the store is away for awayFor, and comes back from a copy of its data that
// was made copyAge before. What was written since is lost, and the revisions go back and are given
// out again. Drill returns when the latest state of what was lost has been written again, after
// rewriteAfter. Drills that overlap run one after the other.
func (s *Store) Drill(copyAge, awayFor, rewriteAfter time.Duration) {
	s.drills.Lock()
	defer s.drills.Unlock()
	left := time.Now()
	s.mu.Lock()
	s.away = true
	s.wake()
	s.mu.Unlock()
	time.Sleep(awayFor)
	s.mu.Lock()
	lost := s.restore(left.Add(-copyAge))
	s.away = false
	s.wake()
	s.mu.Unlock()
	time.Sleep(rewriteAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range lost {
		if !s.changedInEra(i.Key) {
			s.apply(i)
		}
	}
}

// restore begins an era with the data of an earlier time, and returns the latest state of the
// entries that have changed since, in the order in which they were written; mu must be held.
func (s *Store) restore(to time.Time) []item {
	kept := slices.IndexFunc(s.log, func(i item) bool { return i.at.After(to) })
	if kept < 0 {
		kept = len(s.log)
	}
	var lost []item
	for _, i := range s.log[kept:] {
		lost = slices.DeleteFunc(lost, func(x item) bool { return x.Key == i.Key })
		lost = append(lost, i)
	}
	s.log = s.log[:kept:kept]
	s.items = map[string]item{}
	s.revision = 0
	for _, i := range s.log {
		s.put(i)
		s.revision = i.Rev
	}
	s.events = slices.DeleteFunc(s.events, func(i item) bool { return i.Rev > s.revision })
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era++
	s.eraBegan = time.Now()
	return lost
}

// changedInEra reports whether an entry was written in the current era; mu must be held.
func (s *Store) changedInEra(key string) bool {
	return slices.ContainsFunc(s.log, func(i item) bool { return i.Key == key && i.at.After(s.eraBegan) })
}
