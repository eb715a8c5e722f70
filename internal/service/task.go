// Package service speaks to one service through its targets. One task per
// service owns the scheduler and the targets' tasks; callers' goroutines carry
// the calls themselves.
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
	mailboxSize = 4096
	// pollInterval is how often waiting calls are looked at while there are any
	// and nothing else happens.
	pollInterval = 2 * time.Millisecond
	// suspectScan is how often silent targets are looked for, at most.
	suspectScan = 10 * time.Millisecond
	// pulseInterval is the longest time between two turns of the task, unless
	// the process was paused.
	pulseInterval = 250 * time.Millisecond
	// pauseLimit is the pause after which the targets are confirmed first.
	pauseLimit = time.Second
	// confirmLimit is how long a confirmation is waited for.
	confirmLimit = time.Second
	// leavingBelieved is how long a word that a target leaves holds without the
	// platform's confirmation.
	leavingBelieved = 30 * time.Second
	// leavingRetold is how often a target's own word is passed on again while it
	// holds, for instances that start meanwhile.
	leavingRetold = 10 * time.Second
)

// ErrStopped means that the service is no longer in the rules.
var ErrStopped = eris.New("the service has stopped")

// Options configures a Service.
type Options struct {
	Common *common.Dependencies
	// Dialect is how targets are spoken to; nil for the system's own.
	Dialect     tarragonwell.TargetDialect
	ServiceRule *tarragonwell.Service
	// InstanceCount is the highest known number of instances in the fleet.
	InstanceCount int
	// ServingInstanceCount is the number of instances that serve now, as far as is known.
	ServingInstanceCount int
	// Targets is the platform's list at the start.
	Targets []tarragonwell.ListedTarget
	// AnnounceLeaving passes on that a target said it leaves; it must not block.
	AnnounceLeaving func(service, id string, until time.Time)
	// AnnounceSuspect passes on that a target has fallen silent or fails; it must not
	// block.
	AnnounceSuspect func(service, id string, until time.Time)
	// RequestConfirmation asks for a new reading of the list, after which Resume is called;
	// it must not block.
	RequestConfirmation func()
}

// Dispatcher is the task of one service. Make it with New and run it.
type Dispatcher struct {
	options Options
	mailbox *task.Mailbox[any]
	// nextID numbers the requests for targets.
	nextID  atomic.Uint64
	metrics metricSet
}

// state is owned by the task.
type state struct {
	rule      *tarragonwell.Service
	instances int
	// policy names the chooser in use.
	policy    string
	scheduler *scheduling.Scheduler
	prober    tarragonwell.ProbingPolicy
	handles   map[string]*handle
	waiting   map[uint64]chan<- decision
	// told is when a target's word that it leaves was last passed on.
	told map[string]time.Time
	// turn is when the task last ran, and uptime the same by a clock that goes on
	// while the machine is suspended.
	turn   time.Time
	uptime time.Duration
	// scanned is when silent targets were last looked for.
	scanned time.Time
}

// handle is a running target task.
type handle struct {
	target *target.Client
	stop   context.CancelFunc
}

// New returns a service that isn't running yet.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		mailbox: task.NewMailbox[any](mailboxSize),
		metrics: newMetricSet(o.Common.Metrics, o.ServiceRule.Name),
	}
}

// SetTargets takes in the platform's list of the service's targets.
func (s *Dispatcher) SetTargets(list []tarragonwell.ListedTarget) {
	s.mailbox.Post(targetsMessage{
		targets: list,
	})
}

// Configure takes in a changed rule or other counts of instances.
func (s *Dispatcher) Configure(rule *tarragonwell.Service, instances, sharers int) {
	s.mailbox.Post(configureMessage{
		service:   rule,
		instances: instances,
		sharers:   sharers,
	})
}

// MarkLeaving takes in a peer's word that a target leaves.
func (s *Dispatcher) MarkLeaving(id string, until time.Time, from string) {
	s.mailbox.Post(leavingMessage{
		id:    id,
		until: until,
		from:  from,
	})
}

// ConfirmTargets says that the targets have been confirmed after a pause.
func (s *Dispatcher) ConfirmTargets() {
	s.mailbox.Post(resumeMessage{})
}

// MarkSuspect takes in a peer's word that a target has fallen silent.
func (s *Dispatcher) MarkSuspect(id string, until time.Time) {
	s.mailbox.Post(suspectMessage{
		id:    id,
		until: until,
	})
}

// Status reports on the service.
func (s *Dispatcher) Status(ctx context.Context) (Status, error) {
	return task.Ask(ctx, s.mailbox, func(reply chan<- Status) any {
		return statusMessage{
			reply: reply,
		}
	})
}

