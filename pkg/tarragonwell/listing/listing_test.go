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

func whole(revision uint64, targets ...tarragonwell.ListedTarget) *tarragonwell.ListChange {
	return &tarragonwell.ListChange{
		Revision: revision,
		Targets:  targets,
	}
}

func apply(t *testing.T, l *Listing, now time.Time, c *tarragonwell.ListChange) {
	t.Helper()
	if _, ok := l.Apply(now, now, c); !ok {
		t.Fatalf("change since %d refused at %d", c.Since, l.Revision())
	}
}

// ids lists the targets that are neither lapsed nor gone.
func ids(l *Listing) []string {
	var out []string
	for _, t := range l.Targets()["s"] {
		if !t.Expired {
			out = append(out, t.ID)
		}
	}
	return out
}

// TestOneRemovalIsBelieved holds that a removed target is a last resort only,
// and gone soon.
func TestOneRemovalIsBelieved(t *testing.T) {
	var l Listing
	apply(t, &l, start, whole(5, target("a", 1), target("b", 2), target("c", 3), target("d", 4)))
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
	if got, want := ids(&l), []string{"b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("after the removal: got %v, want %v", got, want)
	}
	if got, want := len(l.Targets()["s"]), 4; got != want {
		t.Errorf("kept as a last resort: got %d targets, want %d", got, want)
	}
	l.Expire(start.Add(lapseLife))
	if got, want := len(l.Targets()["s"]), 3; got != want {
		t.Errorf("after the lapse: got %d targets, want %d", got, want)
	}
}

// TestEntriesThatLapseTogetherAreBridged holds against a platform that loses
// the entries of living targets and shows them again two seconds later.
func TestEntriesThatLapseTogetherAreBridged(t *testing.T) {
	var l Listing
	apply(t, &l, start, whole(5, target("a", 1), target("b", 2), target("c", 3)))
	if _, ok := l.Apply(start, start.Add(-5*time.Second), whole(9)); !ok {
		t.Fatal("the list after the outage was refused")
	}
	l.Expire(start.Add(2 * time.Second))
	if got, want := ids(&l), []string{"a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("while they may come back: got %v, want %v", got, want)
	}
	apply(t, &l, start.Add(2*time.Second), &tarragonwell.ListChange{
		Since:    9,
		Revision: 11,
		Targets:  []tarragonwell.ListedTarget{target("a", 10), target("b", 11)},
	})
	l.Expire(start.Add(massLapseLife))
	if got, want := ids(&l), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("one is still missing: got %v, want %v", got, want)
	}
}

// TestManyRemovalsAreBelievedWhileThePlatformIsThere holds against a service
// whose targets are replaced together: none is used two seconds after its entry
// went, however late that was learnt.
func TestManyRemovalsAreBelievedWhileThePlatformIsThere(t *testing.T) {
	var l Listing
	apply(t, &l, start, whole(5, target("a", 1), target("b", 2), target("c", 3)))
	learnt := start.Add(1200 * time.Millisecond)
	if _, ok := l.Apply(learnt, start, whole(9, target("c", 3))); !ok {
		t.Fatal("the list was refused")
	}
	if got, want := ids(&l), []string{"c"}; !slices.Equal(got, want) {
		t.Errorf("after the removals: got %v, want %v", got, want)
	}
	l.Expire(start.Add(1700 * time.Millisecond))
	if got, want := len(l.Targets()["s"]), 1; got != want {
		t.Errorf("1.7 s after they were last known to be there: got %d targets, want %d", got, want)
	}
}

// TestChangesThatDoNotFollowAreRefused holds that a gap is never skipped.
func TestChangesThatDoNotFollowAreRefused(t *testing.T) {
	var l Listing
	apply(t, &l, start, whole(5, target("a", 1)))
	_, ok := l.Apply(start, start, &tarragonwell.ListChange{
		Since:    7,
		Revision: 8,
	})
	if ok {
		t.Error("a change with a gap: got ok, want a refusal")
	}
	changed, ok := l.Apply(start, start, whole(4, target("z", 1)))
	if changed || !ok {
		t.Errorf("an older list: got changed %v, ok %v, want false, true", changed, ok)
	}
}

// TestListsAgreeHoweverTheyTravel lets two instances read different parts of a
// history of changes, and fetch from each other what they lack.
func TestListsAgreeHoweverTheyTravel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var origin, one, other Listing
		apply := func(l *Listing, c *tarragonwell.ListChange) {
			if c == nil {
				return
			}
			if _, ok := l.Apply(start, start, c); !ok {
				t.Fatalf("change since %d refused at %d", c.Since, l.Revision())
			}
		}
		apply(&origin, whole(1, target("t0", 1)))
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
			if rapid.IntRange(0, 3).Draw(t, "one reads") == 0 {
				apply(&one, origin.ChangesSince(one.Revision()))
			}
			if rapid.IntRange(0, 3).Draw(t, "other fetches") == 0 {
				apply(&other, one.ChangesSince(other.Revision()))
			}
		}
		apply(&one, origin.ChangesSince(one.Revision()))
		apply(&other, one.ChangesSince(other.Revision()))
		later := start.Add(time.Minute)
		for _, l := range []*Listing{&origin, &one, &other} {
			l.Expire(later)
		}
		want := ids(&origin)
		if got := ids(&one); !slices.Equal(got, want) {
			t.Fatalf("the one that reads: got %v, want %v", got, want)
		}
		if got := ids(&other); !slices.Equal(got, want) {
			t.Fatalf("the one that fetches: got %v, want %v", got, want)
		}
	})
}
