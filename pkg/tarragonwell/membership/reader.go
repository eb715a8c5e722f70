package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// isolationTimeout is how long a new instance with bootstrap addresses but no live peers
// assumes that it is one of many. After that it counts itself as the only one.
const isolationTimeout = 3 * time.Second

// IsReader reports whether the instance is one of the n readers, which watch the
// platform on behalf of the fleet. It is one if fewer than n live peers in state
// starting or serving have a lower hash of their incarnation. There may be more than n
// readers where views differ. Starting peers count, since otherwise all instances would
// be readers while a fleet starts.
func (v *View) IsReader(now time.Time, n int) bool {
	alive := v.Alive(now)
	if len(alive) == 0 && len(v.unseenAddresses()) > 0 && now.Sub(v.SearchStarted) < isolationTimeout {
		return false
	}
	rank := 0
	own := xxhash.Sum64(v.Self.Incarnation[:])
	for _, m := range alive {
		if m.State <= tarragonwell.MemberServing && xxhash.Sum64(m.Incarnation[:]) < own {
			rank++
		}
	}
	return rank < n
}
