package instance

import (
	"fmt"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// recordEra records that the platform has come back from a copy of its data: what the list has
// kept and lost since the position before, and the rules, which stay in force until the
// operators' latest ones are published again.
func (rc *reconciler) recordEra(st *reconcilerState, before tarragonwell.ListPosition, from string) {
	kept := st.list.Survey()
	at := st.list.Position()
	rc.common.Metrics.GetOrCreateCounter("tarragonwell_platform_eras_total").Inc()
	rc.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "platform-era-began",
		Revision:   at.Revision,
		LearntFrom: from,
		Detail: fmt.Sprintf("era %d after %d, which ended at revision %d or later; rules of generation %d in force; targets: %d listed, %d missing, %d departed; %d drains missing",
			at.Era, before.Era, before.Revision, st.version().Generation, kept.Listed, kept.Missing, kept.Departed, kept.MissingDrains),
	})
}
