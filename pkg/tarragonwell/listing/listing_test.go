package listing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var start = time.Unix(1_000_000, 0)

func target(id string, revision uint64) tarragonwell.ListedTarget {
	return tarragonwell.ListedTarget{
		ID:       id,
		Service:  "s",
		Address:  "10.0.0.1:" + id,
		Revision: revision,
	}
}

func fullList(revision uint64, targets ...tarragonwell.ListedTarget) *tarragonwell.ListChange {
	return &tarragonwell.ListChange{
		Revision: revision,
		Targets:  targets,
	}
}

func apply(t *testing.T, l *Listing, now time.Time, c *tarragonwell.ListChange) {
	t.Helper()
	if _, ok := l.Apply(now, now, c); !ok {
		t.Fatalf("change since %d rejected at revision %d", c.Since, l.Position().Revision)
	}
}

// activeIDs lists the IDs of the targets that are neither delisted nor deleted.
func activeIDs(l *Listing) []string {
	var out []string
	for _, t := range l.Targets()["s"] {
		if !t.Delisted {
			out = append(out, t.ID)
		}
	}
	return out
}

// TestSingleRemovalIsTrusted checks that a single removed target is marked as delisted
// immediately, so that it is used only as a last resort, and deleted after the grace
// period.
func TestSingleRemovalIsTrusted(t *testing.T) {
	var l Listing
	apply(t, &l, start, fullList(5, target("a", 1), target("b", 2), target("c", 3), target("d", 4)))
	apply(t, &l, start, &tarragonwell.ListChange{
		Since:    5,
		Revision: 6,
		Removed: []tarragonwell.RemovedTarget{
			{
				ID:       "a",
				Revision: 6,
			},
		},
	})
	if got, want := activeIDs(&l), []string{"b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("after the removal: got %v, want %v", got, want)
	}
	if got, want := len(l.Targets()["s"]), 4; got != want {
		t.Errorf("within the grace period: got %d targets, want %d", got, want)
	}
	l.DropRemoved(start.Add(removalGrace))
	if got, want := len(l.Targets()["s"]), 3; got != want {
		t.Errorf("after the grace period: got %d targets, want %d", got, want)
	}
}

// TestTargetsSurviveMassRemovalAfterOutage guards against losing all targets of a service
// when leases expire during an outage of the platform: it then lists the running
// targets again only 2 s after its recovery.
func TestTargetsSurviveMassRemovalAfterOutage(t *testing.T) {
	var l Listing
	apply(t, &l, start, fullList(5, target("a", 1), target("b", 2), target("c", 3)))
	if _, ok := l.Apply(start, start.Add(-5*time.Second), fullList(9)); !ok {
		t.Fatal("the list after the outage was rejected")
	}
	l.DropRemoved(start.Add(2 * time.Second))
	if got, want := activeIDs(&l), []string{"a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("within the grace period: got %v, want %v", got, want)
	}
	apply(t, &l, start.Add(2*time.Second), &tarragonwell.ListChange{
		Since:    9,
		Revision: 11,
		Targets:  []tarragonwell.ListedTarget{target("a", 10), target("b", 11)},
	})
	l.DropRemoved(start.Add(massRemovalGrace))
	if got, want := activeIDs(&l), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("after the grace period, c not listed again: got %v, want %v", got, want)
	}
}

// TestMassRemovalWithoutOutageIsTrusted guards against using stopped targets after all
// targets of a service are replaced together: none may be used 2 s after the removal
// of its entry, even if the removal was observed late.
func TestMassRemovalWithoutOutageIsTrusted(t *testing.T) {
	var l Listing
	apply(t, &l, start, fullList(5, target("a", 1), target("b", 2), target("c", 3)))
	observed := start.Add(1200 * time.Millisecond)
	if _, ok := l.Apply(observed, start, fullList(9, target("c", 3))); !ok {
		t.Fatal("the list was rejected")
	}
	if got, want := activeIDs(&l), []string{"c"}; !slices.Equal(got, want) {
		t.Errorf("after the removals: got %v, want %v", got, want)
	}
	l.DropRemoved(start.Add(1700 * time.Millisecond))
	if got, want := len(l.Targets()["s"]), 1; got != want {
		t.Errorf("1.7 s after the entries were last known to be listed: got %d targets, want %d", got, want)
	}
}

