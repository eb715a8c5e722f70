package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// fleetOf returns the views of instances that know each other, some in each
// data center.
func fleetOf(now time.Time, centers, perCenter int) []*View {
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

// TestNewsReachesEachInstanceOnce follows one word through the trees.
func TestNewsReachesEachInstanceOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for _, perCenter := range []int{1, 2, 5, 40} {
		views := fleetOf(now, 3, perCenter)
		byAddress := map[string]*View{}
		for _, v := range views {
			byAddress[v.Self.PeerAddress] = v
		}
		heard := map[string]int{}
		var spread func(v *View, root string)
		spread = func(v *View, root string) {
			heard[v.Self.PeerAddress]++
			for _, m := range v.Children(now, root) {
				spread(byAddress[m.PeerAddress], root)
			}
		}
		reader := views[perCenter/2]
		spread(reader, reader.Self.PeerAddress)
		for _, candidates := range reader.RelayCandidates(now, random) {
			m := candidates[0]
			spread(byAddress[m.PeerAddress], m.PeerAddress)
		}
		for _, v := range views {
			if got, want := heard[v.Self.PeerAddress], 1; got != want {
				t.Errorf("%d a data center: %s heard it %d times, want %d", perCenter, v.Self.PeerAddress, got, want)
			}
		}
	}
}
