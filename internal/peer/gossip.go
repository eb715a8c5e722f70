package peer

import (
	"slices"
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// newGossip returns the instance's current gossip for a gossip round. If brief is set, it has
// only the instance's own record as members and no suspicions of members.
func (p *Peers) newGossip(now time.Time, st *state, brief bool) gossip {
	g := gossip{
		rules:       versionToProto(st.rules),
		platformAge: neverConfirmedAge,
		list:        st.processed.List,
		brief:       brief,
		memberCount: st.view.AliveCount(now) + 1,
	}
	if !st.freshness.latest.at.IsZero() {
		g.platformAge = now.Sub(st.freshness.latest.at)
	}
	members, suspicions := []tarragonwell.Member{st.view.Self}, []tarragonwell.MemberSuspicion(nil)
	if !brief {
		members, suspicions = st.view.RoundGossip(now, p.options.Common.Settings.SampleSize, st.random)
	}
	g.members, g.suspicions = membersToProto(members), suspicionsToProto(suspicions)
	for _, h := range st.view.Holders() {
		if len(g.holders) < maxHolders {
			g.holders = append(g.holders, holderToProto(h, now))
		}
	}
	for _, l := range p.sampleLeaving(now, st) {
		g.leaving = append(g.leaving, leavingToProto(l, now))
	}
	for k, expiresAt := range st.view.Suspects() {
		if len(g.suspects) < maxSuspects && expiresAt.After(now) {
			g.suspects = append(g.suspects, &pb.SuspectTarget{
				Service: k.Service,
				// The schema's address field holds the target's ID.
				Address:     k.ID,
				RemainingMs: toMillis(expiresAt.Sub(now)),
			})
		}
	}
	return g
}

// newProbe returns the instance's gossip for a probe: its own record and changes of membership
// as members.
func (p *Peers) newProbe(now time.Time, st *state) gossip {
	g := p.newGossip(now, st, true)
	members, suspicions := st.view.ProbeGossip(now, st.random)
	g.probe, g.members, g.suspicions = true, membersToProto(members), suspicionsToProto(suspicions)
	return g
}

// sampleLeaving returns the announcements of draining targets for one message: the latest
// ones, and a random sample of the others for peers that missed them.
func (p *Peers) sampleLeaving(now time.Time, st *state) []tarragonwell.LeavingTarget {
	list := slices.DeleteFunc(slices.Clone(p.leavingForSnapshot(st)), func(l tarragonwell.LeavingTarget) bool {
		return !l.ExpiresAt.After(now)
	})
	if len(list) <= maxLeaving {
		return list
	}
	others := list[maxLeaving/2:]
	st.random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	return list[:maxLeaving]
}
