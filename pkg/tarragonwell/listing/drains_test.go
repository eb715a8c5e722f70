package listing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// drainHistory is a platform on which drains begin and end. The entry with index n was
// written at revision n+1.
type drainHistory []drainEvent

type drainEvent struct {
	name  string
	ended bool
}

// inForce returns the drains in force at a revision, ordered by data centre.
func (h drainHistory) inForce(revision uint64) []tarragonwell.DataCenterDrain {
	drains, _ := h.between(0, revision)
	return drains
}

// between returns the latest state of the entries that changed after since, up to a
// revision, as the platform's watch does.
func (h drainHistory) between(since, revision uint64) (drains, ended []tarragonwell.DataCenterDrain) {
	for _, name := range []string{"a", "b", "c"} {
		for n := revision; n > since; n-- {
			if h[n-1].name != name {
				continue
			}
			d := tarragonwell.DataCenterDrain{
				DataCenter: name,
				Revision:   n,
			}
			if h[n-1].ended {
				ended = append(ended, d)
			} else {
				drains = append(drains, d)
			}
			break
		}
	}
	return drains, ended
}

// read returns what the platform responds at a revision to a request for the changes since
// another; 0 for the full list.
func (h drainHistory) read(since, revision uint64) *tarragonwell.ListChange {
	c := &tarragonwell.ListChange{
		Since:    since,
		Revision: revision,
	}
	c.Drains, c.EndedDrains = h.between(since, revision)
	if since == 0 {
		c.EndedDrains = nil
	}
	return c
}

// TestDrainsFromAnySender guards against an instance whose list has a revision but not the
// drains of that revision, whichever mix of the platform and of peers, of full lists and of
// changes, early, late or repeated, it received.
func TestDrainsFromAnySender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h drainHistory
		lists := make([]Listing, 3)
		var sent []*tarragonwell.ListChange
		for range 60 {
			to := &lists[rapid.IntRange(0, len(lists)-1).Draw(t, "to")]
			var c *tarragonwell.ListChange
			switch rapid.SampledFrom([]string{"write", "read", "ask a peer", "repeat"}).Draw(t, "step") {
			case "write":
				h = append(h, drainEvent{
					name:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
					ended: rapid.Bool().Draw(t, "ended"),
				})
			case "read":
				c = h.read(to.Position().Revision, uint64(len(h)))
			case "ask a peer":
				c = lists[rapid.IntRange(0, len(lists)-1).Draw(t, "from")].ChangesSince(start, to.Position())
			case "repeat":
				if len(sent) > 0 {
					c = rapid.SampledFrom(sent).Draw(t, "change")
				}
			}
			if c == nil || c.Revision == 0 {
				continue
			}
			sent = append(sent, c)
			if rapid.Bool().Draw(t, "late") {
				continue
			}
			to.Apply(start, start, c)
			if got, want := to.Drains(), h.inForce(to.Position().Revision); !slices.Equal(got, want) {
				t.Fatalf("at revision %d: got %v in force, want %v", to.Position().Revision, got, want)
			}
		}
	})
}

// TestPeerFarBehindGetsAllDrains guards against a drain that a peer keeps because its end is
// no longer retained.
func TestPeerFarBehindGetsAllDrains(t *testing.T) {
	var l Listing
	apply(t, &l, start, fullList(1))
	for n := range uint64(1000) {
		apply(t, &l, start, &tarragonwell.ListChange{
			Since:    n + 1,
			Revision: n + 2,
			EndedDrains: []tarragonwell.DataCenterDrain{
				{
					DataCenter: fmt.Sprintf("dc-%d", n),
					Revision:   n + 2,
				},
			},
		})
	}
	since := tarragonwell.ListPosition{
		Revision: 2,
	}
	if got, want := l.ChangesSince(start, since).Since, uint64(0); got != want {
		t.Errorf("got the changes since %d, want the full list", got)
	}
}

// TestDrainedIsNotPassedOn guards against a drain that stays with an entry after its end,
// because a peer passed the mark on with the entry.
func TestDrainedIsNotPassedOn(t *testing.T) {
	var l Listing
	marked := target("a", 1)
	marked.Drained = true
	apply(t, &l, start, fullList(1, marked))
	if l.Targets()["s"][0].Drained || l.ChangesSince(start, tarragonwell.ListPosition{}).Targets[0].Drained {
		t.Error("the entry is marked as drained, want no mark")
	}
}
