package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// treeFanOut is the number of peers to which an instance relays an update, such as a
// confirmation by the platform, that does not wait for the next gossip round.
const treeFanOut = 3

// Children lists the peers of the local data centre to which the instance relays an
// update that starts there at root. root is the peer address of an instance in the
// local data centre: the instance itself, the reader (see IsReader) that received the
// update from the platform, or the relay candidate that received it from another data
// centre. All instances with the same view derive the same tree, and each root has a
// tree of its own. Children returns nil if root is not a live peer of the local data
// centre.
func (v *View) Children(now time.Time, root string) []tarragonwell.Member {
	members := append(v.localMembers(now), v.Self)
	slices.SortFunc(members, func(a, b tarragonwell.Member) int {
		return strings.Compare(a.PeerAddress, b.PeerAddress)
	})
	indexOf := func(address string) int {
		return slices.IndexFunc(members, func(m tarragonwell.Member) bool { return m.PeerAddress == address })
	}
	rootIndex := indexOf(root)
	if rootIndex < 0 {
		return nil
	}
	own := (indexOf(v.Self.PeerAddress) - rootIndex + len(members)) % len(members)
	var out []tarragonwell.Member
	for n := treeFanOut*own + 1; n <= treeFanOut*(own+1) && n < len(members); n++ {
		out = append(out, members[(rootIndex+n)%len(members)])
	}
	return out
}

// maxRelayCandidates is the number of peers of a remote data centre that are tried
// until one responds.
const maxRelayCandidates = 2

// RelayCandidates draws up to maxRelayCandidates peers of each remote data centre,
// by data centre. The first that responds relays the update there.
func (v *View) RelayCandidates(now time.Time, r *rand.Rand) map[string][]tarragonwell.Member {
	alive := v.Alive(now)
	r.Shuffle(len(alive), func(i, j int) {
		alive[i], alive[j] = alive[j], alive[i]
	})
	out := map[string][]tarragonwell.Member{}
	for _, m := range alive {
		if m.DataCenter != v.Self.DataCenter && len(out[m.DataCenter]) < maxRelayCandidates {
			out[m.DataCenter] = append(out[m.DataCenter], m)
		}
	}
	return out
}

// localMembers lists the live peers of the local data centre.
func (v *View) localMembers(now time.Time) []tarragonwell.Member {
	return slices.DeleteFunc(v.Alive(now), func(m tarragonwell.Member) bool {
		return m.DataCenter != v.Self.DataCenter
	})
}
