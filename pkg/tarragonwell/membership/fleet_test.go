package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// simulatedFanOut and simulatedSample are the defaults of the settings file.
	simulatedFanOut = 2
	simulatedSample = 8
	// simulatedHelpers is the number of peers through which a peer is probed.
	simulatedHelpers = 3
	// simulatedTime is how long the simulated fleet gossips, in rounds of a second.
	simulatedTime = 20 * time.Second
)

// fleetSizes are the sizes of fleets at which failures are detected in the same time.
var fleetSizes = []int{15, 30, 110, 150, 500}

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

// simulation runs the protocol between views: what a message carries is what the sender's
// view says that it carries.
type simulation struct {
	now       time.Time
	views     []*View
	byAddress map[string]*View
	random    *rand.Rand
	// down holds the instances that have stopped or are suspended.
	down map[*View]bool
	// previous holds the instances of the previous release, which send heartbeats only.
	previous map[*View]bool
	// blocked reports whether requests of one instance to another are lost; nil for none.
	blocked func(from, to *View) bool
	// lost counts the losses that instances of the present release declared, by address of
	// the lost instance.
	lost map[string]int
}

// newSimulation returns a simulation of a fleet of n instances.
func newSimulation(n int) *simulation {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		now:       start,
		views:     newSimulatedFleet(start, n),
		byAddress: map[string]*View{},
		random:    rand.New(rand.NewPCG(1, uint64(n))),
		down:      map[*View]bool{},
		previous:  map[*View]bool{},
		lost:      map[string]int{},
	}
	for _, v := range s.views {
		s.byAddress[v.Self.PeerAddress] = v
	}
	return s
}

// reaches reports whether a request of an instance reaches another one.
func (s *simulation) reaches(from, to *View) bool {
	return to != nil && !s.down[to] && (s.blocked == nil || !s.blocked(from, to))
}

// exchange merges what both views send into each other, if the request reaches the
// incarnation. It reports whether it does.
func (s *simulation) exchange(a *View, m tarragonwell.Member, probe bool) bool {
	b := s.byAddress[m.PeerAddress]
	if !s.reaches(a, b) {
		return false
	}
	s.send(a, b, probe)
	count := s.send(b, a, probe)
	if a.NeedsRecords(s.now, count) {
		members, suspicions := b.Records(s.now)
		a.MergeRecords(s.now, members, suspicions)
	}
	return b.Self.Incarnation == m.Incarnation
}

// send merges a message of a into the view of b. It returns the number of members that it
// states.
func (s *simulation) send(a, b *View, probe bool) int {
	var members []tarragonwell.Member
	var suspicions []tarragonwell.MemberSuspicion
	if probe {
		members, suspicions = a.ProbeGossip(s.now, s.random)
	} else {
		members, suspicions = a.RoundGossip(s.now, simulatedSample, s.random)
	}
	count := a.AliveCount(s.now) + 1
	if s.previous[a] {
		for i := range members {
			members[i].Age = 0
		}
		suspicions, count = nil, 0
	}
	if s.previous[b] {
		suspicions = nil
	}
	for _, m := range members {
		b.Merge(s.now, m)
	}
	b.RecordContact(s.now, members[0])
	for _, x := range suspicions {
		b.MergeSuspicion(s.now, x)
	}
	return count
}

// contact runs an exchange and, if the peer does not respond, probes it through others.
func (s *simulation) contact(v *View, m tarragonwell.Member, probe bool) {
	if s.exchange(v, m, probe) || s.previous[v] || !v.IsTrusted(s.now, m) {
		return
	}
	helpers := v.ProbeHelpers(s.now, m, simulatedHelpers)
	responses := 0
	for _, h := range helpers {
		helper := s.byAddress[h.PeerAddress]
		if !s.reaches(v, helper) {
			continue
		}
		responses++
		if !s.previous[helper] && s.exchange(helper, m, true) {
			v.Merge(s.now, s.byAddress[m.PeerAddress].Self)
			return
		}
	}
	if responses > 0 || len(helpers) == 0 {
		v.Suspect(m, s.now)
	}
}

// rounds runs a number of gossip rounds of all instances.
func (s *simulation) rounds(n int) {
	for range n {
		for _, v := range s.views {
			if !s.down[v] {
				s.round(v)
			}
		}
		s.now = s.now.Add(time.Second)
	}
}

