// Package drains decides which data centres are out of service, and how their targets
// return. A drain comes from an entry of the platform, which is merged by revision, or from
// a line of the rules file. The package does no I/O and reads no clock.
package drains

import (
	"cmp"
	"slices"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// maxEnded bounds the ended drains that are retained for peers.
const maxEnded = 256

// Set holds the platform's drains. Of several records of one data centre the one with the
// highest revision counts, so that changes may be merged in any order, from any sender and
// repeatedly. It is not safe for concurrent use. The zero value is empty.
type Set struct {
	records map[string]record
	// endedSince is the revision after which the ended drains are complete.
	endedSince uint64
}

// record is the latest known state of one data centre's entry.
type record struct {
	revision uint64
	ended    bool
}

// Merge merges drains that were added and drains that have ended.
func (s *Set) Merge(added, ended []tarragonwell.DataCenterDrain) {
	for _, d := range ended {
		s.put(d, true)
	}
	// Of an end and a drain with the same revision, which no platform writes, the drain
	// counts: it is the safe choice.
	for _, d := range added {
		s.put(d, false)
	}
	s.dropOldest()
}

// Replace merges the complete list of the drains in force at a revision. Drains that it
// does not contain have ended, but for those with a later revision.
func (s *Set) Replace(revision uint64, inForce []tarragonwell.DataCenterDrain) {
	listed := map[string]bool{}
	for _, d := range inForce {
		listed[d.DataCenter] = true
	}
	for name, r := range s.records {
		if r.revision <= revision && (r.ended || !listed[name]) {
			delete(s.records, name)
		}
	}
	s.endedSince = max(s.endedSince, revision)
	s.Merge(inForce, nil)
}

// put records the state of a data centre's entry unless a later one is known.
func (s *Set) put(d tarragonwell.DataCenterDrain, ended bool) {
	known, found := s.records[d.DataCenter]
	if found && (d.Revision < known.revision || d.Revision == known.revision && ended) {
		return
	}
	if s.records == nil {
		s.records = map[string]record{}
	}
	s.records[d.DataCenter] = record{
		revision: d.Revision,
		ended:    ended,
	}
}

// dropOldest drops the oldest ended drains beyond maxEnded.
func (s *Set) dropOldest() {
	ended := s.recordsAfter(0, true)
	if len(ended) <= maxEnded {
		return
	}
	slices.SortFunc(ended, func(a, b tarragonwell.DataCenterDrain) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	for _, d := range ended[:len(ended)-maxEnded] {
		delete(s.records, d.DataCenter)
		s.endedSince = max(s.endedSince, d.Revision)
	}
}

// EndedSince returns the revision after which Ended is complete.
func (s *Set) EndedSince() uint64 {
	return s.endedSince
}

// InForce returns the drains in force that were written after a revision, ordered by data
// centre.
func (s *Set) InForce(after uint64) []tarragonwell.DataCenterDrain {
	return s.recordsAfter(after, false)
}

// Ended returns the retained drains that ended after a revision, ordered by data centre.
func (s *Set) Ended(after uint64) []tarragonwell.DataCenterDrain {
	return s.recordsAfter(after, true)
}

func (s *Set) recordsAfter(after uint64, ended bool) []tarragonwell.DataCenterDrain {
	var out []tarragonwell.DataCenterDrain
	for name, r := range s.records {
		if r.ended == ended && (after == 0 || r.revision > after) {
			out = append(out, tarragonwell.DataCenterDrain{
				DataCenter: name,
				Revision:   r.revision,
			})
		}
	}
	slices.SortFunc(out, func(a, b tarragonwell.DataCenterDrain) int {
		return cmp.Compare(a.DataCenter, b.DataCenter)
	})
	return out
}
