package instance

import (
	"context"
	"sync"

	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// fleetCounts are the numbers of instances that services go by.
type fleetCounts struct {
	// atMost bounds the instances, for budgets.
	atMost int
	// serving counts those that serve now, for preference.
	serving int
}

type runningService struct {
	service *service.Dispatcher
	stop    context.CancelFunc
}

// apply brings the services in line with the documents and publishes them.
func (d *documents) apply(ctx context.Context, st *documentsState, services *sync.WaitGroup) {
	d.publishVersions(st)
	if st.rules == nil {
		d.publish(st)
		return
	}
	st.counts = d.count(st)
	byService := st.list.Targets()
	for name, rule := range st.rules.Services {
		r := st.running[name]
		if r == nil {
			st.running[name] = d.startService(ctx, services, rule, st.counts, byService[name])
			continue
		}
		r.service.Configure(rule, st.counts.atMost, st.counts.serving)
		r.service.SetTargets(byService[name])
	}
	// The routing without a removed service is published before it stops.
	removed := st.removeServices()
	d.publish(st)
	for _, r := range removed {
		r.stop()
	}
}

// count takes the highest number that anything names for budgets: those that
// can be heard are too few under a partition, so the most that ever were count.
func (d *documents) count(st *documentsState) fleetCounts {
	alive := d.peers.Snapshot().Alive
	st.mostAlive = max(st.mostAlive, len(alive)+1)
	c := fleetCounts{
		atMost:  max(st.rules.Fleet.InstancesAtMost, len(st.list.Instances()), st.mostAlive),
		serving: 1,
	}
	for _, m := range alive {
		if m.State == tarragonwell.MemberServing {
			c.serving++
		}
	}
	return c
}

// recount passes changed counts on to the services.
func (d *documents) recount(st *documentsState) {
	if st.rules == nil {
		return
	}
	counts := d.count(st)
	if counts == st.counts {
		return
	}
	st.counts = counts
	for name, r := range st.running {
		r.service.Configure(st.rules.Services[name], counts.atMost, counts.serving)
	}
}

func (st *documentsState) removeServices() []*runningService {
	var removed []*runningService
	for name, r := range st.running {
		if st.rules.Services[name] == nil {
			removed = append(removed, r)
			delete(st.running, name)
		}
	}
	return removed
}

func (d *documents) startService(ctx context.Context, services *sync.WaitGroup, rule *tarragonwell.Service, counts fleetCounts, targets []tarragonwell.ListedTarget) *runningService {
	ctx, stop := context.WithCancel(ctx)
	s := service.New(service.Options{
		Common:               d.common,
		Dialect:              d.targets,
		ServiceRule:          rule,
		InstanceCount:        counts.atMost,
		ServingInstanceCount: counts.serving,
		Targets:              targets,
		AnnounceLeaving:      d.peers.AnnounceLeaving,
		AnnounceSuspect:      d.peers.AnnounceSuspect,
		RequestConfirmation: func() {
			d.mailbox.TryPost(confirmRequest{})
		},
	})
	services.Go(func() {
		s.Run(ctx)
	})
	// Peers may have told of targets that leave before the rules came.
	for k, until := range d.peers.Snapshot().Leaving {
		if k.Service == rule.Name {
			s.MarkLeaving(k.ID, until, "peer")
		}
	}
	return &runningService{
		service: s,
		stop:    stop,
	}
}
