package membership

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestMergeLeaving checks which announcements of leaving targets are new, and what is
// kept of those that are not.
func TestMergeLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	var v View
	announce := func(born uint64, ttl time.Duration, observed bool) bool {
		return v.MergeLeaving(now, tarragonwell.LeavingTarget{
			Service:   "s",
			ID:        "i-1",
			Born:      born,
			ExpiresAt: now.Add(ttl),
			Observed:  observed,
		})
	}
	for _, tt := range []struct {
		name     string
		born     uint64
		ttl      time.Duration
		observed bool
		want     bool
		// advances is set if the services have to be told.
		advances bool
	}{
		{
			name:     "first",
			born:     1,
			ttl:      time.Minute,
			want:     true,
			advances: true,
		},
		{
			name: "repeated",
			born: 1,
			ttl:  2 * time.Minute,
		},
		{
			name:     "observed by the instance itself",
			born:     1,
			ttl:      time.Second,
			observed: true,
			advances: true,
		},
		{
			name:     "next start of the target",
			born:     2,
			ttl:      time.Minute,
			want:     true,
			advances: true,
		},
		{
			name: "expired",
			born: 3,
			ttl:  -time.Second,
		},
	} {
		version := v.LeavingVersion()
		if got := announce(tt.born, tt.ttl, tt.observed); got != tt.want {
			t.Errorf("%s: got new %v, want %v", tt.name, got, tt.want)
		}
		if got := v.LeavingVersion() != version; got != tt.advances {
			t.Errorf("%s: got a new version %v, want %v", tt.name, got, tt.advances)
		}
	}
	got := v.Leaving()[0]
	want := tarragonwell.LeavingTarget{
		Service:   "s",
		ID:        "i-1",
		Born:      1,
		ExpiresAt: now.Add(2 * time.Minute),
		Observed:  true,
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	v.Expire(now.Add(time.Hour))
	if got, want := len(v.Leaving()), 0; got != want {
		t.Errorf("after an hour: got %d announcements, want %d", got, want)
	}
}