// round runs the gossip round of one instance.
func (s *simulation) round(v *View) {
	v.Self.Heartbeat++
	for _, m := range v.DetectLost(s.now) {
		if !s.previous[v] {
			s.lost[m.PeerAddress]++
		}
	}
	v.Expire(s.now)
	for i, m := range v.SelectPeers(s.now, simulatedFanOut, s.random) {
		s.contact(v, m, i == 0 && v.IsTrusted(s.now, m))
	}
}

// losses returns the number of losses that were declared.
func (s *simulation) losses() int {
	n := 0
	for _, k := range s.lost {
		n += k
	}
	return n
}

// knowing counts the running instances in whose view the instance is alive.
func (s *simulation) knowing(v *View) int {
	n := 0
	for _, w := range s.views {
		if w != v && !s.down[w] && w.IsTrusted(s.now, v.Self) {
			n++
		}
	}
	return n
}

// readers counts the running instances that watch the platform.
func (s *simulation) readers(n int) int {
	readers := 0
	for _, v := range s.views {
		if !s.down[v] && v.IsReader(s.now, n) {
			readers++
		}
	}
	return readers
}

// TestLiveFleetCountsAsAlive checks, for fleets of a few and of hundreds of instances of
// which none fails, that no instance counts as lost in the view of another.
func TestLiveFleetCountsAsAlive(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSimulation(n)
			s.rounds(int(simulatedTime / time.Second))
			if got, want := s.losses(), 0; got != want {
				t.Errorf("got %d times that a live instance counted as lost in %v, want %d", got, simulatedTime, want)
			}
		})
	}
}

// TestLossIsKnownInTheSameTime guards against detection whose time grows with the fleet, and
// against views that disagree on the readers afterwards.
func TestLossIsKnownInTheSameTime(t *testing.T) {
	const readers, before = 6, 3
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSimulation(n)
			s.rounds(before)
			stopped := s.views[n/2]
			s.down[stopped] = true
			s.rounds(suspicionRounds)
			if got, want := s.lost[stopped.Self.PeerAddress], 0; got != want {
				t.Errorf("got %d losses before a suspicion can expire, want %d", got, want)
			}
			// At most ringSuccessors rounds pass until it is probed.
			s.rounds(ringSuccessors + 1)
			if got, want := s.lost[stopped.Self.PeerAddress], n-1; got != want {
				t.Errorf("got %d instances that know of the loss, want %d", got, want)
			}
			if got, want := s.losses(), n-1; got != want {
				t.Errorf("got %d losses in all, want %d", got, want)
			}
			if got, want := s.readers(readers), readers; got != want {
				t.Errorf("got %d readers, want %d", got, want)
			}
		})
	}
}

// TestCutLinksAreNoLoss guards against losses of instances that some peers can't reach, that
// none can reach, or that reach none themselves.
func TestCutLinksAreNoLoss(t *testing.T) {
	const n, rounds = 110, 40
	for name, blocked := range map[string]func(s *simulation, from, to *View) bool{
		"from a third of the peers": func(s *simulation, from, to *View) bool {
			third := func(v *View) bool { return slices.Index(s.views, v)%3 == 0 }
			return from == s.views[1] && third(to) || to == s.views[1] && third(from)
		},
		"requests to it":   func(s *simulation, _, to *View) bool { return to == s.views[1] },
		"requests from it": func(s *simulation, from, _ *View) bool { return from == s.views[1] },
	} {
		s := newSimulation(n)
		s.blocked = func(from, to *View) bool { return blocked(s, from, to) }
		s.rounds(rounds)
		if got, want := s.losses(), 0; got != want {
			t.Errorf("%s: got %d losses, want %d", name, got, want)
		}
	}
}

// TestPartitionHeals guards against sides that still count each other as alive, and against
// losses that are declared after the partition has ended because of outdated suspicions.
func TestPartitionHeals(t *testing.T) {
	const n, rounds = 110, 30
	for _, size := range []int{1, 5, n / 2} {
		s := newSimulation(n)
		s.rounds(3)
		side := func(v *View) bool { return slices.Index(s.views, v) < size }
		s.blocked = func(from, to *View) bool { return side(from) != side(to) }
		s.rounds(2 * rounds)
		for _, v := range s.views {
			want := n - size - 1
			if side(v) {
				want = size - 1
			}
			if got := len(v.Alive(s.now)); got != want {
				t.Errorf("side of %d: got %d live peers of %s, want %d", size, got, v.Self.PeerAddress, want)
			}
		}
		s.blocked = nil
		before := s.losses()
		s.rounds(rounds)
		if got, want := s.losses()-before, 0; got != want {
			t.Errorf("side of %d: got %d losses after the partition, want %d", size, got, want)
		}
		for _, v := range s.views {
			if got, want := s.knowing(v), n-1; got != want {
				t.Errorf("side of %d: got %d instances that know %s, want %d", size, got, v.Self.PeerAddress, want)
			}
		}
	}
}

