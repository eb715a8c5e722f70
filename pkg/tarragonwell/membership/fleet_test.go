package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// simulatedFanOut and simulatedSample are the defaults of the settings file.
	simulatedFanOut = 2
	simulatedSample = 8
	// simulatedTime is how long the simulated fleet gossips, in rounds of a second.
	simulatedTime = 20 * time.Second
)

// newSimulatedFleet returns the views of n instances in five data centres, each of which knows all
// others.
func newSimulatedFleet(now time.Time, n int) []*View {
	var views []*View
	for k := range n {
		v := &View{
			Self: tarragonwell.Member{
				PeerAddress: fmt.Sprintf("10.0.0.%d:1", k),
				DataCenter:  fmt.Sprintf("dc-%d", k%5),
				Incarnation: tarragonwell.Incarnation{byte(k), byte(k >> 8)},
				Started:     now,
				State:       tarragonwell.MemberServing,
			},
		}
		views = append(views, v)
	}
	for _, v := range views {
		for _, w := range views {
			v.Merge(now, w.Self)
		}
	}
	return views
}

// exchange merges samples of both views into each other.
func exchange(now time.Time, a, b *View, r *rand.Rand) {
	fromA, fromB := a.Sample(now, simulatedSample, r), b.Sample(now, simulatedSample, r)
	for _, m := range fromA {
		b.Merge(now, m)
	}
	for _, m := range fromB {
		a.Merge(now, m)
	}
}

// TestLiveFleetCountsAsAlive checks, for fleets of a few and of hundreds of instances of
// which none fails, that no instance counts as lost in the view of another.
func TestLiveFleetCountsAsAlive(t *testing.T) {
	for _, n := range []int{15, 30, 110, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			start := time.Unix(1_000_000, 0)
			views := newSimulatedFleet(start, n)
			byAddress := map[string]*View{}
			for _, v := range views {
				byAddress[v.Self.PeerAddress] = v
			}
			lost := 0
			for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(time.Second) {
				for _, v := range views {
					v.Self.Heartbeat++
					lost += len(v.DetectLost(now))
					for _, m := range v.SelectPeers(now, simulatedFanOut, r) {
						exchange(now, v, byAddress[m.PeerAddress], r)
					}
				}
			}
			if got, want := lost, 0; got != want {
				t.Errorf("got %d times that a live instance counted as lost in %v, want %d", got, simulatedTime, want)
			}
		})
	}
}
