package drains

import (
	"fmt"
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

// TestEndedDrainsAreBounded guards against ended drains that grow without bound, and
// against peers that miss the end of a drain which is no longer retained.
func TestEndedDrainsAreBounded(t *testing.T) {
	var s Set
	for n := range uint64(maxEnded + 10) {
		s.Merge(nil, []tarragonwell.DataCenterDrain{drain(fmt.Sprintf("dc-%d", n), n+1)})
	}
	if got, want := len(s.Ended(0)), maxEnded; got != want {
		t.Errorf("got %d ended drains, want %d", got, want)
	}
	if got, want := s.EndedSince(), uint64(10); got != want {
		t.Errorf("complete after revision %d, want %d", got, want)
	}
}

// TestCombineSources guards against a data centre that returns while one of two sources
// still drains it.
func TestCombineSources(t *testing.T) {
	line := tarragonwell.RuleLine{
		Number: 4,
	}
	rules := map[string]*tarragonwell.DataCenter{
		"a": {
			Name:  "a",
			Drain: true,
			Line:  line,
		},
		"b": {
			Name: "b",
		},
	}
	var got []string
	for _, d := range Combine([]tarragonwell.DataCenterDrain{drain("a", 7), drain("c", 8)}, rules) {
		got = append(got, d.DataCenter+": "+Source(d))
	}
	want := []string{"a: platform revision 7 and line 4 of the rules", "c: platform revision 8"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestReturnDelaysAreSpread guards against a fleet that connects to the targets of a
// returning data centre all at once.
func TestReturnDelaysAreSpread(t *testing.T) {
	const parts, instances, targets = 4, 10, 20
	count := make([]int, parts)
	for i := range instances {
		for n := range targets {
			d := ReturnDelay(fmt.Sprintf("lb-%d", i), fmt.Sprintf("t%d", n))
			if d < 0 || d >= ReturnSpread {
				t.Fatalf("got a delay of %v, want one below %v", d, ReturnSpread)
			}
			count[d*parts/ReturnSpread]++
		}
	}
	for n, got := range count {
		if want := instances * targets / parts / 2; got < want {
			t.Errorf("part %d of the time: got %d returns, want at least %d", n, got, want)
		}
	}
}
