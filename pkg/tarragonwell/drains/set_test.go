package drains

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func drain(name string, revision uint64) tarragonwell.DataCenterDrain {
	return tarragonwell.DataCenterDrain{
		DataCenter: name,
		Revision:   revision,
	}
}

// event is one change of a data centre's entry.
type event struct {
	drain tarragonwell.DataCenterDrain
	ended bool
}

func merge(s *Set, e event) {
	if e.ended {
		s.Merge(nil, []tarragonwell.DataCenterDrain{e.drain})
	} else {
		s.Merge([]tarragonwell.DataCenterDrain{e.drain}, nil)
	}
}

// TestMergeInAnyOrder guards against a drain that is lost, or kept after its end, because
// changes arrive late, repeatedly or in another order.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []event
		latest := map[string]event{}
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			e := event{
				drain: drain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), uint64(n+1)),
				ended: rapid.Bool().Draw(t, "ended"),
			}
			events = append(events, e)
			latest[e.drain.DataCenter] = e
		}
		var s Set
		for _, e := range rapid.Permutation(append(slices.Clone(events), events...)).Draw(t, "order") {
			merge(&s, e)
		}
		var want []tarragonwell.DataCenterDrain
		for _, name := range []string{"a", "b", "c"} {
			if e, found := latest[name]; found && !e.ended {
				want = append(want, e.drain)
			}
		}
		if got := s.InForce(0); !slices.Equal(got, want) {
			t.Errorf("got %v in force, want %v", got, want)
		}
	})
}

// TestReplaceKeepsLaterDrains guards against a complete list that ends a drain which was
// written after the list, and against one that keeps a drain which it does not contain.
func TestReplaceKeepsLaterDrains(t *testing.T) {
	var s Set
	s.Merge([]tarragonwell.DataCenterDrain{drain("a", 3), drain("b", 9)}, nil)
	s.Replace(7, []tarragonwell.DataCenterDrain{drain("c", 5)})
	if got, want := s.InForce(0), []tarragonwell.DataCenterDrain{drain("b", 9), drain("c", 5)}; !slices.Equal(got, want) {
		t.Errorf("got %v in force, want %v", got, want)
	}
}
