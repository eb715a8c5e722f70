package listing

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// listedAt returns an entry of one start of a target.
func listedAt(id string, revision uint64, leaving bool) tarragonwell.ListedTarget {
	return tarragonwell.ListedTarget{
		ID:       id,
		Service:  "s",
		Address:  "10.0.0.1:80",
		Born:     7,
		Leaving:  leaving,
		Revision: revision,
	}
}

// drained returns the drain of a data centre.
func drained(name string, revision uint64) []tarragonwell.DataCenterDrain {
	return []tarragonwell.DataCenterDrain{
		{
			DataCenter: name,
			Revision:   revision,
		},
	}
}

// copied returns the full list of an era that begins with the entries "gone", "leaving" and others.
func copied(era, revision uint64, others ...tarragonwell.ListedTarget) *tarragonwell.ListChange {
	return &tarragonwell.ListChange{
		Era:      era,
		Revision: revision,
		Targets:  append([]tarragonwell.ListedTarget{listedAt("gone", 80, false), listedAt("leaving", 81, false)}, others...),
	}
}

// removed returns the removal of a target.
func removed(id string, revision uint64) []tarragonwell.RemovedTarget {
	return []tarragonwell.RemovedTarget{
		{
			ID:       id,
			Revision: revision,
		},
	}
}

// usable returns the IDs of the targets that receive calls.
func usable(l *Listing) []string {
	var out []string
	for _, t := range l.Targets()["s"] {
		if !t.Leaving && !t.Delisted {
			out = append(out, t.ID)
		}
	}
	return out
}

// TestEraBegins guards against a list that stays with the changes of an earlier era, or loses what
// the copy with which an era begins has forgotten: targets that live, drains in force, and that a
// target is leaving or gone.
func TestEraBegins(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var l Listing
	step := func(c *tarragonwell.ListChange) {
		t.Helper()
		if changed, ok := l.Apply(begin, begin, c); !changed || !ok {
			t.Fatalf("change %+v: got changed %t, ok %t, want both", c, changed, ok)
		}
	}
	stays := listedAt("stays", 82, false)
	step(copied(1, 100, stays))
	step(&tarragonwell.ListChange{
		Era:      1,
		Since:    100,
		Revision: 120,
		Targets:  []tarragonwell.ListedTarget{listedAt("new", 110, false), listedAt("leaving", 111, true)},
		Removed:  removed("gone", 112),
		Drains:   drained("north", 113),
	})
	// The copy is from revision 100.
	step(copied(2, 101, stays))
	if got, want := l.Position().Revision, uint64(101); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := usable(&l), []string{"new", "stays"}; !slices.Equal(got, want) {
		t.Errorf("at the start of the era: got targets %q, want %q", got, want)
	}
	if got, want := l.Survey(), (Survey{Listed: 2, Missing: 1, Departed: 1, MissingDrains: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := len(l.Drains()), 1; got != want {
		t.Errorf("got %d drains before they are written again, want %d", got, want)
	}
	// Another full read brings the same entries.
	step(copied(2, 102, stays))
	if got, want := usable(&l), []string{"new", "stays"}; !slices.Equal(got, want) {
		t.Errorf("after another full read: got targets %q, want %q", got, want)
	}
	for _, c := range []tarragonwell.ListChange{
		{
			Era:      1,
			Revision: 900,
		},
		{
			Era:      3,
			Since:    102,
			Revision: 103,
		},
	} {
		if changed, _ := l.Apply(begin, begin, &c); changed {
			t.Errorf("change of era %d since %d is applied to era 2", c.Era, c.Since)
		}
	}
	l.DropRemoved(begin.Add(massRemovalGrace - time.Millisecond))
	if got, want := usable(&l), []string{"new", "stays"}; !slices.Equal(got, want) {
		t.Errorf("before the missing target has to be back: got targets %q, want %q", got, want)
	}
	l.DropRemoved(begin.Add(massRemovalGrace))
	if got, want := usable(&l), []string{"stays"}; !slices.Equal(got, want) {
		t.Errorf("after the missing target had to be back: got targets %q, want %q", got, want)
	}
	// The operators end the drain, and the target that had gone writes its entry again.
	step(&tarragonwell.ListChange{
		Era:         2,
		Since:       102,
		Revision:    104,
		Targets:     []tarragonwell.ListedTarget{listedAt("gone", 103, false)},
		EndedDrains: drained("north", 104),
	})
	if got, want := usable(&l), []string{"gone", "stays"}; !slices.Equal(got, want) {
		t.Errorf("after the entry was written again: got targets %q, want %q", got, want)
	}
	if got, want := len(l.Drains()), 0; got != want {
		t.Errorf("got %d drains after their end, want %d", got, want)
	}
}

// TestMissingDrainEnds guards against a drain that stays in force for good although nobody writes
// it again, and against one that ends before it could be written again.
func TestMissingDrainEnds(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var l Listing
	l.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      1,
		Revision: 10,
		Drains:   drained("north", 9),
	})
	l.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      2,
		Revision: 5,
	})
	rewritten := l
	rewritten.earlier.drains = maps.Clone(l.earlier.drains)
	if l.DropRemoved(begin.Add(rewriteGrace-time.Millisecond)) || len(l.Drains()) != 1 {
		t.Error("the drain has ended too early")
	}
	if !l.DropRemoved(begin.Add(rewriteGrace)) || len(l.Drains()) != 0 {
		t.Error("the drain has not ended")
	}
	// It is written again and then removed, which a full list shows.
	rewritten.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      2,
		Since:    5,
		Revision: 6,
		Drains:   drained("north", 6),
	})
	rewritten.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      2,
		Revision: 8,
	})
	if got, want := len(rewritten.Drains()), 0; got != want {
		t.Errorf("got %d drains after their removal, want %d", got, want)
	}
}

// TestTwoErasInARow guards against a target or a drain that is dropped, or a target that left and
// is used again, because the platform comes back from a copy once more before it was written again.
func TestTwoErasInARow(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var l Listing
	l.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      1,
		Revision: 100,
		Targets:  []tarragonwell.ListedTarget{listedAt("gone", 80, false), listedAt("leaving", 81, true), listedAt("new", 99, false)},
		Drains:   drained("north", 100),
	})
	l.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      1,
		Since:    100,
		Revision: 101,
		Removed:  removed("gone", 101),
	})
	for era := range uint64(2) {
		at := begin.Add(time.Duration(era) * (massRemovalGrace - time.Second))
		l.Apply(at, at, copied(era+2, 90))
	}
	l.DropRemoved(begin.Add(massRemovalGrace))
	if got, want := usable(&l), []string{"new"}; !slices.Equal(got, want) {
		t.Errorf("got targets %q, want %q", got, want)
	}
	l.DropRemoved(begin.Add(rewriteGrace))
	if got, want := len(l.Drains()), 1; got != want {
		t.Errorf("got %d drains, want %d", got, want)
	}
}

// TestChangesSinceEarlierEra guards against a peer that gets the changes after a revision of
// another era in place of the full list.
func TestChangesSinceEarlierEra(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var l Listing
	l.Apply(begin, begin, &tarragonwell.ListChange{
		Era:      2,
		Revision: 100,
		Targets:  []tarragonwell.ListedTarget{listedAt("a", 90, false)},
	})
	for _, era := range []uint64{0, 1, 2, 3} {
		c := l.ChangesSince(begin, tarragonwell.ListPosition{
			Era:      era,
			Revision: 100,
		})
		if got, want := c.Since == 0, era != 2; got != want {
			t.Errorf("changes since era %d: got the full list %t, want %t", era, got, want)
		}
	}
}
