package warmup

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// knownRetention is how long an instance that was lost, rather than stopped as planned,
// counts as one that may be running. It outlasts its member record, so that the parts of a
// partition that lasts for minutes do not each take themselves for the whole fleet.
const knownRetention = 10 * time.Minute

// Roster counts the instances that may be running. The zero value is empty. It is not safe
// for concurrent use.
type Roster struct {
	// lastRecorded is when each of the other instances last had a member record, by peer
	// address. It does not hold those that announced that they have stopped.
	lastRecorded map[string]time.Time
	// stopped holds the addresses, of those that View was last given, whose instances
	// announced that they have stopped. Their records expire earlier.
	stopped map[string]bool
}

// View returns the view of the fleet. records holds the member records of the other
// instances, alive those of the ones that count as alive, and addresses the peer addresses
// of the seeds and of the listed instances, in any order and with repetitions.
func (r *Roster) View(now time.Time, self tarragonwell.Member, records, alive []tarragonwell.Member, addresses []string) tarragonwell.FleetView {
	v := tarragonwell.FleetView{
		Self: self,
	}
	for _, m := range alive {
		if m.State == tarragonwell.MemberStarting || m.State == tarragonwell.MemberServing {
			v.Alive = append(v.Alive, m)
		}
	}
	r.update(now, records)
	r.countAddresses(&v, addresses)
	return v
}

// countAddresses counts the instances at given addresses that have no record, and those that
// are alive.
func (r *Roster) countAddresses(v *tarragonwell.FleetView, addresses []string) {
	present := map[string]bool{
		v.Self.PeerAddress: true,
	}
	for _, m := range v.Alive {
		present[m.PeerAddress] = true
	}
	v.Known = 1 + len(r.lastRecorded)
	counted := map[string]bool{}
	alive := 0
	stopped := map[string]bool{}
	for _, a := range addresses {
		if a == "" || counted[a] {
			continue
		}
		counted[a] = true
		if _, recorded := r.lastRecorded[a]; !recorded && !r.stopped[a] && a != v.Self.PeerAddress {
			v.Known++
		}
		if present[a] {
			alive++
		}
		stopped[a] = r.stopped[a]
	}
	v.SeedMajority = len(counted) == 0 || 2*alive > len(counted)
	r.stopped = stopped
}

// update applies the member records.
func (r *Roster) update(now time.Time, records []tarragonwell.Member) {
	if r.lastRecorded == nil {
		r.lastRecorded = map[string]time.Time{}
	}
	if r.stopped == nil {
		r.stopped = map[string]bool{}
	}
	for _, m := range records {
		if m.State == tarragonwell.MemberGone {
			r.stopped[m.PeerAddress] = true
			delete(r.lastRecorded, m.PeerAddress)
			continue
		}
		delete(r.stopped, m.PeerAddress)
		r.lastRecorded[m.PeerAddress] = now
	}
	for a, at := range r.lastRecorded {
		if now.Sub(at) > knownRetention {
			delete(r.lastRecorded, a)
		}
	}
}
