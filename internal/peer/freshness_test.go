package peer

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func listPosition(list uint64) tarragonwell.PlatformPosition {
	return tarragonwell.PlatformPosition{
		List: list,
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
