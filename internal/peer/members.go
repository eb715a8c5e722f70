package peer

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// auditMemberChange adds an audit record of a peer that is new, has returned or has
// changed state.
func (p *Peers) auditMemberChange(m tarragonwell.Member, from string) {
	p.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      "peer-" + m.State.String(),
		LearntFrom: from,
		Detail:     m.PeerAddress + " " + m.DataCenter,
	})
}

// logLostPeers logs the peers that are newly lost; see membership.View.DetectLost. Their
// return is recorded as a member change.
func (p *Peers) logLostPeers(st *state) {
	for _, m := range st.view.DetectLost(p.options.Common.Clock.Now()) {
		p.options.Common.Log.Warn("dependency-lost", "dependency", "peer", "peer", m.PeerAddress, "data-center", m.DataCenter, "state", m.State.String())
	}
}
