// Package service dispatches the calls to one service to its targets. One task
// per service owns the scheduler and the targets' tasks. Each call runs in its
// own goroutine: it leases a target from the task, sends the call, hedges or
// retries it, streams the response and returns the lease.
package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/control"
	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

const (
	// mailboxSize is in messages.
	mailboxSize = 4096
	// pollInterval is how often the scheduler is polled while calls are queued and
	// no messages arrive.
	pollInterval = 2 * time.Millisecond
	// suspectCheckInterval is the minimum time between two checks for suspected
	// targets.
	suspectCheckInterval = 10 * time.Millisecond
	// pauseCheckInterval is the longest time that the task sleeps, so that a gap of
	// more than pauseThreshold shows that the process was paused.
	pauseCheckInterval = 250 * time.Millisecond
	// pauseThreshold is the pause after which the list of targets has to be confirmed
	// before calls are placed.
	pauseThreshold = time.Second
	// confirmationTimeout is the maximum wait for that confirmation.
	confirmationTimeout = time.Second
	// leavingTTL is how long a target's report that it is draining stays valid
	// without confirmation by the platform.
	leavingTTL = 30 * time.Second
	// leavingAnnounceInterval is how often the announcement that a target is draining
	// is repeated while the target reports it, for instances that have started in
	// the meantime.
	leavingAnnounceInterval = 10 * time.Second
)

// ErrStopped means that the service is no longer in the rules.
var ErrStopped = eris.New("the service has stopped")

// Options configures a Service.
type Options struct {
	Common *common.Dependencies
	// Dialect is the protocol dialect of the targets; nil for the default one.
	Dialect tarragonwell.TargetDialect
	// ServiceRule is the service's rule from the rules in force.
	ServiceRule *tarragonwell.Service
	// InstanceCount is the highest known number of instances in the fleet, by which the
	// fleet's budgets are divided.
	InstanceCount int
	// ServingInstanceCount is the known number of instances that are serving.
	ServingInstanceCount int
	// Targets is the platform's initial list.
	Targets []tarragonwell.ListedTarget
	// AnnounceLeaving announces to the peers that a target reports that it is
	// draining. It must not block. Nil for no announcements.
	AnnounceLeaving func(service, id string, until time.Time)
	// AnnounceSuspect announces to the peers that a target is unresponsive or
	// failing. It must not block. Nil for no announcements.
	AnnounceSuspect func(service, id string, until time.Time)
	// RequestConfirmation requests a new read of the platform's list, after which
	// Resume is called. It must not block. Nil for no confirmations.
	RequestConfirmation func()
}

// Dispatcher is the task of one service. Create it with New and start it with Run.
type Dispatcher struct {
	options Options
	mailbox *task.Mailbox[any]
	// nextID is the source of scheduling.Request.ID.
	nextID  atomic.Uint64
	metrics metricSet
}

// state is the state that the task owns.
type state struct {
	rule      *tarragonwell.Service
	instances int
	// policy is the name of the chooser in use.
	policy    string
	scheduler *scheduling.Scheduler
	// prober is nil if the chooser sends no probes of its own.
	prober tarragonwell.ProbingPolicy
	// handles is keyed by target ID.
	handles map[string]*targetHandle
	// waiting holds the reply channels of the queued requests, by request ID.
	waiting map[uint64]chan<- decision
	// leavingAnnouncedAt is when a target was last announced as draining, by target
	// ID.
	leavingAnnouncedAt map[string]time.Time
	// lastRun is when the task last ran.
	lastRun time.Time
	// lastUptime is the same by a clock that continues while the machine is
	// suspended.
	lastUptime time.Duration
	// suspectsCheckedAt is when the task last checked for suspected targets.
	suspectsCheckedAt time.Time
}

// targetHandle refers to a running target task.
type targetHandle struct {
	target *target.Client
	stop   context.CancelFunc
}

// New returns a service that is not running yet.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		mailbox: task.NewMailbox[any](mailboxSize),
		metrics: newMetricSet(o.Common.Metrics, o.ServiceRule.Name),
	}
}

