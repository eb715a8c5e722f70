package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// newFleet returns the views of a fleet with perCenter instances in each of centers
// data centres. Every view holds every member.
func newFleet(now time.Time, centers, perCenter int) []*View {
	var members []tarragonwell.Member
	for c := range centers {
		for n := range perCenter {
			members = append(members, tarragonwell.Member{
				PeerAddress: fmt.Sprintf("10.%d.0.%d:1", c, n),
				DataCenter:  fmt.Sprintf("dc-%d", c),
				Heartbeat:   1,
			})
		}
	}
	var views []*View
	for _, self := range members {
		v := &View{
			Self: self,
		}
		for _, m := range members {
			v.Merge(now, m)
		}
		views = append(views, v)
	}
	return views
}

// TestUpdateReachesEachInstanceOnce relays one update through the trees of all data
// centres and counts the deliveries.
func TestUpdateReachesEachInstanceOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for _, perCenter := range []int{1, 2, 5, 40} {
		views := newFleet(now, 3, perCenter)
		byAddress := map[string]*View{}
		for _, v := range views {
			byAddress[v.Self.PeerAddress] = v
		}
		deliveries := map[string]int{}
		var relay func(v *View, root string)
		relay = func(v *View, root string) {
			deliveries[v.Self.PeerAddress]++
			for _, m := range v.Children(now, root) {
				relay(byAddress[m.PeerAddress], root)
			}
		}
		reader := views[perCenter/2]
		relay(reader, reader.Self.PeerAddress)
		for _, candidates := range reader.RelayCandidates(now, random) {
			m := candidates[0]
			relay(byAddress[m.PeerAddress], m.PeerAddress)
		}
		for _, v := range views {
			if got, want := deliveries[v.Self.PeerAddress], 1; got != want {
				t.Errorf("%d instances per data centre: %s: got %d deliveries, want %d", perCenter, v.Self.PeerAddress, got, want)
			}
		}
	}
}
