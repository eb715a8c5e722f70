package instance

import (
	"fmt"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// accepted records a rules file that is in force from now on, and each rule
// that it changes with the name of who asked for it.
func (d *documents) accepted(previous, next *tarragonwell.RuleSet, from string) {
	changes := rules.Compare(previous, next)
	d.common.Metrics.GetOrCreateCounter("tarragonwell_rules_accepted_total").Inc()
	d.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-accepted",
		Revision:   next.Version.Revision,
		LearntFrom: from,
		Detail:     fmt.Sprintf("digest %x, %d rules, %d changed", next.Version.Digest[:4], len(next.Lines), len(changes)),
	})
	if previous == nil {
		return
	}
	for _, c := range changes {
		d.common.RecordChange(tarragonwell.AuditRecord{
			Event:      "rule-" + c.Action,
			Revision:   next.Version.Revision,
			AskedBy:    c.Line.AskedBy,
			LearntFrom: from,
			Detail:     c.Line.Text,
		})
	}
}

// refuse records a rules file that is not taken; the one in force stays.
func (d *documents) refuse(st *documentsState, v tarragonwell.RulesVersion, from string, err error) {
	st.refusal = refusal{
		version: v,
		reason:  err.Error(),
	}
	d.common.Metrics.GetOrCreateCounter("tarragonwell_rules_refused_total").Inc()
	d.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-refused",
		Revision:   v.Revision,
		LearntFrom: from,
		Detail:     err.Error(),
	})
	d.publish(st)
}

// noteConflict records that the platform shows other bytes under the revision
// in force. The file with the greater digest wins on all instances.
func (d *documents) noteConflict(st *documentsState, v tarragonwell.RulesVersion, from string) {
	current := st.version()
	if st.rules == nil || v.Revision != current.Revision || v.Equal(st.conflict) {
		return
	}
	st.conflict = v
	d.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-conflict",
		Revision:   v.Revision,
		LearntFrom: from,
		Detail:     fmt.Sprintf("digest %x beside %x", v.Digest[:4], current.Digest[:4]),
	})
}
