package peer

import (
	"time"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// news is what a peer is told now.
func (p *Peers) news(now time.Time, st *state, brief bool) news {
	n := news{
		rules:        versionMessage(st.rules),
		platformAge:  neverAge,
		listRevision: st.seen.List,
		brief:        brief,
	}
	if !st.contacts.latest.at.IsZero() {
		n.platformAge = now.Sub(st.contacts.latest.at)
	}
	sample := p.options.Common.Settings.SampleSize
	if brief {
		sample = 1
	}
	for _, m := range st.view.Sample(now, sample, st.random) {
		n.members = append(n.members, MemberToProto(m))
	}
	for _, h := range st.view.Holders() {
		if len(n.holders) < maxHolders {
			n.holders = append(n.holders, holderMessage(h, now))
		}
	}
	for k, until := range st.view.Leaving() {
		if len(n.leaving) < maxLeaving && until.After(now) {
			n.leaving = append(n.leaving, &pb.LeavingTarget{
				Service:     k.Service,
				Address:     k.ID,
				RemainingMs: millis(until.Sub(now)),
			})
		}
	}
	for k, until := range st.view.Suspects() {
		if len(n.suspects) < maxSuspects && until.After(now) {
			n.suspects = append(n.suspects, &pb.SuspectTarget{
				Service:     k.Service,
				Address:     k.ID,
				RemainingMs: millis(until.Sub(now)),
			})
		}
	}
	return n
}
