package peer

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Snapshot is the part of the view that other tasks can read. It is immutable.
type Snapshot struct {
	// Self is the instance's own member record.
	Self tarragonwell.Member
	// Alive lists the live peers, ordered by address.
	Alive []tarragonwell.Member
	// Records lists the retained member records of the peers, ordered by address.
	Records []tarragonwell.Member
	// BootstrapAddresses are those of the view: the peer addresses of the seeds and of the
	// listed instances. It may contain the instance's own.
	BootstrapAddresses []string
	// knownAddresses contains the addresses of the recorded peers and the
	// BootstrapAddresses of the view.
	knownAddresses  map[string]bool
	holderAddresses map[tarragonwell.Incarnation]string
	// Leaving holds the announcements of draining targets.
	Leaving []tarragonwell.LeavingTarget
	// LeavingVersion changes when Leaving has a new announcement.
	LeavingVersion uint64
	// PlatformConfirmedAt is when the platform last confirmed, to any instance, that
	// the data which this instance has processed is current; zero if it never did.
	PlatformConfirmedAt time.Time
	// IsReader is set if the instance watches the platform on behalf of the fleet.
	IsReader bool
	State    tarragonwell.MemberState
}

// publishSnapshot replaces the snapshot that other tasks read.
func (p *Peers) publishSnapshot(st *state) {
	now := p.options.Common.Clock.Now()
	s := &Snapshot{
		Self:                st.view.Self,
		Alive:               st.view.Alive(now),
		Records:             st.view.All(),
		BootstrapAddresses:  st.view.BootstrapAddresses,
		knownAddresses:      map[string]bool{},
		holderAddresses:     map[tarragonwell.Incarnation]string{},
		Leaving:             p.leavingForSnapshot(st),
		LeavingVersion:      st.view.LeavingVersion(),
		PlatformConfirmedAt: st.freshness.latest.at,
		IsReader:            st.view.IsReader(now, p.options.Common.Settings.Readers),
		State:               st.view.Self.State,
	}
	for _, m := range s.Records {
		s.knownAddresses[m.PeerAddress] = true
	}
	for _, a := range st.view.BootstrapAddresses {
		s.knownAddresses[a] = true
	}
	for _, h := range st.view.Holders() {
		s.holderAddresses[h.Incarnation] = h.PeerAddress
	}
	p.snapshot.Store(s)
}

// leavingForSnapshot returns the announcements of draining targets. It returns the list
// of the current snapshot if there is nothing new: the list is long in a rolling release.
func (p *Peers) leavingForSnapshot(st *state) []tarragonwell.LeavingTarget {
	if s := p.snapshot.Load(); s.LeavingVersion == st.view.LeavingVersion() {
		return s.Leaving
	}
	return st.view.Leaving()
}
