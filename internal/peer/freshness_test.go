package peer

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func listPosition(list uint64) tarragonwell.PlatformPosition {
	return tarragonwell.PlatformPosition{
		List: tarragonwell.ListPosition{
			Revision: list,
		},
	}
}

// TestConfirmationCountsOnceProcessed checks that an instance does not count as
// current just because a peer is: a confirmation counts only once the instance has
// processed the list that it covers.
func TestConfirmationCountsOnceProcessed(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var f freshness
	f.record(listPosition(5), confirmation{
		at:       start,
		position: listPosition(7),
		relay:    true,
	})
	if !f.latest.at.IsZero() || f.relayDue {
		t.Fatal("confirmation counts before its list was received")
	}
	f.applyPending(listPosition(6))
	if !f.latest.at.IsZero() {
		t.Error("confirmation counts after a part of its list was processed")
	}
	f.applyPending(listPosition(7))
	if got, want := f.latest.at, start; !got.Equal(want) {
		t.Errorf("got last confirmation at %v, want %v", got, want)
	}
	if !f.relayDue {
		t.Error("confirmation is not relayed")
	}
}

// TestConfirmationOfEarlierEra guards against an instance that counts as current because a peer
// passes on a confirmation from before the platform came back from a copy of its data.
func TestConfirmationOfEarlierEra(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	in := func(era, list uint64) tarragonwell.PlatformPosition {
		return tarragonwell.PlatformPosition{
			List: tarragonwell.ListPosition{
				Era:      era,
				Revision: list,
			},
		}
	}
	var f freshness
	f.record(in(2, 40), confirmation{
		at:       start,
		position: in(1, 30),
	})
	if !f.latest.at.IsZero() {
		t.Error("a confirmation of an earlier era counts")
	}
	f.record(in(1, 90), confirmation{
		at:       start,
		position: in(2, 40),
	})
	if !f.latest.at.IsZero() {
		t.Error("a confirmation of a later era counts before its list was processed")
	}
	f.applyPending(in(2, 41))
	if f.latest.at.IsZero() {
		t.Error("a confirmation does not count after its list was processed")
	}
}

// TestRelayIsRateLimited checks that confirmations from several readers are
// not all relayed: two readers must not double the number of messages.
func TestRelayIsRateLimited(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var f freshness
	got := 0
	for n := range 100 {
		f.record(listPosition(1), confirmation{
			at:    start.Add(time.Duration(n) * 10 * time.Millisecond),
			relay: true,
		})
		if f.relayDue {
			f.relayDue = false
			f.relayed = f.latest
			got++
		}
	}
	if want := int(time.Second/minRelayGap) + 1; got > want {
		t.Errorf("got %d relayed confirmations in a second, want at most %d", got, want)
	}
}
