package peer

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// auditMemberChange records that a peer is new, is back or has changed state.
func (p *Peers) auditMemberChange(m tarragonwell.Member, from string) {
	p.options.Common.Change(tarragonwell.AuditRecord{
		Event:      "peer-" + m.State.String(),
		LearntFrom: from,
		Detail:     m.PeerAddress + " " + m.DataCenter,
	})
}

// logLostPeers tells in the log which peers have fallen silent. That they are back is
// told as a change of theirs.
func (p *Peers) logLostPeers(st *state) {
	for _, m := range st.view.DetectLost(p.options.Common.Clock.Now()) {
		p.options.Common.Log.Warn("dependency-lost", "dependency", "peer", "peer", m.PeerAddress, "data-center", m.DataCenter, "state", m.State.String())
	}
}
