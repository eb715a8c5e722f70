package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestBoundHoldsInManyParts guards against more calls than the bound if a fleet restarts while
// it is in many parts.
func TestBoundHoldsInManyParts(t *testing.T) {
	s := &simulation{
		random: rand.New(rand.NewPCG(1, 1)),
		now:    startTime.Add(time.Second),
	}
	s.restart()
	s.run(parts(10), 15)
	for k, times := range s.arrivals {
		if got, limit := peak(times), testLimit.Bound(); float64(got) > limit {
			t.Errorf("target %d: got %d calls in a second, want at most %.1f", k, got, limit)
		}
	}
}

// TestBoundHoldsWithoutSeeds guards against several instances that know of no others, each of
// which sends at the full rate.
func TestBoundHoldsWithoutSeeds(t *testing.T) {
	var arrivals []time.Time
	var fleet [4]Limiter
	for i := range fleet {
		fleet[i].SetLimit(testLimit)
		fleet[i].SetFleet(startTime, tarragonwell.FleetView{
			Self: tarragonwell.Member{
				PeerAddress: fmt.Sprint(i),
				State:       tarragonwell.MemberServing,
			},
			Known:        1,
			SeedMajority: true,
		})
	}
	for now := startTime; now.Before(startTime.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for i := range fleet {
			if fleet[i].Available(now, "t", "") {
				fleet[i].Take(now, "t", "")
				arrivals = append(arrivals, now)
			}
		}
	}
	if got, limit := peak(arrivals), testLimit.Bound(); float64(got) > limit {
		t.Errorf("got %d calls in a second, want at most %.1f", got, limit)
	}
}

// TestPlannedStopIsRemembered guards against an instance that sends no calls to cold targets for
// good because a seed stopped as planned and its record has expired.
func TestPlannedStopIsRemembered(t *testing.T) {
	var r Roster
	seeds := []string{simulatedMembers[1].PeerAddress}
	gone := simulatedMembers[1]
	gone.State = tarragonwell.MemberGone
	r.View(startTime, simulatedMembers[0], []tarragonwell.Member{gone}, nil, seeds)
	v := r.View(startTime.Add(recordTimeout+time.Second), simulatedMembers[0], nil, nil, seeds)
	if got, want := v.Known, 1; got != want {
		t.Errorf("after the record has expired: got %d known instances, want %d", got, want)
	}
	v = r.View(startTime, simulatedMembers[0], simulatedMembers[1:2], simulatedMembers[1:2], seeds)
	if got, want := v.Known, 2; got != want {
		t.Errorf("after it has started again: got %d known instances, want %d", got, want)
	}
}

// TestPlaceIsRetained guards against a further sender directly after one that is not seen.
func TestPlaceIsRetained(t *testing.T) {
	var f fleet
	v := tarragonwell.FleetView{
		Self:  simulatedMembers[0],
		Alive: simulatedMembers[1:10],
		Known: 10,
	}
	f.set(startTime, v)
	before := f.rank("t", "0")
	v.Alive = simulatedMembers[5:10]
	for at := time.Second; at < 20*time.Second; at += time.Second {
		f.set(startTime.Add(at), v)
	}
	if got, want := f.rank("t", "0"), before; got != want {
		t.Errorf("got rank %d, want %d", got, want)
	}
}
