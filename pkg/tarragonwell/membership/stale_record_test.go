package membership

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestRecordOlderThanRetentionIsNotAlive guards against a lost peer that counts as alive again
// after its tombstone has expired, because another view still passes on its record.
func TestRecordOlderThanRetentionIsNotAlive(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var v View
	v.Merge(now, tarragonwell.Member{
		PeerAddress: "10.0.0.1:1",
		Incarnation: tarragonwell.Incarnation{1},
		State:       tarragonwell.MemberServing,
		Age:         recordRetention + time.Second,
	})
	v.lastContact = now
	if got, want := len(v.Alive(now)), 0; got != want {
		t.Errorf("got %d live peers, want %d", got, want)
	}
}
