package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	simulatedInstances = 200
	simulatedTargets   = 20
	simulatedCenters   = 3
	callStep           = 20 * time.Millisecond
	// heartbeatTimeout and recordTimeout are those of package membership.
	heartbeatTimeout = 10 * time.Second
	recordTimeout    = 60 * time.Second
)

var (
	startTime = time.Unix(1_000_000, 0)
	testLimit = Limit{
		Rate:      5.8,
		Overshoot: 1.5,
		Slack:     8,
	}
)

// simulation is a fleet in which each instance sends a call to each of the targets, which
// are all warming up, whenever its limiter lets it.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	instances [simulatedInstances]*simulatedInstance
	// alter changes the views that the instances are given; nil for no change.
	alter func(i int, v *tarragonwell.FleetView)
	// arrivals holds the times at which calls reach each target.
	arrivals [simulatedTargets][]time.Time
}

type simulatedInstance struct {
	limiter Limiter
	roster  Roster
	// heard is when the latest heartbeat of each other instance was received, after start.
	heard     [simulatedInstances]time.Duration
	suspended bool
	// sendsTo holds the targets that the instance is a sender of.
	sendsTo []int
}

// link reports whether instance i receives heartbeats of instance j.
type link func(i, j int) bool

func all(int, int) bool  { return true }
func none(int, int) bool { return false }

// parts returns the links of a fleet in n parts of which one is larger than the others.
func parts(n int) link {
	return func(i, j int) bool { return max(0, i-10)%n == max(0, j-10)%n }
}

var simulatedMembers = func() (out [simulatedInstances]tarragonwell.Member) {
	for i := range out {
		out[i].PeerAddress = fmt.Sprintf("10.0.0.%d:1", i)
		out[i].DataCenter = fmt.Sprint(i % simulatedCenters)
		out[i].State = tarragonwell.MemberServing
	}
	return out
}()

// restart replaces the processes of all instances.
func (s *simulation) restart() {
	for i := range s.instances {
		s.instances[i] = &simulatedInstance{}
		s.instances[i].limiter.SetLimit(testLimit)
	}
}

// run advances the time by a number of seconds.
func (s *simulation) run(l link, seconds int) {
	for range seconds {
		for i, x := range s.instances {
			if !x.suspended {
				s.updateView(l, i, x)
			}
		}
		for end := s.now.Add(time.Second); s.now.Before(end); s.now = s.now.Add(callStep) {
			for _, x := range s.instances {
				if !x.suspended {
					s.sendCalls(x)
				}
			}
		}
	}
}

func (s *simulation) updateView(l link, i int, x *simulatedInstance) {
	// The simulation starts a second after startTime, so that 0 stands for never.
	uptime := s.now.Sub(startTime)
	var records, alive []tarragonwell.Member
	for j, other := range s.instances {
		if i != j && !other.suspended && l(i, j) {
			x.heard[j] = uptime
		}
		if at := x.heard[j]; at > 0 && uptime-at < recordTimeout {
			records = append(records, simulatedMembers[j])
			if uptime-at < heartbeatTimeout {
				alive = append(alive, simulatedMembers[j])
			}
		}
	}
	seeds := []string{simulatedMembers[0].PeerAddress, simulatedMembers[1].PeerAddress}
	v := x.roster.View(s.now, simulatedMembers[i], records, alive, seeds)
	if s.alter != nil {
		s.alter(i, &v)
	}
	x.limiter.SetFleet(s.now, v)
	x.sendsTo = nil
	for k := range simulatedTargets {
		if x.limiter.IsSender(s.now, fmt.Sprint(k), fmt.Sprint(k%simulatedCenters)) {
			x.sendsTo = append(x.sendsTo, k)
		}
	}
}

func (s *simulation) sendCalls(x *simulatedInstance) {
	for _, k := range x.sendsTo {
		id, dataCenter := fmt.Sprint(k), fmt.Sprint(k%simulatedCenters)
		if x.limiter.Available(s.now, id, dataCenter) {
			x.limiter.Take(s.now, id, dataCenter)
			delay := time.Duration(s.random.Float64() * float64(MaxSendDelay))
			s.arrivals[k] = append(s.arrivals[k], s.now.Add(delay))
		}
	}
}

// peak returns the highest number of the calls that arrive within a second.
func peak(times []time.Time) (highest int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for n, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, n-first+1)
	}
	return highest
}

// keepPart returns a change of views that keeps a share of the members, drawn by r.
func keepPart(r func(i int) *rand.Rand, share float64) func(int, *tarragonwell.FleetView) {
	return func(i int, v *tarragonwell.FleetView) {
		source := r(i)
		v.Alive = slices.DeleteFunc(v.Alive, func(tarragonwell.Member) bool { return source.Float64() >= share })
	}
}

// TestBoundHoldsInFleet guards against more calls to a target that is warming up than it
// sustains, whatever the instances know of each other, and against a limit that leaves such
// targets unused. Each scenario returns whether calls are expected at its end.
func TestBoundHoldsInFleet(t *testing.T) {
	for name, play := range map[string]func(s *simulation) bool{
		"no fault":             func(s *simulation) bool { s.run(all, 15); return true },
		"two parts":            func(s *simulation) bool { s.run(all, 5); s.run(parts(2), 75); s.run(all, 20); return true },
		"four, restarted":      func(s *simulation) bool { s.run(parts(4), 15); return true },
		"small parts":          func(s *simulation) bool { s.run(all, 5); s.run(parts(20), 75); return false },
		"single instances":     func(s *simulation) bool { s.run(all, 5); s.run(none, 75); s.restart(); s.run(none, 9); return false },
		"restart, slow gossip": func(s *simulation) bool { s.run(s.slow, 9); s.restart(); s.run(s.slow, 20); s.run(all, 9); return true },
		"own half each": func(s *simulation) bool {
			keep := keepPart(func(i int) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), 2)) }, 0.5)
			s.alter = func(i int, v *tarragonwell.FleetView) { keep(i, v); v.Known = len(v.Alive) + 1 }
			s.run(all, 15)
			return true
		},
		"twice the number": func(s *simulation) bool {
			s.alter = func(_ int, v *tarragonwell.FleetView) { v.Known *= 2 }
			s.run(all, 15)
			return false
		},
		"views differ anew": func(s *simulation) bool {
			s.alter = keepPart(func(int) *rand.Rand { return s.random }, 0.6)
			s.run(all, 20)
			return true
		},
		"most suspended in turn": func(s *simulation) bool {
			for turn := range 4 {
				for i, x := range s.instances {
					x.suspended = turn < 3 && i%3 != turn
				}
				s.run(all, 20)
			}
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &simulation{
				random: rand.New(rand.NewPCG(1, 1)),
				now:    startTime.Add(time.Second),
			}
			s.restart()
			wantCalls := play(s)
			for k, times := range s.arrivals {
				if got, limit := peak(times), testLimit.Bound(); float64(got) > limit {
					t.Errorf("target %d: got %d calls in a second, want at most %.1f", k, got, limit)
				}
				late := slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(s.now.Add(-5 * time.Second)) })
				if got := len(late) > 0; got != wantCalls {
					t.Errorf("target %d: got %d calls in the last 5 s, want some: %v", k, len(late), wantCalls)
				}
			}
		})
	}
}

// slow is the link of gossip that takes tens of seconds to spread.
func (s *simulation) slow(int, int) bool { return s.random.Float64() < 0.05 }
