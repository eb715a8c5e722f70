package peer

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// memberChanged records that a peer is new, is back or has changed state.
func (p *Peers) memberChanged(m tarragonwell.Member, from string) {
	p.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      "peer-" + m.State.String(),
		LearntFrom: from,
		Detail:     m.PeerAddress + " " + m.DataCenter,
	})
}

// tellLost tells in the log which peers have fallen silent. That they are back is
// told as a change of theirs.
func (p *Peers) tellLost(st *state) {
	for _, m := range st.view.DetectLost(p.options.Common.Clock.Now()) {
		p.options.Common.Log.Warn("dependency-lost", "dependency", "peer", "peer", m.PeerAddress, "data-center", m.DataCenter, "state", m.State.String())
	}
}
