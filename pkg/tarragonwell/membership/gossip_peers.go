package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// gossipPeerCount is the number of peers that an instance gossips with during one
	// epoch.
	gossipPeerCount = 6
	// gossipPeerEpoch is how long an instance keeps the same gossip peers.
	gossipPeerEpoch = 30 * time.Second
)

// SelectPeers draws up to n peers for a gossip round. The first is the peer that the
// instance probes in this round, the others, at least one, are gossip peers. It adds one
// lost or stopped peer and one bootstrap address without a member record, if there are any,
// because they may be reachable again. The latter have only a peer address.
func (v *View) SelectPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	var peers []tarragonwell.Member
	if m, ok := v.probeTarget(now); ok {
		peers = append(peers, m)
	}
	peers = append(peers, v.drawGossipPeers(now, max(1, n-len(peers)), peers, r)...)
	inactive := v.list(func(e *peerEntry) bool { return !v.isAlive(now, e) })
	if len(inactive) > 0 {
		peers = append(peers, inactive[r.IntN(len(inactive))])
	}
	if unseen := v.unseenAddresses(); len(unseen) > 0 {
		peers = append(peers, tarragonwell.Member{
			PeerAddress: unseen[r.IntN(len(unseen))],
		})
	}
	return peers
}

// remoteDrawInterval sets the share of remote gossip peers: on average, one in
// remoteDrawInterval draws ignores data centres. The others include remote gossip peers
// only if there are too few local ones.
const remoteDrawInterval = 4

// drawGossipPeers draws up to n gossip peers other than the excluded ones, most of them in
// the local data centre, because traffic between data centres is expensive.
func (v *View) drawGossipPeers(now time.Time, n int, exclude []tarragonwell.Member, r *rand.Rand) []tarragonwell.Member {
	peers := slices.DeleteFunc(v.gossipPeers(now), func(m tarragonwell.Member) bool {
		return slices.Contains(exclude, m)
	})
	r.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	distance := func(m tarragonwell.Member) int {
		if m.DataCenter == v.Self.DataCenter {
			return 0
		}
		return 1
	}
	if r.IntN(remoteDrawInterval) > 0 {
		slices.SortStableFunc(peers, func(a, b tarragonwell.Member) int {
			return cmp.Compare(distance(a), distance(b))
		})
	}
	return peers[:min(len(peers), n)]
}

// gossipPeers returns the gossip peers of the current epoch, in pseudo-random order. They are
// drawn from the peers that are alive and not suspected or, if there are none, from all
// retained ones. Their fixed number keeps the connections of an instance independent of the
// size of the fleet. The selection changes with each epoch and differs between instances, so
// that updates reach the whole fleet in few hops.
func (v *View) gossipPeers(now time.Time) []tarragonwell.Member {
	peers := v.entries(func(e *peerEntry) bool { return v.isTrusted(now, e) })
	if len(peers) == 0 {
		peers = v.ordered
	}
	const size = len(tarragonwell.Incarnation{})
	var key [2*size + 1]byte
	copy(key[:], v.Self.Incarnation[:])
	key[2*size] = byte(now.Unix() / int64(gossipPeerEpoch/time.Second))
	return members(smallest(peers, gossipPeerCount, func(e *peerEntry) uint64 {
		copy(key[size:], e.member.Incarnation[:])
		return xxhash.Sum64(key[:])
	}))
}

// unseenAddresses lists the bootstrap addresses without a member record, except the
// instance's own.
func (v *View) unseenAddresses() []string {
	var out []string
	for _, a := range v.BootstrapAddresses {
		if a != v.Self.PeerAddress && v.records[a] == nil {
			out = append(out, a)
		}
	}
	return out
}
