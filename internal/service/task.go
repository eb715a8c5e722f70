// Package service dispatches the calls to one service to its targets. One task per
// service, that is, a goroutine that owns its state and receives messages through a
// mailbox, owns the scheduler and the targets' tasks. Each call runs in its own
// goroutine: it leases a target from the task, sends the call, hedges or retries it,
// streams the response and returns the lease.
//
// The service's targets are those on the list of the platform, the operators' service
// that publishes the rules and the lists of targets and instances. An instance only
// reads from it.
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
	// resyncTimeout is the maximum wait for that confirmation. Calls are placed
	// without it afterwards.
	resyncTimeout = time.Second
)

// ErrStopped means that the service's task has ended, because the service is no longer
// in the rules or the instance is stopping.
var ErrStopped = eris.New("the service has stopped")

// Options configures a Dispatcher.
type Options struct {
	Common *common.Dependencies
	// Dialect is the protocol dialect of the targets; nil for the default one.
	Dialect tarragonwell.TargetDialect
	// ServiceRule is the service's rule from the rules in force.
	ServiceRule *tarragonwell.Service
	// BudgetDivisor is the highest known number of instances in the fleet, by which the
	// fleet's budgets and the connections to each target are divided.
	BudgetDivisor int
	// ServingInstanceCount is the known number of instances that are serving.
	ServingInstanceCount int
	// Fleet is the initial view of the fleet.
	Fleet tarragonwell.FleetView
	// Targets is the platform's initial list.
	Targets []tarragonwell.ListedTarget
	// AnnounceLeaving announces to the peers that a target reports that it is leaving:
	// it completes its calls and accepts no new ones. It must not block, and returns
	// false if the announcement has to be repeated. Nil for no announcements.
	AnnounceLeaving func(tarragonwell.LeavingTarget) bool
	// AnnounceSuspect announces to the peers that a target is unresponsive or ejected.
	// It must not block. Nil for no announcements.
	AnnounceSuspect func(service, id string, expiresAt time.Time)
	// RequestResync requests a new read of the platform's list, after which
	// ConfirmTargets is called. It must not block. Nil for no resync.
	RequestResync func()
}

// Dispatcher dispatches the calls to one service. Create it with New and start its task
// with Run.
type Dispatcher struct {
	options Options
	mailbox *task.Mailbox[any]
	// nextID is the source of scheduling.AcquireRequest.ID.
	nextID  atomic.Uint64
	metrics metricSet
}

// state is the state that the task owns.
type state struct {
	serviceRule   *tarragonwell.Service
	budgetDivisor int
	// policyName is the name of the policy in use.
	policyName string
	scheduler  *scheduling.Scheduler
	// probingPolicy is nil if the policy sends no probes of its own.
	probingPolicy tarragonwell.ProbingPolicy
	// handles is keyed by target ID.
	handles map[string]*targetHandle
	// queued holds the reply channels of the requests in the scheduler's queue, by
	// request ID.
	queued map[uint64]chan<- acquireReply
	// unannounced holds the leaving targets, by ID, whose announcement has to be
	// repeated.
	unannounced map[string]tarragonwell.LeavingTarget
	// warming holds the IDs of the targets that were warming up at the last check.
	warming map[string]bool
	// lastRun is when the task last ran.
	lastRun time.Time
	// lastUptime is the Clock.Uptime at lastRun.
	lastUptime time.Duration
	// suspectsCheckedAt is when the task last checked for suspected targets.
	suspectsCheckedAt time.Time
}

// targetHandle refers to a running target task.
type targetHandle struct {
	target *target.Client
	stop   context.CancelFunc
	// drained is set if the target's client was last told that it is drained.
	drained bool
}

// New returns a dispatcher whose task has not been started.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		mailbox: task.NewMailbox[any](mailboxSize),
		metrics: newMetricSet(o.Common.Metrics, o.ServiceRule.Name),
	}
}

// SetTargets replaces the service's targets by the platform's list.
func (dr *Dispatcher) SetTargets(list []tarragonwell.ListedTarget) {
	dr.mailbox.Post(targetsMessage{
		targets: list,
	})
}

// Configure applies a changed rule, or changes of the budget divisor or of the number
// of serving instances. Clients of targets that are already running keep the path of
// their probes; a changed one applies to targets that join later.
func (dr *Dispatcher) Configure(rule *tarragonwell.Service, budgetDivisor, servingInstanceCount int) {
	dr.mailbox.Post(configureMessage{
		serviceRule:          rule,
		budgetDivisor:        budgetDivisor,
		servingInstanceCount: servingInstanceCount,
	})
}

// SetFleet replaces the view of the fleet, which determines whether this instance may send
// calls to targets that are warming up.
func (dr *Dispatcher) SetFleet(v tarragonwell.FleetView) {
	dr.mailbox.Post(fleetMessage{
		view: v,
	})
}