// TestSuspendedInstanceReturns guards against an instance that declares the others lost after
// it was suspended, or that they learn of late.
func TestSuspendedInstanceReturns(t *testing.T) {
	const n, rounds = 110, 8
	s := newSimulation(n)
	s.rounds(3)
	// The first instance runs its round before any other contacts it.
	suspended := s.views[0]
	s.down[suspended] = true
	s.rounds(30)
	s.down[suspended] = false
	suspended.Resume(s.now, 0)
	before := s.losses()
	s.rounds(rounds)
	if got, want := s.losses()-before, 0; got != want {
		t.Errorf("got %d losses after it resumed, want %d", got, want)
	}
	if got, want := s.knowing(suspended), n-1; got != want {
		t.Errorf("got %d instances that know it after %d rounds, want %d", got, rounds, want)
	}
}

// TestLateSuspicionCanBeRefuted guards against a loss at the moment when an expired suspicion
// arrives, as from the other side of a partition that has ended.
func TestLateSuspicionCanBeRefuted(t *testing.T) {
	v, now := newView(0), start.Add(time.Hour)
	m := newMember(1, 1, 1, tarragonwell.MemberServing)
	v.Merge(start, m)
	v.RecordContact(now, newMember(2, 1, 1, tarragonwell.MemberServing))
	v.MergeSuspicion(now, tarragonwell.MemberSuspicion{
		Incarnation: m.Incarnation,
		Age:         time.Minute,
	})
	if got := v.DetectLost(now); len(got) != 0 {
		t.Errorf("on arrival: got %v, want no loss", got)
	}
	if got, want := len(v.DetectLost(now.Add(suspicionRounds/2*time.Second))), 1; got != want {
		t.Errorf("without a refutation: got %d losses, want %d", got, want)
	}
}

// TestReplacedInstance guards against an incarnation that keeps its successor at the same
// address out of the views, also if the clock was set back in between.
func TestReplacedInstance(t *testing.T) {
	const n, rounds = 110, 30
	for _, later := range []time.Duration{time.Second, -time.Hour} {
		s := newSimulation(n)
		s.rounds(3)
		fresh := &View{
			Self:               s.views[1].Self,
			BootstrapAddresses: []string{s.views[2].Self.PeerAddress},
		}
		fresh.Self.Incarnation, fresh.Self.Heartbeat = tarragonwell.Incarnation{0xff, 0xff}, 1
		fresh.Self.Started = s.now.Add(later)
		s.views[1], s.byAddress[fresh.Self.PeerAddress] = fresh, fresh
		s.rounds(rounds)
		if got, want := s.knowing(fresh), n-1; got != want {
			t.Errorf("started %v after the other: got %d instances that know it, want %d", later, got, want)
		}
	}
}

// TestPreviousReleaseCountsAsAlive guards against losses of instances that send samples and
// heartbeats only.
func TestPreviousReleaseCountsAsAlive(t *testing.T) {
	const n = 110
	for _, present := range []int{2, n / 2, n - 1} {
		s := newSimulation(n)
		for _, v := range s.views[present:] {
			s.previous[v] = true
		}
		s.rounds(40)
		if got, want := s.losses(), 0; got != want {
			t.Errorf("%d of the present release: got %d losses, want %d", present, got, want)
		}
	}
}

// TestStartingFleetKnowsItself guards against instances that know each other late after
// hundreds of them have started at once with a few seeds.
func TestStartingFleetKnowsItself(t *testing.T) {
	const n, rounds = 300, 15
	s := newSimulation(n)
	for _, v := range s.views {
		*v = View{
			Self:               v.Self,
			BootstrapAddresses: []string{s.views[0].Self.PeerAddress, s.views[1].Self.PeerAddress},
		}
	}
	s.rounds(rounds)
	for _, v := range s.views {
		if got, want := s.knowing(v), n-1; got != want {
			t.Errorf("got %d instances that know %s after %d rounds, want %d", got, v.Self.PeerAddress, rounds, want)
		}
	}
}
