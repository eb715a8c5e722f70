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

// Sample draws up to n member records for a gossip message, the instance's own always
// included. The bound keeps the size of messages independent of the size of the
// fleet.
func (v *View) Sample(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	recent := v.list(func(x *peerEntry) bool { return now.Sub(x.updated) < livenessTimeout })
	r.Shuffle(len(recent), func(i, j int) {
		recent[i], recent[j] = recent[j], recent[i]
	})
	out := []tarragonwell.Member{v.Self}
	return append(out, recent[:min(len(recent), max(0, n-1))]...)
}

// SelectPeers draws up to n of the instance's gossip peers for a gossip round. It
// adds one lost or stopped peer and one bootstrap address without a member record, if
// there are any, because they may be reachable again. The latter have only a peer
// address.
func (v *View) SelectPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.drawGossipPeers(now, n, r)
	inactive := v.list(func(x *peerEntry) bool { return now.Sub(x.updated) >= livenessTimeout })
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

// drawGossipPeers draws up to n gossip peers, most of them in the local data centre,
// because traffic between data centres is expensive.
func (v *View) drawGossipPeers(now time.Time, n int, r *rand.Rand) []tarragonwell.Member {
	peers := v.gossipPeers(now)
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

// gossipPeers returns the gossip peers of the current epoch, in pseudo-random order. If
// no peer is alive, they are drawn from all retained ones. Their fixed number keeps the
// connections of an instance independent of the size of the fleet. The selection changes
// with each epoch and differs between instances, so that updates reach the whole fleet
// in few hops.
func (v *View) gossipPeers(now time.Time) []tarragonwell.Member {
	peers := v.Alive(now)
	if len(peers) == 0 {
		peers = v.All()
	}
	epoch := byte(now.Unix() / int64(gossipPeerEpoch/time.Second))
	weight := func(m tarragonwell.Member) uint64 {
		key := append(v.Self.Incarnation[:], m.Incarnation[:]...)
		return xxhash.Sum64(append(key, epoch))
	}
	slices.SortFunc(peers, func(a, b tarragonwell.Member) int {
		return cmp.Compare(weight(a), weight(b))
	})
	return peers[:min(len(peers), gossipPeerCount)]
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
