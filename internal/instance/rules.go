package instance

import (
	"fmt"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
)

// recordAccepted records that next is now in force. If it replaces another file, each
// changed rule is recorded too, with who requested it. previous is nil for the
// first rules file.
func (rc *reconciler) recordAccepted(previous, next *tarragonwell.RuleSet, from string) {
	changes := rules.Compare(previous, next)
	rc.common.Metrics.GetOrCreateCounter("tarragonwell_rules_accepted_total").Inc()
	rc.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-accepted",
		Revision:   next.Version.Revision,
		LearntFrom: from,
		Detail:     fmt.Sprintf("digest %x, %d rules, %d changed", next.Version.Digest[:4], len(next.Lines), len(changes)),
	})
	if limit, size := rc.common.RequestBytes.CurrentLimit(), next.Limits.RequestBodyBytes; limit > 0 && size > limit {
		rc.common.Log.Warn("body-limit-exceeds-memory", "body-limit", size, "memory-for-bodies", limit)
	}
	if previous == nil {
		return
	}
	for _, c := range changes {
		rc.common.RecordChange(tarragonwell.AuditRecord{
			Event:      "rule-" + c.Action,
			Revision:   next.Version.Revision,
			AskedBy:    c.Line.AskedBy,
			LearntFrom: from,
			Detail:     c.Line.Text,
		})
	}
}

// refuse records that a rules file was refused and adds the reason to the snapshot.
// The rules in force stay.
func (rc *reconciler) refuse(st *reconcilerState, v tarragonwell.RulesVersion, from string, err error) {
	// The operators may give the next rules the same generation, or a lower one: the position
	// alone tells which were read last.
	v.Generation = 0
	st.refusal = refusal{
		version: v,
		reason:  err.Error(),
	}
	rc.common.Metrics.GetOrCreateCounter("tarragonwell_rules_refused_total").Inc()
	rc.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-refused",
		Revision:   v.Revision,
		LearntFrom: from,
		Detail:     err.Error(),
	})
	rc.publish(st)
}

// recordConflict records that a rules file has the revision of the one in force but
// different content. The file with the greater digest wins on all instances.
func (rc *reconciler) recordConflict(st *reconcilerState, v tarragonwell.RulesVersion, from string) {
	current := st.version()
	if st.rules == nil || v.Era != current.Era || v.Revision != current.Revision || v.Equal(st.conflict) {
		return
	}
	st.conflict = v
	rc.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "rules-conflict",
		Revision:   v.Revision,
		LearntFrom: from,
		Detail:     fmt.Sprintf("digest %x beside %x", v.Digest[:4], current.Digest[:4]),
	})
}