// TestChangeWithGapIsRejected checks that a change which builds on an unknown revision
// is rejected, and that an older list is ignored.
func TestChangeWithGapIsRejected(t *testing.T) {
	var l Listing
	apply(t, &l, start, fullList(5, target("a", 1)))
	_, ok := l.Apply(start, start, &tarragonwell.ListChange{
		Since:    7,
		Revision: 8,
	})
	if ok {
		t.Error("change with a gap: got ok, want a rejection")
	}
	changed, ok := l.Apply(start, start, fullList(4, target("z", 1)))
	if changed || !ok {
		t.Errorf("older list: got changed %v, ok %v, want false, true", changed, ok)
	}
}

// TestListsConverge checks that lists converge regardless of the path of the changes:
// one list reads parts of a drawn history from the origin, the other fetches its
// changes from the first.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var origin, reader, follower Listing
		apply := func(l *Listing, c *tarragonwell.ListChange) {
			if c == nil {
				return
			}
			if _, ok := l.Apply(start, start, c); !ok {
				t.Fatalf("change since %d rejected at revision %d", c.Since, l.Position().Revision)
			}
		}
		apply(&origin, fullList(1, target("t0", 1)))
		for revision := uint64(2); revision < 30; revision++ {
			id := fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "target"))
			c := &tarragonwell.ListChange{
				Since:    revision - 1,
				Revision: revision,
			}
			if rapid.Bool().Draw(t, "gone") {
				c.Removed = []tarragonwell.RemovedTarget{
					{
						ID:       id,
						Revision: revision,
					},
				}
			} else {
				c.Targets = []tarragonwell.ListedTarget{target(id, revision)}
			}
			apply(&origin, c)
			if rapid.IntRange(0, 3).Draw(t, "reader reads") == 0 {
				apply(&reader, origin.ChangesSince(start, reader.Position()))
			}
			if rapid.IntRange(0, 3).Draw(t, "follower fetches") == 0 {
				apply(&follower, reader.ChangesSince(start, follower.Position()))
			}
		}
		apply(&reader, origin.ChangesSince(start, reader.Position()))
		apply(&follower, reader.ChangesSince(start, follower.Position()))
		later := start.Add(time.Minute)
		for _, l := range []*Listing{&origin, &reader, &follower} {
			l.DropRemoved(later)
		}
		want := activeIDs(&origin)
		if got := activeIDs(&reader); !slices.Equal(got, want) {
			t.Fatalf("reader: got %v, want %v", got, want)
		}
		if got := activeIDs(&follower); !slices.Equal(got, want) {
			t.Fatalf("follower: got %v, want %v", got, want)
		}
	})
}

// TestWarmUpTimeRunsOn guards against a warm-up time that starts anew when a list is
// applied again or passed on, and against one without a bound.
func TestWarmUpTimeRunsOn(t *testing.T) {
	var l, follower Listing
	until := func(l *Listing, want time.Time) {
		t.Helper()
		if got := l.Targets()["s"][0].WarmUpUntil; !got.Equal(want) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	warming, later := target("a", 1), start.Add(2*time.Second)
	warming.WarmUpRemaining = 3 * time.Second
	apply(t, &l, start, fullList(5, warming))
	apply(t, &l, later, fullList(6, warming))
	until(&l, start.Add(3*time.Second))
	apply(t, &follower, later, l.ChangesSince(later, tarragonwell.ListPosition{}))
	until(&follower, start.Add(3*time.Second))
	warming.Revision, warming.WarmUpRemaining = 7, 1000*time.Hour
	apply(t, &l, later, fullList(7, warming))
	until(&l, later.Add(time.Hour))
}
