package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// treeFanOut is the number of peers that an instance passes urgent news on to.
const treeFanOut = 3

// Children lists the peers of the own data center to which the instance passes
// on news that root spreads there. All instances with the same view agree on
// the tree; it is another one for each root.
func (v *View) Children(now time.Time, root string) []tarragonwell.Member {
	members := append(v.near(now), v.Self)
	slices.SortFunc(members, func(a, b tarragonwell.Member) int {
		return strings.Compare(a.PeerAddress, b.PeerAddress)
	})
	indexOf := func(address string) int {
		return slices.IndexFunc(members, func(m tarragonwell.Member) bool { return m.PeerAddress == address })
	}
	first := indexOf(root)
	if first < 0 {
		return nil
	}
	own := (indexOf(v.Self.PeerAddress) - first + len(members)) % len(members)
	var out []tarragonwell.Member
	for n := treeFanOut*own + 1; n <= treeFanOut*(own+1) && n < len(members); n++ {
		out = append(out, members[(first+n)%len(members)])
	}
	return out
}

// maxDelegates is how many peers of a data center are tried until one answers.
const maxDelegates = 2

// RelayCandidates draws a few peers of each other data center, of which one is to be
// told.
func (v *View) RelayCandidates(now time.Time, r *rand.Rand) map[string][]tarragonwell.Member {
	alive := v.Alive(now)
	r.Shuffle(len(alive), func(i, j int) {
		alive[i], alive[j] = alive[j], alive[i]
	})
	out := map[string][]tarragonwell.Member{}
	for _, m := range alive {
		if m.DataCenter != v.Self.DataCenter && len(out[m.DataCenter]) < maxDelegates {
			out[m.DataCenter] = append(out[m.DataCenter], m)
		}
	}
	return out
}

// near lists the peers of the own data center.
func (v *View) near(now time.Time) []tarragonwell.Member {
	return slices.DeleteFunc(v.Alive(now), func(m tarragonwell.Member) bool {
		return m.DataCenter != v.Self.DataCenter
	})
}
