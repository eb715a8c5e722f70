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
	stopped := r.update(now, records)
	v.Known = 1 + len(r.lastRecorded)
	counted := map[string]bool{
		self.PeerAddress: true,
	}
	for _, a := range addresses {
		if _, recorded := r.lastRecorded[a]; a != "" && !recorded && !stopped[a] && !counted[a] {
			counted[a] = true
			v.Known++
		}
	}
	return v
}

// update applies the member records, and returns the addresses of the instances that have
// stopped.
func (r *Roster) update(now time.Time, records []tarragonwell.Member) (stopped map[string]bool) {
	if r.lastRecorded == nil {
		r.lastRecorded = map[string]time.Time{}
	}
	stopped = map[string]bool{}
	for _, m := range records {
		if m.State == tarragonwell.MemberGone {
			stopped[m.PeerAddress] = true
			delete(r.lastRecorded, m.PeerAddress)
			continue
		}
		r.lastRecorded[m.PeerAddress] = now
	}
	for a, at := range r.lastRecorded {
		if now.Sub(at) > knownRetention {
			delete(r.lastRecorded, a)
		}
	}
	return stopped
}