// MarkLeaving passes on an announcement that a target is leaving. from is its source,
// for the audit trail.
func (dr *Dispatcher) MarkLeaving(announced tarragonwell.LeavingTarget, from string) {
	dr.mailbox.Post(leavingMessage{
		announced: announced,
		from:      from,
	})
}

// ConfirmTargets reports that the list of targets has been confirmed after a pause of
// the process, and lets the scheduler place calls again.
func (dr *Dispatcher) ConfirmTargets() {
	dr.mailbox.Post(targetsConfirmedMessage{})
}

// MarkSuspect passes on a peer's announcement, effective until expiresAt, that a target
// is unresponsive or ejected.
func (dr *Dispatcher) MarkSuspect(id string, expiresAt time.Time) {
	dr.mailbox.Post(suspectMessage{
		id:        id,
		expiresAt: expiresAt,
	})
}

// Status returns a snapshot of the service.
func (dr *Dispatcher) Status(ctx context.Context) (Status, error) {
	return task.Ask(ctx, dr.mailbox, func(reply chan<- Status) any {
		return statusMessage{
			reply: reply,
		}
	})
}

// Run runs the task, which owns the scheduler and the targets, until ctx ends.
func (dr *Dispatcher) Run(ctx context.Context) {
	var targetTasks sync.WaitGroup
	st := dr.newState()
	defer dr.mailbox.MarkStopped()
	defer targetTasks.Wait()
	// The targets' tasks end with this task, also if it panics.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dr.setTargets(ctx, st, &targetTasks, dr.options.Targets)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	pauseTicker := time.NewTicker(pauseCheckInterval)
	defer pauseTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pauseTicker.C:
			dr.detectPause(st)
			dr.announceLeaving(st)
			dr.logWarmUps(st)
		case m := <-dr.mailbox.Receive():
			dr.detectPause(st)
			dr.handleMessage(ctx, st, &targetTasks, m)
			if st.scheduler.Queued() > 0 {
				dr.pollScheduler(st)
				dr.probeForQueued(ctx, st.lastRun, st)
				timer.Reset(pollInterval)
			}
		case <-timer.C:
			dr.detectPause(st)
			dr.pollScheduler(st)
			if st.scheduler.Queued() > 0 {
				dr.probeForQueued(ctx, st.lastRun, st)
				timer.Reset(pollInterval)
			}
		}
	}
}

// detectPause suspends all grants if the process was paused, until the list of
// targets is confirmed or the timeout passes: the list may be badly outdated.
func (dr *Dispatcher) detectPause(st *state) {
	now := dr.options.Common.Clock.Now()
	uptime := dr.options.Common.Clock.Uptime()
	gap := uptime - st.lastUptime
	st.lastRun = now
	st.lastUptime = uptime
	if gap <= pauseThreshold || !control.Enabled(control.PauseCheck) {
		return
	}
	st.scheduler.SuspendGrants(now.Add(resyncTimeout))
	st.scheduler.RecordPause(now)
	dr.options.Common.Log.Warn("paused", "service", st.serviceRule.Name, "for", gap)
	if dr.options.RequestResync != nil {
		dr.options.RequestResync()
	}
}

// newState returns the task's state at the start.
func (dr *Dispatcher) newState() *state {
	st := &state{
		serviceRule:   dr.options.ServiceRule,
		policyName:    dr.options.ServiceRule.Policy,
		budgetDivisor: dr.options.BudgetDivisor,
		handles:       map[string]*targetHandle{},
		queued:        map[uint64]chan<- acquireReply{},
		unannounced:   map[string]tarragonwell.LeavingTarget{},
		warming:       map[string]bool{},
		lastRun:       dr.options.Common.Clock.Now(),
		lastUptime:    dr.options.Common.Clock.Uptime(),
	}
	initialPolicy := policy.New(st.serviceRule.Policy, common.NewRandom())
	st.probingPolicy, _ = initialPolicy.(tarragonwell.ProbingPolicy)
	st.scheduler = scheduling.New(scheduling.Options{
		ServiceRule:          st.serviceRule,
		InstanceName:         dr.options.Common.Settings.Name,
		DataCenter:           dr.options.Common.Settings.DataCenter,
		Policy:               initialPolicy,
		ServingInstanceCount: dr.options.ServingInstanceCount,
		BudgetDivisor:        dr.options.BudgetDivisor,
		WarmUpOvershoot:      dr.options.Common.Settings.Budgets.WarmUpOvershoot,
		WarmUpSlack:          dr.options.Common.Settings.Budgets.WarmUpSlack,
	})
	st.scheduler.SetFleet(st.lastRun, dr.options.Fleet)
	dr.logWarmUpLimit(st)
	return st
}

