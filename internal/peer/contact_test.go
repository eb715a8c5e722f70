package peer

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func position(list uint64) tarragonwell.PlatformPosition {
	return tarragonwell.PlatformPosition{
		List: list,
	}
}

// TestConfirmationCountsOnceProcessed holds that the word of an answer counts only
// once what it speaks of has been taken in.
func TestConfirmationCountsOnceProcessed(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var c contacts
	c.hear(position(5), word{
		at:       begin,
		position: position(7),
		relay:    true,
	})
	if !c.latest.at.IsZero() || c.due {
		t.Fatal("the word counts before its list has come")
	}
	c.settle(position(6))
	if !c.latest.at.IsZero() {
		t.Error("the word counts with a part of its list")
	}
	c.settle(position(7))
	if got, want := c.latest.at, begin; !got.Equal(want) {
		t.Errorf("got contact at %v, want %v", got, want)
	}
	if !c.due {
		t.Error("the word is not passed on")
	}
}

// TestRelayIsRateLimited holds that two readers do not double the
// messages.
func TestRelayIsRateLimited(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	var c contacts
	told := 0
	for n := range 100 {
		c.hear(position(1), word{
			at:    begin.Add(time.Duration(n) * 10 * time.Millisecond),
			relay: true,
		})
		if c.due {
			c.due = false
			c.told = c.latest
			told++
		}
	}
	if most := int(time.Second/relayGain) + 1; told > most {
		t.Errorf("passed on %d times in a second, want at most %d", told, most)
	}
}