// SetTargets replaces the service's targets by the platform's list.
func (s *Dispatcher) SetTargets(list []tarragonwell.ListedTarget) {
	s.mailbox.Post(targetsMessage{
		targets: list,
	})
}

// Configure applies a changed rule or changed instance counts.
func (s *Dispatcher) Configure(rule *tarragonwell.Service, instances, servingInstances int) {
	s.mailbox.Post(configureMessage{
		rule:             rule,
		instances:        instances,
		servingInstances: servingInstances,
	})
}

// MarkLeaving reports an announcement, valid until the given time, that a target
// is draining. From is its source, for the audit trail.
func (s *Dispatcher) MarkLeaving(id string, until time.Time, from string) {
	s.mailbox.Post(leavingMessage{
		id:    id,
		until: until,
		from:  from,
	})
}

// ConfirmTargets reports that the list of targets has been confirmed after a pause, and
// lets the scheduler place calls again.
func (s *Dispatcher) ConfirmTargets() {
	s.mailbox.Post(resumeMessage{})
}

// MarkSuspect reports a peer's announcement, valid until the given time, that a
// target is unresponsive or failing.
func (s *Dispatcher) MarkSuspect(id string, until time.Time) {
	s.mailbox.Post(suspectMessage{
		id:    id,
		until: until,
	})
}

// Status returns a snapshot of the service.
func (s *Dispatcher) Status(ctx context.Context) (Status, error) {
	return task.Ask(ctx, s.mailbox, func(reply chan<- Status) any {
		return statusMessage{
			reply: reply,
		}
	})
}

// Run runs the task, which owns the scheduler and the targets, until ctx ends.
func (s *Dispatcher) Run(ctx context.Context) {
	var targets sync.WaitGroup
	st := s.newState()
	defer s.mailbox.MarkStopped()
	defer targets.Wait()
	s.setTargets(ctx, st, &targets, s.options.Targets)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	pauseTicker := time.NewTicker(pauseCheckInterval)
	defer pauseTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pauseTicker.C:
			s.detectPause(st)
		case m := <-s.mailbox.Receive():
			s.detectPause(st)
			s.handleMessage(ctx, st, &targets, m)
			if st.scheduler.Queued() > 0 {
				s.pollScheduler(st)
				s.probeForWaiting(ctx, st.lastRun, st)
				timer.Reset(pollInterval)
			}
		case <-timer.C:
			s.detectPause(st)
			s.pollScheduler(st)
			if st.scheduler.Queued() > 0 {
				s.probeForWaiting(ctx, st.lastRun, st)
				timer.Reset(pollInterval)
			}
		}
	}
}

// detectPause suspends all grants if the process was paused, until the list of
// targets is confirmed or the timeout passes: the list may be long out of date.
func (s *Dispatcher) detectPause(st *state) {
	now := s.options.Common.Clock.Now()
	uptime := s.options.Common.Clock.Uptime()
	gap := uptime - st.lastUptime
	st.lastRun = now
	st.lastUptime = uptime
	if gap <= pauseThreshold || !control.Enabled(control.PauseCheck) {
		return
	}
	st.scheduler.SuspendGrants(now.Add(confirmationTimeout))
	s.options.Common.Log.Warn("paused", "service", st.rule.Name, "for", gap)
	if s.options.RequestConfirmation != nil {
		s.options.RequestConfirmation()
	}
}

// newState returns the task's state at the start.
func (s *Dispatcher) newState() *state {
	st := &state{
		rule:               s.options.ServiceRule,
		policy:             s.options.ServiceRule.Policy,
		instances:          s.options.InstanceCount,
		handles:            map[string]*targetHandle{},
		waiting:            map[uint64]chan<- decision{},
		leavingAnnouncedAt: map[string]time.Time{},
		lastRun:            s.options.Common.Clock.Now(),
		lastUptime:         s.options.Common.Clock.Uptime(),
	}
	chooser := policy.New(st.rule.Policy, common.NewRandom())
	st.prober, _ = chooser.(tarragonwell.ProbingPolicy)
	st.scheduler = scheduling.New(scheduling.Options{
		ServiceRule:          st.rule,
		InstanceName:         s.options.Common.Settings.Name,
		DataCenter:           s.options.Common.Settings.DataCenter,
		Chooser:              chooser,
		ServingInstanceCount: s.options.ServingInstanceCount,
		InstanceCount:        s.options.InstanceCount,
	})
	return st
}