func (dr *Dispatcher) handleMessage(ctx context.Context, st *state, targetTasks *sync.WaitGroup, message any) {
	now := dr.options.Common.Clock.Now()
	switch m := message.(type) {
	case acquireMessage:
		dr.handleAcquire(now, st, m)
		dr.announceSuspects(now, st)
	case cancelMessage:
		st.scheduler.Cancel(m.id)
		delete(st.queued, m.id)
		m.reply <- struct{}{}
	case releaseMessage:
		st.scheduler.Release(now, m.release)
	case target.NoticeReport:
		dr.handleNotice(now, st, m)
	case target.ProbeReport:
		dr.handleProbeReport(now, st, m)
	case placementProbeMessage:
		m.reply <- st.placementProbeTargets(now, m)
	case targetsMessage:
		dr.setTargets(ctx, st, targetTasks, m.targets)
	case configureMessage:
		dr.configure(st, m)
	case fleetMessage:
		st.scheduler.SetFleet(now, m.view)
	case leavingMessage:
		dr.markLeaving(now, st, m)
	case suspectMessage:
		st.scheduler.MarkSuspect(now, m.id, m.expiresAt)
	case targetsConfirmedMessage:
		st.scheduler.ResumeGrants()
	case statusMessage:
		m.reply <- dr.status(now, st)
	}
}

// handleAcquire requests a decision from the scheduler and replies with it. If the
// scheduler has queued the request, handleAcquire keeps the reply channel instead.
func (dr *Dispatcher) handleAcquire(now time.Time, st *state, m acquireMessage) {
	d := st.scheduler.Acquire(now, m.request)
	if st.probingPolicy != nil {
		dr.sendPolicyProbes(now, st)
	}
	if d.Grant == nil && d.Rejection == nil {
		st.queued[m.request.ID] = m.reply
		return
	}
	m.reply <- st.withTarget(d)
}

// withTarget adds the target to a decision that has a grant.
func (st *state) withTarget(d scheduling.Decision) acquireReply {
	out := acquireReply{
		Decision:      d,
		grantedAt:     st.lastRun,
		grantedUptime: st.lastUptime,
	}
	if d.Grant != nil {
		out.target = st.handles[d.Grant.TargetID].target
	}
	return out
}

// pollScheduler replies to the queued requests that have been granted or rejected.
func (dr *Dispatcher) pollScheduler(st *state) {
	for _, d := range st.scheduler.Poll(dr.options.Common.Clock.Now()) {
		id := uint64(0)
		if d.Grant != nil {
			id = d.Grant.ID
		} else {
			id = d.Rejection.ID
		}
		if reply, ok := st.queued[id]; ok {
			delete(st.queued, id)
			reply <- st.withTarget(d)
		}
	}
}

func (dr *Dispatcher) configure(st *state, m configureMessage) {
	rateChanged := m.serviceRule.WarmUpRate != st.serviceRule.WarmUpRate
	st.serviceRule = m.serviceRule
	st.budgetDivisor = m.budgetDivisor
	o := scheduling.Options{
		ServiceRule:          m.serviceRule,
		InstanceName:         dr.options.Common.Settings.Name,
		DataCenter:           dr.options.Common.Settings.DataCenter,
		ServingInstanceCount: m.servingInstanceCount,
		BudgetDivisor:        m.budgetDivisor,
		WarmUpOvershoot:      dr.options.Common.Settings.Budgets.WarmUpOvershoot,
		WarmUpSlack:          dr.options.Common.Settings.Budgets.WarmUpSlack,
	}
	if m.serviceRule.Policy != st.policyName {
		o.Policy = policy.New(m.serviceRule.Policy, common.NewRandom())
		st.probingPolicy, _ = o.Policy.(tarragonwell.ProbingPolicy)
		st.policyName = m.serviceRule.Policy
	}
	st.scheduler.Configure(o)
	if rateChanged {
		dr.logWarmUpLimit(st)
	}
	st.configureProbeIntervals()
	for _, h := range st.handles {
		h.target.SetConnections(st.connections())
	}
}

func (dr *Dispatcher) status(now time.Time, st *state) Status {
	out := Status{
		Name:     st.serviceRule.Name,
		Policy:   st.serviceRule.Policy,
		InFlight: st.scheduler.InFlight(),
		Queued:   st.scheduler.Queued(),
		Limit:    st.scheduler.Limit(),
		WarmUps:  st.scheduler.WarmUps(now),
		Now:      now,
	}
	for _, t := range st.scheduler.Targets() {
		out.Targets = append(out.Targets, *t)
	}
	return out
}

// recordChange records a change of a target in the audit trail and the log.
func (dr *Dispatcher) recordChange(event, target, from string) {
	dr.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      event,
		LearntFrom: from,
		Detail:     dr.options.ServiceRule.Name + " " + target,
	})
}
