package instance

import (
	"fmt"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

// drainStatus is the data centres that are out of service. It is immutable.
type drainStatus struct {
	inForce []tarragonwell.DrainInForce
	// affected holds the number of targets that each drain in force affects.
	affected []int
}

// find returns the drain of a data centre.
func (d drainStatus) find(name string) (tarragonwell.DrainInForce, bool) {
	for _, x := range d.inForce {
		if x.DataCenter == name {
			return x, true
		}
	}
	return tarragonwell.DrainInForce{}, false
}

// totalAffected returns the number of targets in data centres that are out of service.
func (d drainStatus) totalAffected() int {
	n := 0
	for _, x := range d.affected {
		n += x
	}
	return n
}

// updateDrains marks the targets, by service, whose data centres are out of service, and
// records the drains that have begun, changed or ended. Before the first list nothing is
// recorded, since the number of targets is not known.
func (rc *reconciler) updateDrains(st *reconcilerState, byService map[string][]tarragonwell.ListedTarget) {
	var next drainStatus
	next.inForce = drains.Combine(st.list.Drains(), st.rules.DataCenters)
	next.affected = drains.Mark(byService, next.inForce)
	if st.list.Position() == (tarragonwell.ListPosition{}) {
		return
	}
	previous := st.drains
	st.drains = next
	for n, d := range next.inForce {
		before, found := previous.find(d.DataCenter)
		switch {
		case !found:
			rc.recordDrain(st, "drain-began", d, next.affected[n])
			if next.affected[n] == 0 {
				rc.common.Log.Warn("drain-without-targets", "data-center", d.DataCenter, "source", drains.Source(d))
			}
		case drains.Source(before) != drains.Source(d):
			rc.recordDrain(st, "drain-changed", d, next.affected[n])
		}
	}
	for n, d := range previous.inForce {
		if _, found := next.find(d.DataCenter); !found {
			rc.recordDrain(st, "drain-ended", d, previous.affected[n])
		}
	}
}

// recordDrain records a change of a drain, with its source and the number of targets that
// it affects.
func (rc *reconciler) recordDrain(st *reconcilerState, event string, d tarragonwell.DrainInForce, affected int) {
	r := tarragonwell.AuditRecord{
		Event:      event,
		AskedBy:    d.Line.AskedBy,
		LearntFrom: st.updatedFrom,
		Detail:     fmt.Sprintf("%s, %d targets, %s", d.DataCenter, affected, drains.Source(d)),
	}
	if d.Line.Number > 0 {
		r.Revision = st.version().Revision
	}
	rc.common.RecordChange(r)
}

// registerDrainMetrics registers the gauges of the data centres that are out of service.
func (rc *reconciler) registerDrainMetrics() {
	rc.common.Metrics.GetOrCreateGauge("tarragonwell_drained_data_centers", func() float64 {
		return float64(len(rc.snapshot.Load().drains.inForce))
	})
	rc.common.Metrics.GetOrCreateGauge("tarragonwell_drained_targets", func() float64 {
		return float64(rc.snapshot.Load().drains.totalAffected())
	})
}

// Drains implements operator.InstanceState.
func (i *Instance) Drains() []*pb.DrainStatus {
	d := i.reconciler.snapshot.Load().drains
	return operator.DrainsToProto(d.inForce, d.affected)
}
