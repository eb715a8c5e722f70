package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var (
	startTime = time.Unix(1_000_000, 0)
	// testLimit is the limit of the prepared platform: 16.7 calls in any second.
	testLimit = Limit{
		Rate:      5.8,
		Overshoot: 1.5,
		Slack:     8,
	}
)

const (
	simulatedDataCenters = 3
	simulatedTargets     = 20
	// heartbeatTimeout and recordTimeout are those of package membership.
	heartbeatTimeout = 10 * time.Second
	recordTimeout    = 60 * time.Second
	viewStep         = time.Second
	callStep         = 20 * time.Millisecond
)

// simulation is a fleet under more calls than its targets, all of which are warming up, may
// receive: each instance sends whenever its limiter lets it.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	instances []*simulatedInstance
	// hears reports whether instance i receives heartbeats of instance j.
	hears func(i, j int) bool
	// arrivals holds the times at which calls reach each target.
	arrivals [simulatedTargets][]time.Time
}

type simulatedInstance struct {
	member  tarragonwell.Member
	limiter Limiter
	roster  Roster
	// heard is when the latest heartbeat of each other instance was received.
	heard     map[int]time.Time
	suspended bool
	// sendsTo holds the numbers of the targets that the instance is a sender of.
	sendsTo []int
	// alter changes the view that the instance is given; nil for no change.
	alter func(v *tarragonwell.FleetView)
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    startTime,
		hears:  func(int, int) bool { return true },
	}
	for i := range n {
		s.instances = append(s.instances, &simulatedInstance{
			member: tarragonwell.Member{
				PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200),
				DataCenter:  fmt.Sprint(i % simulatedDataCenters),
				State:       tarragonwell.MemberServing,
			},
		})
		s.restart(i)
	}
	return s
}

// restart replaces the process of an instance.
func (s *simulation) restart(i int) {
	x := s.instances[i]
	x.limiter = Limiter{}
	x.limiter.SetLimit(testLimit)
	x.roster = Roster{}
	x.heard = map[int]time.Time{}
	x.sendsTo = nil
}

// run advances the time.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(callStep) {
		if s.now.Sub(startTime)%viewStep == 0 {
			s.updateViews()
		}
		for _, x := range s.instances {
			if !x.suspended {
				s.sendCalls(x)
			}
		}
	}
}

// updateViews exchanges heartbeats and passes the views to the limiters.
func (s *simulation) updateViews() {
	seeds := []string{s.instances[0].member.PeerAddress, s.instances[1].member.PeerAddress, s.instances[2].member.PeerAddress}
	for i, x := range s.instances {
		if x.suspended {
			continue
		}
		var records, alive []tarragonwell.Member
		for j, other := range s.instances {
			if i != j && !other.suspended && s.hears(i, j) {
				x.heard[j] = s.now
			}
			at, known := x.heard[j]
			if known && s.now.Sub(at) < recordTimeout {
				records = append(records, other.member)
			}
			if known && s.now.Sub(at) < heartbeatTimeout {
				alive = append(alive, other.member)
			}
		}
		v := x.roster.View(s.now, x.member, records, alive, seeds)
		if x.alter != nil {
			x.alter(&v)
		}
		x.limiter.SetFleet(s.now, v)
		x.sendsTo = nil
		for k := range simulatedTargets {
			if id, dataCenter := simulatedTarget(k); x.limiter.IsSender(s.now, id, dataCenter) {
				x.sendsTo = append(x.sendsTo, k)
			}
		}
	}
}

func simulatedTarget(k int) (id, dataCenter string) {
	return fmt.Sprint("t", k), fmt.Sprint(k % simulatedDataCenters)
}

func (s *simulation) sendCalls(x *simulatedInstance) {
	for _, k := range x.sendsTo {
		id, dataCenter := simulatedTarget(k)
		if x.limiter.Available(s.now, id, dataCenter) {
			x.limiter.Take(s.now, id, dataCenter)
			delay := time.Duration(s.random.Float64() * float64(MaxSendDelay))
			s.arrivals[k] = append(s.arrivals[k], s.now.Add(delay))
		}
	}
}

// check checks the bound in each second, and returns the mean rate since a time.
func (s *simulation) check(t *testing.T, since time.Time) (rate float64) {
	t.Helper()
	total := 0
	for k, times := range s.arrivals {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for n, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			if got, limit := float64(n-first+1), testLimit.Bound(); got > limit {
				t.Errorf("target %d at %v: got %.0f calls in a second, want at most %.1f", k, at.Sub(startTime), got, limit)
				break
			}
			if !at.Before(since) {
				total++
			}
		}
	}
	return float64(total) / simulatedTargets / s.now.Sub(since).Seconds()
}