func (s *Dispatcher) handleMessage(ctx context.Context, st *state, targets *sync.WaitGroup, message any) {
	now := s.options.Common.Clock.Now()
	switch m := message.(type) {
	case acquireMessage:
		s.handleAcquire(now, st, m)
		s.announceSuspects(now, st)
	case cancelMessage:
		st.scheduler.Cancel(m.id)
		delete(st.waiting, m.id)
		m.reply <- struct{}{}
	case releaseMessage:
		st.scheduler.Release(now, m.release)
		if m.release.Leaving {
			s.markTargetLeaving(now, st, m.release.TargetID, now.Add(leavingTTL), m.release.TargetID)
		}
	case target.ProbeReport:
		s.handleProbeReport(now, st, m)
	case placementProbeMessage:
		m.reply <- st.placementProbes(now, m)
	case targetsMessage:
		s.setTargets(ctx, st, targets, m.targets)
	case configureMessage:
		s.configure(st, m)
	case leavingMessage:
		s.markTargetLeaving(now, st, m.id, m.until, m.from)
	case suspectMessage:
		st.scheduler.MarkSuspect(now, m.id, m.until)
	case resumeMessage:
		st.scheduler.ResumeGrants()
	case statusMessage:
		m.reply <- s.status(now, st)
	}
}

// handleAcquire requests a decision from the scheduler, and queues the request if
// there is none yet.
func (s *Dispatcher) handleAcquire(now time.Time, st *state, m acquireMessage) {
	d := st.scheduler.Acquire(now, m.request)
	if st.prober != nil {
		s.sendProbes(now, st)
	}
	if d.Grant == nil && d.Rejection == nil {
		st.waiting[m.request.ID] = m.reply
		return
	}
	m.reply <- st.withTarget(d)
}

// withTarget adds the target to a decision that has a grant.
func (st *state) withTarget(d scheduling.Decision) decision {
	out := decision{
		Decision: d,
	}
	if d.Grant != nil {
		out.target = st.handles[d.Grant.TargetID].target
	}
	return out
}

// pollScheduler replies to the queued requests that have been granted or rejected.
func (s *Dispatcher) pollScheduler(st *state) {
	for _, d := range st.scheduler.Poll(s.options.Common.Clock.Now()) {
		id := uint64(0)
		if d.Grant != nil {
			id = d.Grant.ID
		} else {
			id = d.Rejection.ID
		}
		if reply, ok := st.waiting[id]; ok {
			delete(st.waiting, id)
			reply <- st.withTarget(d)
		}
	}
}

func (s *Dispatcher) configure(st *state, m configureMessage) {
	st.rule = m.rule
	st.instances = m.instances
	o := scheduling.Options{
		ServiceRule:          m.rule,
		InstanceName:         s.options.Common.Settings.Name,
		DataCenter:           s.options.Common.Settings.DataCenter,
		ServingInstanceCount: m.servingInstances,
		InstanceCount:        m.instances,
	}
	if m.rule.Policy != st.policy {
		o.Chooser = policy.New(m.rule.Policy, common.NewRandom())
		st.prober, _ = o.Chooser.(tarragonwell.ProbingPolicy)
		st.policy = m.rule.Policy
	}
	st.scheduler.Configure(o)
	st.configureProbeIntervals()
}

func (s *Dispatcher) status(now time.Time, st *state) Status {
	out := Status{
		Name:     st.rule.Name,
		Policy:   st.rule.Policy,
		InFlight: st.scheduler.InFlight(),
		Queued:   st.scheduler.Queued(),
		Limit:    st.scheduler.Limit(),
		Now:      now,
	}
	for _, t := range st.scheduler.Targets() {
		out.Targets = append(out.Targets, *t)
	}
	return out
}

// recordChange records a change of a target in the audit trail and the log.
func (s *Dispatcher) recordChange(event, target, from string) {
	s.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      event,
		LearntFrom: from,
		Detail:     s.options.ServiceRule.Name + " " + target,
	})
}
