package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// fleetCounts are the numbers of instances that the services are configured with.
type fleetCounts struct {
	// maxInstances is an upper bound of the instances; budgets are divided by it.
	maxInstances int
	// serving is the number of instances that serve now, this one included. Each
	// service derives from it this instance's share of the targets' slots.
	serving int
}

// runningService is the dispatcher of a service and the function that stops it.
type runningService struct {
	dispatcher *service.Dispatcher
	stop       context.CancelFunc
}

// reconcile starts, updates and stops services according to the rules in force and the
// latest list, and replaces the snapshot.
func (rc *reconciler) reconcile(ctx context.Context, st *reconcilerState, wg *sync.WaitGroup) {
	rc.announceVersions(st)
	if st.rules == nil {
		rc.publish(st)
		return
	}
	st.counts = rc.countInstances(st)
	byService := st.list.Targets()
	rc.updateDrains(st, byService)
	for name, rule := range st.rules.Services {
		r := st.running[name]
		if r == nil {
			st.running[name] = rc.startService(ctx, wg, rule, st, byService[name])
			continue
		}
		r.dispatcher.Configure(rule, st.counts.maxInstances, st.counts.serving)
		r.dispatcher.SetTargets(byService[name])
	}
	// A removed service is stopped only after the snapshot has a routing without it.
	removed := st.removeServices()
	rc.publish(st)
	for _, r := range removed {
		r.stop()
	}
	st.appliedLeaving = 0
	rc.applyLeaving(st)
}

// countInstances counts the instances. The upper bound is the highest of the number
// in the rules, the number on the list and the most that were ever alive at a time:
// the instances that are reachable now are too few during a network partition.
func (rc *reconciler) countInstances(st *reconcilerState) fleetCounts {
	alive := rc.peers.Snapshot().Alive
	st.maxAlive = max(st.maxAlive, len(alive)+1)
	counts := fleetCounts{
		maxInstances: max(st.rules.Fleet.InstancesAtMost, len(st.list.Instances()), st.maxAlive),
		serving:      1,
	}
	for _, m := range alive {
		if m.State == tarragonwell.MemberServing {
			counts.serving++
		}
	}
	return counts
}

// updateCounts counts the instances and configures the services if a count has
// changed.
func (rc *reconciler) updateCounts(st *reconcilerState) {
	if st.rules == nil {
		return
	}
	counts := rc.countInstances(st)
	if counts == st.counts {
		return
	}
	st.counts = counts
	for name, r := range st.running {
		r.dispatcher.Configure(st.rules.Services[name], counts.maxInstances, counts.serving)
	}
}

// fleetInterval is the interval at which the services are given the view of the fleet. It
// is well below the age at which the view counts as outdated.
const fleetInterval = time.Second

// updateFleet passes the view of the fleet to the services that limit the calls to targets
// which are warming up.
func (rc *reconciler) updateFleet(st *reconcilerState) {
	now := rc.common.Clock.Now()
	if st.rules == nil || now.Sub(st.fleetSetAt) < fleetInterval {
		return
	}
	st.fleetSetAt = now
	view := rc.fleetView(st)
	for name, r := range st.running {
		if st.rules.Services[name].WarmUpRate > 0 {
			r.dispatcher.SetFleet(view)
		}
	}
}

// fleetView returns the view of the fleet. The listed instances are taken from the list
// itself, because the peers' task learns of them only after the services have their targets.
func (rc *reconciler) fleetView(st *reconcilerState) tarragonwell.FleetView {
	s := rc.peers.Snapshot()
	addresses := slices.Clone(s.BootstrapAddresses)
	for _, i := range st.list.Instances() {
		addresses = append(addresses, i.PeerAddress)
	}
	return st.roster.View(rc.common.Clock.Now(), s.Self, s.Records, s.Alive, addresses)
}

// removeServices removes the services that are no longer in the rules and returns
// them, still running.
func (st *reconcilerState) removeServices() []*runningService {
	var removed []*runningService
	for name, r := range st.running {
		if st.rules.Services[name] == nil {
			removed = append(removed, r)
			delete(st.running, name)
		}
	}
	return removed
}

// startService starts a service and returns it. The service stops when ctx ends or it
// is stopped.
func (rc *reconciler) startService(ctx context.Context, wg *sync.WaitGroup, rule *tarragonwell.Service, st *reconcilerState, targets []tarragonwell.ListedTarget) *runningService {
	ctx, stop := context.WithCancel(ctx)
	s := service.New(service.Options{
		Common:               rc.common,
		Dialect:              rc.targets,
		ServiceRule:          rule,
		BudgetDivisor:        st.counts.maxInstances,
		ServingInstanceCount: st.counts.serving,
		Fleet:                rc.fleetView(st),
		Targets:              targets,
		AnnounceLeaving:      rc.peers.AnnounceLeaving,
		AnnounceSuspect:      rc.peers.AnnounceSuspect,
		RequestResync: func() {
			rc.mailbox.TryPost(resyncRequest{})
		},
	})
	wg.Go(func() {
		rc.common.RunTask("service "+rule.Name, func() { s.Run(ctx) })
	})
	return &runningService{
		dispatcher: s,
		stop:       stop,
	}
}