// randomPart keeps a share of the members of a view.
func randomPart(r *rand.Rand, v *tarragonwell.FleetView, share float64) {
	v.Alive = slices.DeleteFunc(slices.Clone(v.Alive), func(tarragonwell.Member) bool { return r.Float64() >= share })
}

// TestBoundHoldsInFleet guards against more calls to a target that is warming up than it
// sustains, whatever the instances know of each other, and against a limit that is so low
// that such targets are of no use in a fleet without faults.
func TestBoundHoldsInFleet(t *testing.T) {
	half := func(n int) func(i, j int) bool {
		return func(i, j int) bool { return (i < n/2) == (j < n/2) }
	}
	tests := []struct {
		name      string
		instances int
		play      func(s *simulation)
		// wantRate is the least mean rate per target over the last 10 s.
		wantRate float64
	}{
		{
			name:      "no fault",
			instances: 200,
			play:      func(s *simulation) { s.run(20 * time.Second) },
			wantRate:  1,
		},
		{
			name:      "uneven partition",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				s.hears = func(i, j int) bool { return (i < 50) == (j < 50) }
				s.run(100 * time.Second)
				s.hears = func(int, int) bool { return true }
				s.run(20 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "halves, restarted during the partition",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				s.hears = half(150)
				s.run(15 * time.Second)
				for i := range s.instances {
					s.restart(i)
				}
				s.run(15 * time.Second)
				s.hears = func(int, int) bool { return true }
				s.run(20 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "four parts, restarted during the partition",
			instances: 160,
			play: func(s *simulation) {
				s.hears = func(i, j int) bool { return i%4 == j%4 }
				s.run(15 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "groups of ten",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				s.hears = func(i, j int) bool { return i/10 == j/10 }
				s.run(100 * time.Second)
			},
		},
		{
			name:      "single instances",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				s.hears = func(int, int) bool { return false }
				s.run(90 * time.Second)
				for i := range s.instances {
					s.restart(i)
				}
				s.run(10 * time.Second)
			},
		},
		{
			name:      "each sees its own half of the fleet, for good",
			instances: 200,
			play: func(s *simulation) {
				for i, x := range s.instances {
					x.alter = func(v *tarragonwell.FleetView) {
						randomPart(rand.New(rand.NewPCG(uint64(i), 2)), v, 0.5)
						v.Known = len(v.Alive) + 1
					}
				}
				s.run(20 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "twice the number of instances",
			instances: 200,
			play: func(s *simulation) {
				for _, x := range s.instances {
					x.alter = func(v *tarragonwell.FleetView) { v.Known *= 2 }
				}
				s.run(20 * time.Second)
			},
		},
		{
			name:      "views differ anew each time",
			instances: 200,
			play: func(s *simulation) {
				for _, x := range s.instances {
					x.alter = func(v *tarragonwell.FleetView) { randomPart(s.random, v, 0.55) }
				}
				s.run(20 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "restart of the fleet while heartbeats spread slowly",
			instances: 300,
			play: func(s *simulation) {
				s.hears = func(int, int) bool { return s.random.Float64() < 0.05 }
				s.run(10 * time.Second)
				for i := range s.instances {
					s.restart(i)
				}
				s.run(30 * time.Second)
			},
			wantRate: 1,
		},
		{
			name:      "rolling restart",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				for i := range s.instances {
					s.restart(i)
					s.run(200 * time.Millisecond)
				}
			},
			wantRate: 0.5,
		},
		{
			name:      "most instances suspended, and resumed at once",
			instances: 150,
			play: func(s *simulation) {
				s.run(5 * time.Second)
				for round := range 3 {
					for i, x := range s.instances {
						x.suspended = i%3 != round
					}
					s.run(25 * time.Second)
				}
				for _, x := range s.instances {
					x.suspended = false
				}
				s.run(20 * time.Second)
			},
			wantRate: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(1, tt.instances)
			tt.play(s)
			rate := s.check(t, s.now.Add(-10*time.Second))
			t.Logf("%.2f calls a second and target in the last 10 s", rate)
			if rate < tt.wantRate {
				t.Errorf("got %.2f calls a second and target, want at least %.2f", rate, tt.wantRate)
			}
		})
	}
}
