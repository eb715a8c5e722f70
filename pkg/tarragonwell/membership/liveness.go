package membership

import (
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// livenessTimeout is how long a peer counts as alive after its last heartbeat.
const livenessTimeout = 10 * time.Second

// Alive lists the peers whose records advanced within livenessTimeout and that have
// not stopped, ordered by address.
func (v *View) Alive(now time.Time) []tarragonwell.Member {
	return v.list(func(r *peerEntry) bool {
		return r.member.State != tarragonwell.MemberGone && now.Sub(r.updated) < livenessTimeout
	})
}

// DetectLost returns the peers whose records have not advanced for livenessTimeout
// and that have not announced that they stopped. Each loss is returned once.
func (v *View) DetectLost(now time.Time) []tarragonwell.Member {
	var out []tarragonwell.Member
	for _, r := range v.records {
		if r.lost || r.member.State == tarragonwell.MemberGone || now.Sub(r.updated) < livenessTimeout {
			continue
		}
		r.lost = true
		out = append(out, r.member)
	}
	return out
}
