package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// memberRetention is how long an instance keeps its place in the rendezvous order
	// after it was last seen alive. During that time no other instance takes its place,
	// neither on the other side of a partition nor where a view lacks live peers.
	memberRetention = 30 * time.Second
	// settleTime is how long the view of the fleet must have been sufficient before it is
	// relied on. A view that has just started to fill, or that two sides of a partition
	// have just joined, differs from those of others.
	settleTime = 3 * time.Second
	// settledGrowth is the factor by which the known instances may grow while the view
	// counts as settled.
	settledGrowth = 1.25
	// maxViewAge is the age above which a view is not relied on.
	maxViewAge = 3 * time.Second
)

// fleet is what a Limiter knows about the instances. The zero value has no view.
type fleet struct {
	view tarragonwell.FleetView
	// setAt is when view was set.
	setAt time.Time
	// members holds the other instances that were alive within memberRetention, by peer
	// address.
	members map[string]member
	// generation changes with the set of members and their data centres.
	generation uint64
	// sufficientSince is when the view became sufficient, or when the known instances last
	// outgrew settledGrowth; zero while the view is not sufficient.
	sufficientSince time.Time
	// knownBefore is FleetView.Known at sufficientSince.
	knownBefore int
	// established is set once the view has settled: from then on Known is reliable. Before
	// that, each part of a fleet that restarts in parts knows of its own instances only.
	established bool
}

// member is another instance.
type member struct {
	dataCenter string
	lastAlive  time.Time
}

// set replaces the view.
func (f *fleet) set(now time.Time, v tarragonwell.FleetView) {
	if now.Sub(f.setAt) > maxViewAge {
		f.sufficientSince = time.Time{}
	}
	if v.Self.PeerAddress != f.view.Self.PeerAddress || v.Self.DataCenter != f.view.Self.DataCenter {
		f.generation++
	}
	f.view = v
	f.setAt = now
	f.updateMembers(now)
	f.established = f.established || !f.sufficientSince.IsZero() && now.Sub(f.sufficientSince) >= settleTime
	switch {
	case !f.sufficient():
		f.sufficientSince = time.Time{}
	case f.sufficientSince.IsZero() || float64(v.Known) > settledGrowth*float64(f.knownBefore):
		f.resettle(now)
	}
}

// resettle makes the view count as settled only after settleTime.
func (f *fleet) resettle(now time.Time) {
	if !f.sufficient() {
		return
	}
	f.sufficientSince = now
	f.knownBefore = f.view.Known
}

// updateMembers adds the instances that are alive and drops those whose retention is over.
func (f *fleet) updateMembers(now time.Time) {
	if f.members == nil {
		f.members = map[string]member{}
	}
	for _, m := range f.view.Alive {
		if old, known := f.members[m.PeerAddress]; !known || old.dataCenter != m.DataCenter {
			f.generation++
		}
		f.members[m.PeerAddress] = member{
			dataCenter: m.DataCenter,
			lastAlive:  now,
		}
	}
	for address, m := range f.members {
		if now.Sub(m.lastAlive) > memberRetention {
			delete(f.members, address)
			f.generation++
		}
	}
}

// sufficient reports whether this instance may be a sender by its view: it is not shutting
// down and sees more than half of the known instances, itself included. At most one side of
// a partition does. An instance that knows of others but has not heard from them does not.
// Until the view has settled for the first time, it has to see most of the seeds too.
func (f *fleet) sufficient() bool {
	state := f.view.Self.State
	if state != tarragonwell.MemberStarting && state != tarragonwell.MemberServing {
		return false
	}
	return 2*(len(f.view.Alive)+1) > f.view.Known && (f.established || f.view.SeedMajority)
}

// alone reports whether this instance knows of no others.
func (f *fleet) alone() bool {
	return f.view.Known <= 1 && len(f.view.Alive) == 0 && len(f.members) == 0
}

// settled reports whether the view may be relied on. A view without others does not have to
// settle.
func (f *fleet) settled(now time.Time) bool {
	if f.sufficientSince.IsZero() || now.Sub(f.setAt) > maxViewAge {
		return false
	}
	return f.alone() || now.Sub(f.sufficientSince) >= settleTime
}

// rank returns the number of instances before this one in the rendezvous order of a
// target. The instances of the target's data centre come first.
func (f *fleet) rank(id, dataCenter string) int {
	own := keyOf(id, dataCenter, f.view.Self.PeerAddress, f.view.Self.DataCenter)
	n := 0
	for address, m := range f.members {
		if keyOf(id, dataCenter, address, m.dataCenter).before(own) {
			n++
		}
	}
	return n
}

// orderKey is the position of an instance in the rendezvous order of a target.
type orderKey struct {
	remote  bool
	hash    uint64
	address string
}

// keyOf returns the position of an instance. It depends on the instance's address rather
// than its incarnation, so that a restart does not change the senders.
func keyOf(id, targetDataCenter, address, dataCenter string) orderKey {
	return orderKey{
		remote:  dataCenter != targetDataCenter,
		hash:    xxhash.Sum64String(id + " " + address),
		address: address,
	}
}

func (k orderKey) before(other orderKey) bool {
	switch {
	case k.remote != other.remote:
		return !k.remote
	case k.hash != other.hash:
		return k.hash < other.hash
	default:
		return k.address < other.address
	}
}