// Run owns the scheduler and the targets until ctx ends.
func (s *Dispatcher) Run(ctx context.Context) {
	var targets sync.WaitGroup
	st := s.start()
	defer s.mailbox.MarkStopped()
	defer targets.Wait()
	s.setTargets(ctx, st, &targets, s.options.Targets)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	pulse := time.NewTicker(pulseInterval)
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pulse.C:
			s.noticePause(st)
		case m := <-s.mailbox.Receive():
			s.noticePause(st)
			s.handle(ctx, st, &targets, m)
			if st.scheduler.Queued() > 0 {
				s.poll(st)
				s.surveyForWaiting(ctx, st.turn, st)
				timer.Reset(pollInterval)
			}
		case <-timer.C:
			s.noticePause(st)
			s.poll(st)
			if st.scheduler.Queued() > 0 {
				s.surveyForWaiting(ctx, st.turn, st)
				timer.Reset(pollInterval)
			}
		}
	}
}

// noticePause holds all grants back when the process was paused: until the
// targets are confirmed, it would act on an old view of the world.
func (s *Dispatcher) noticePause(st *state) {
	now := s.options.Common.Clock.Now()
	uptime := s.options.Common.Clock.Uptime()
	gap := uptime - st.uptime
	st.turn = now
	st.uptime = uptime
	if gap <= pauseLimit || !control.Enabled(control.PauseCheck) {
		return
	}
	st.scheduler.SuspendGrants(now.Add(confirmLimit))
	s.options.Common.Log.Warn("paused", "service", st.rule.Name, "for", gap)
	if s.options.RequestConfirmation != nil {
		s.options.RequestConfirmation()
	}
}

func (s *Dispatcher) start() *state {
	st := &state{
		rule:      s.options.ServiceRule,
		policy:    s.options.ServiceRule.Policy,
		instances: s.options.InstanceCount,
		handles:   map[string]*handle{},
		waiting:   map[uint64]chan<- decision{},
		told:      map[string]time.Time{},
		turn:      s.options.Common.Clock.Now(),
		uptime:    s.options.Common.Clock.Uptime(),
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

func (s *Dispatcher) handle(ctx context.Context, st *state, targets *sync.WaitGroup, message any) {
	now := s.options.Common.Clock.Now()
	switch m := message.(type) {
	case acquireMessage:
		s.acquired(now, st, m)
		s.tellSuspects(now, st)
	case abandonMessage:
		st.scheduler.Cancel(m.id)
		delete(st.waiting, m.id)
		m.reply <- struct{}{}
	case releaseMessage:
		st.scheduler.Release(now, m.release)
		if m.release.Leaving {
			s.leaving(now, st, m.release.TargetID, now.Add(leavingBelieved), m.release.TargetID)
		}
	case target.ProbeReport:
		s.probed(now, st, m)
	case surveyMessage:
		m.reply <- st.surveyed(now, m)
	case targetsMessage:
		s.setTargets(ctx, st, targets, m.targets)
	case configureMessage:
		s.configure(st, m)
	case leavingMessage:
		s.leaving(now, st, m.id, m.until, m.from)
	case suspectMessage:
		st.scheduler.MarkSuspect(now, m.id, m.until)
	case resumeMessage:
		st.scheduler.ResumeGrants()
	case statusMessage:
		m.reply <- s.status(now, st)
	}
}

func (s *Dispatcher) acquired(now time.Time, st *state, m acquireMessage) {
	d := st.scheduler.Acquire(now, m.request)
	if st.prober != nil {
		s.sendProbes(now, st)
	}
	if d.Grant == nil && d.Rejection == nil {
		st.waiting[m.request.ID] = m.reply
		return
	}
	m.reply <- st.decide(d)
}

// decide adds the target's handle to a grant.
func (st *state) decide(d scheduling.Decision) decision {
	out := decision{
		Decision: d,
	}
	if d.Grant != nil {
		out.handle = st.handles[d.Grant.TargetID].target
	}
	return out
}

// poll answers the waiting calls whose turn or end has come.
func (s *Dispatcher) poll(st *state) {
	for _, d := range st.scheduler.Poll(s.options.Common.Clock.Now()) {
		id := uint64(0)
		if d.Grant != nil {
			id = d.Grant.ID
		} else {
			id = d.Rejection.ID
		}
		if reply, ok := st.waiting[id]; ok {
			delete(st.waiting, id)
			reply <- st.decide(d)
		}
	}
}

func (s *Dispatcher) configure(st *state, m configureMessage) {
	st.rule = m.service
	st.instances = m.instances
	o := scheduling.Options{
		ServiceRule:          m.service,
		InstanceName:         s.options.Common.Settings.Name,
		DataCenter:           s.options.Common.Settings.DataCenter,
		ServingInstanceCount: m.sharers,
		InstanceCount:        m.instances,
	}
	if m.service.Policy != st.policy {
		o.Chooser = policy.New(m.service.Policy, common.NewRandom())
		st.prober, _ = o.Chooser.(tarragonwell.ProbingPolicy)
		st.policy = m.service.Policy
	}
	st.scheduler.Configure(o)
	st.configureProbes()
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

func (s *Dispatcher) change(event, target, from string) {
	s.options.Common.RecordChange(tarragonwell.AuditRecord{
		Event:      event,
		LearntFrom: from,
		Detail:     s.options.ServiceRule.Name + " " + target,
	})
}
