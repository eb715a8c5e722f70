package peer

import (
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// newGossip is what a peer is told now.
func (p *Peers) newGossip(now time.Time, st *state, brief bool) gossip {
	n := gossip{
		rules:        versionToProto(st.rules),
		platformAge:  neverConfirmedAge,
		listRevision: st.processed.List,
		brief:        brief,
	}
	if !st.freshness.latest.at.IsZero() {
		n.platformAge = now.Sub(st.freshness.latest.at)
	}
	sample := p.options.Common.Settings.Sample
	if brief {
		sample = 1
	}
	for _, m := range st.view.Sample(now, sample, st.random) {
		n.members = append(n.members, MemberToProto(m))
	}
	for _, h := range st.view.Holders() {
		if len(n.holders) < maxHolders {
			n.holders = append(n.holders, holderToProto(h, now))
		}
	}
	for k, until := range st.view.Leaving() {
		if len(n.leaving) < maxLeaving && until.After(now) {
			n.leaving = append(n.leaving, &pb.LeavingTarget{
				Service:     k.Service,
				Address:     k.Address,
				RemainingMs: toMillis(until.Sub(now)),
			})
		}
	}
	for k, until := range st.view.Suspects() {
		if len(n.suspects) < maxSuspects && until.After(now) {
			n.suspects = append(n.suspects, &pb.SuspectTarget{
				Service:     k.Service,
				Address:     k.Address,
				RemainingMs: toMillis(until.Sub(now)),
			})
		}
	}
	return n
}
