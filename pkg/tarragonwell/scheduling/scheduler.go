// Package scheduling decides, for one service on one instance, which call goes to which
// target and when. It queues and rejects calls, limits concurrency, budgets retries and
// placement probes, and ejects failing targets. A placement probe is a load probe that
// is sent on behalf of a call that is about to be placed or is queued. The list of
// targets comes from the platform, the operators' service that publishes the rules and
// the lists of targets and instances; an instance only reads from it.
//
// The package does no I/O, and its methods are passed the current time. A Scheduler
// is not safe for concurrent use; it is owned by the service's task, which is a
// goroutine that receives messages.
package scheduling

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/warmup"
)

// Options configures a Scheduler.
type Options struct {
	// ServiceRule is the rule on the service whose calls are placed.
	ServiceRule *tarragonwell.Service
	// InstanceName determines which targets are preferred.
	InstanceName string
	DataCenter   string
	// Policy is the load-balancing policy that chooses the targets.
	Policy tarragonwell.Policy
	// ServingInstanceCount is the number of instances known to be serving, at least 1.
	// It determines the instance's fair share of the slots, not its budgets.
	ServingInstanceCount int
	// BudgetDivisor is the highest known number of instances, by which the budgets of
	// the fleet are divided; 0 counts as 1.
	BudgetDivisor int
	// WarmUpOvershoot and WarmUpSlack bound the calls to a target that is warming up: in
	// any second at most Service.WarmUpRate times WarmUpOvershoot plus WarmUpSlack, from
	// all instances together. They are not bounded if both are 0.
	WarmUpOvershoot float64
	WarmUpSlack     float64
}

// Scheduler places the calls of one instance to one service.
type Scheduler struct {
	options Options
	// targets is ordered by ID.
	targets []*tarragonwell.TargetState
	// undrained is the number of targets that are not drained.
	undrained int
	queue     admission.Queue
	limiter   admission.Limiter
	retries   admission.RetryBudget
	// placementProbeLimiter keeps placement probes within the probe budget.
	placementProbeLimiter *rate.Limiter
	// placementProbeRate and placementProbeBurst are the limits of placementProbeLimiter
	// from its next use on.
	placementProbeRate  rate.Limit
	placementProbeBurst int
	lastQueueProbe      time.Time
	kinds               map[string]*kindStats
	// inFlight is the number of attempts in flight at all targets, including removed
	// ones. A call that is hedged counts twice.
	inFlight int
	// inFlightLong is the number of attempts of long calls in inFlight.
	inFlightLong     int
	meanShortLatency time.Duration
	// meanExternalCalls is the smoothed number of calls of other instances per
	// target, over the local targets, or over all targets if overflow is disabled.
	meanExternalCalls float64
	// meanRemoteExternalCalls is the same for targets of other data centres.
	meanRemoteExternalCalls float64
	// meanReportedSlowdown is the smoothed mean of the slowdowns in the responses to
	// placement probes or, without these, of all reported ones; 0 before the first report.
	meanReportedSlowdown float64
	// shortDemand is the demand of short calls, which long calls leave room for.
	shortDemand demandMeter
	// grantRate is the rate of grants to queued calls.
	grantRate rateMeter
	// eligible is a buffer that is reused between calls.
	eligible []*tarragonwell.TargetState
	// lastJoinSequence is the sequence number of the latest target to join.
	lastJoinSequence uint64
	// leavers are the targets that reported that they are leaving.
	leavers leaverMemory
	// warmUp limits the calls to targets that are warming up.
	warmUp warmup.Limiter
	// grantsSuspendedUntil is the time until which no call is granted a target;
	// zero if grants are not suspended.
	grantsSuspendedUntil time.Time
}

// New returns a scheduler without targets.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options:               o,
		kinds:                 map[string]*kindStats{},
		placementProbeLimiter: rate.NewLimiter(0, 0),
	}
	s.configureBudgets()
	return s
}

// configureBudgets sets the instance's share of the fleet's budgets.
func (s *Scheduler) configureBudgets() {
	service := s.options.ServiceRule
	s.retries.Ratio = service.RetryRatio
	s.retries.Slack = service.RetrySlack / float64(max(1, s.options.BudgetDivisor))
	s.configurePlacementProbes()
	s.configureWarmUp()
}

// Configure applies a changed rule, or changes of the budget divisor or of the number of
// serving instances. If Policy is nil, the current one is kept.
func (s *Scheduler) Configure(o Options) {
	if o.Policy == nil {
		o.Policy = s.options.Policy
	}
	s.options = o
	s.configureBudgets()
	for _, t := range s.targets {
		t.Slots = s.slotsOf(t)
	}
}

// Acquire grants a call a target, rejects it or queues it. Poll returns the decisions
// on queued calls. The estimated wait in the load snapshot of a rejection depends on
// the kind only.
func (s *Scheduler) Acquire(now time.Time, r AcquireRequest) Decision {
	return s.withLoadSnapshot(&admission.PendingCall{
		Kind: r.Kind,
	}, s.decide(now, r))
}

func (s *Scheduler) decide(now time.Time, r AcquireRequest) Decision {
	if !now.Before(r.Deadline) {
		return reject(r.ID, ReasonDeadline, 0)
	}
	if r.MayBeCutOff || r.MustFinish && now.Add(s.expectedTime(r.Kind)).After(r.Deadline) {
		return reject(r.ID, ReasonDeadline, 0)
	}
	if r.LightlyLoadedOnly && !s.lightlyLoadedInReach(now, r) {
		// The call asks again and counts then.
		return reject(r.ID, ReasonBusy, 0)
	}
	if !s.countAttempt(r) {
		return reject(r.ID, ReasonRetryBudget, 0)
	}
	p := &admission.PendingCall{
		ID:                r.ID,
		Kind:              r.Kind,
		Deadline:          r.Deadline,
		Exclude:           r.Exclude,
		SpareCapacityOnly: r.SpareCapacityOnly,
	}
	s.setQueueTimeout(now, p, r.CallerTimeLeft)
	// Queued calls of other classes do not block this one unless it is late: they may
	// wait for targets that it does not need.
	if s.queue.ClassLen(p) == 0 && (r.SpareCapacityOnly || !s.queue.MustYield(p)) {
		if g := s.tryGrant(now, p); g != nil {
			return Decision{
				Grant: g,
			}
		}
	}
	if r.SpareCapacityOnly {
		return reject(r.ID, ReasonBusy, 0)
	}
	return s.enqueue(now, p)
}

// countAttempt counts an attempt in the retry budget: first attempts add to it, also those
// that are rejected later, and others take from it. It returns false if the budget is spent.
func (s *Scheduler) countAttempt(r AcquireRequest) bool {
	if r.Retry {
		return s.retries.TryWithdraw()
	}
	s.retries.Deposit()
	return true
}

// enqueue queues a call, or rejects it if it could not be served in time.
func (s *Scheduler) enqueue(now time.Time, p *admission.PendingCall) Decision {
	if s.onlyWarmUpLimited(now) {
		return reject(p.ID, ReasonWarmingUp, s.warmUpRetryAfter(now))
	}
	if s.noneAccepts(now) || len(s.eligibleTargets(now, p)) == 0 && !s.trialPending(now) {
		return s.rejectNoTargets(now, p)
	}
	wait := s.estimatedWait(p)
	if now.Add(wait + s.requiredTime(p.Kind)).After(p.Deadline) {
		return reject(p.ID, ReasonDeadline, s.retryAfter(now, p))
	}
	if !p.QueueDeadline.IsZero() && !now.Before(p.QueueDeadline) {
		return reject(p.ID, ReasonLatencyObjective, s.retryAfter(now, p))
	}
	if !s.queue.Push(p) {
		return reject(p.ID, ReasonQueueFull, s.retryAfter(now, p))
	}
	return Decision{}
}

// rejectNoTargets rejects a call because no target accepts it.
func (s *Scheduler) rejectNoTargets(now time.Time, p *admission.PendingCall) Decision {
	reason := ReasonNoTargets
	if len(s.targets) > 0 && s.undrained == 0 {
		reason = ReasonDrained
	}
	return reject(p.ID, reason, s.noTargetsRetryAfter(now))
}

func reject(id uint64, reason string, retryAfter time.Duration) Decision {
	return Decision{
		Rejection: &Rejection{
			ID:         id,
			Reason:     reason,
			RetryAfter: retryAfter,
		},
	}
}

// Cancel removes a request from the queue after its caller disconnected. It reports
// whether the request was queued.
func (s *Scheduler) Cancel(id uint64) bool {
	removed := s.queue.Remove(func(p *admission.PendingCall) bool {
		return p.ID == id
	})
	return len(removed) > 0
}

// Poll rejects queued calls that can no longer meet their deadline or whose
// queue timeout has passed, and grants targets to the others as far as there is
// room. If no target accepts calls any more, it rejects all, and if all that do are warming
// up, those for which there is no room now.
func (s *Scheduler) Poll(now time.Time) []Decision {
	if s.queue.Len() == 0 {
		return nil
	}
	var decisions []Decision
	if s.noneAccepts(now) {
		for _, p := range s.queue.Remove(func(*admission.PendingCall) bool { return true }) {
			decisions = append(decisions, s.withLoadSnapshot(p, s.rejectNoTargets(now, p)))
		}
		return decisions
	}
	for _, p := range s.queue.Remove(func(p *admission.PendingCall) bool { return s.missesDeadline(now, p) }) {
		decisions = append(decisions, s.withLoadSnapshot(p, reject(p.ID, ReasonDeadline, s.retryAfter(now, p))))
	}
	for _, p := range s.queue.Remove(func(p *admission.PendingCall) bool { return p.QueueTimedOut(now) }) {
		decisions = append(decisions, s.withLoadSnapshot(p, reject(p.ID, ReasonLatencyObjective, s.retryAfter(now, p))))
	}
	s.queue.Serve(func(p *admission.PendingCall) bool {
		g := s.tryGrant(now, p)
		if g == nil {
			return false
		}
		s.grantRate.count(now)
		decisions = append(decisions, Decision{
			Grant: g,
		})
		return true
	})
	if s.queue.Len() > 0 && s.onlyWarmUpLimited(now) {
		for _, p := range s.queue.Remove(func(*admission.PendingCall) bool { return true }) {
			decisions = append(decisions, s.withLoadSnapshot(p, reject(p.ID, ReasonWarmingUp, s.warmUpRetryAfter(now))))
		}
	}
	return decisions
}

func (s *Scheduler) missesDeadline(now time.Time, p *admission.PendingCall) bool {
	return now.Add(s.requiredTime(p.Kind)).After(p.Deadline)
}

// Queued returns the number of calls in the queue.
func (s *Scheduler) Queued() int {
	return s.queue.Len()
}

// InFlight returns the number of attempts in flight at targets.
func (s *Scheduler) InFlight() int {
	return s.inFlight
}

// Limit returns the current limit on attempts in flight.
func (s *Scheduler) Limit() float64 {
	return s.limiter.Limit(s.totalSlots())
}

// SuspendGrants stops granting targets until the given time or until ResumeGrants is
// called. It is used when the state of the targets may be badly outdated. Calls are
// queued in the meantime.
func (s *Scheduler) SuspendGrants(until time.Time) {
	s.grantsSuspendedUntil = until
}

// ResumeGrants ends a suspension.
func (s *Scheduler) ResumeGrants() {
	s.grantsSuspendedUntil = time.Time{}
}

// tryGrant selects a target for a call. It returns nil if none has room, if the
// concurrency limit is reached or while grants are suspended.
func (s *Scheduler) tryGrant(now time.Time, p *admission.PendingCall) *Grant {
	if now.Before(s.grantsSuspendedUntil) {
		return nil
	}
	targets := s.eligibleTargets(now, p)
	if len(targets) == 0 || float64(s.undrainedInFlight()) >= s.Limit() {
		return nil
	}
	i := s.options.Policy.Choose(now, s.choiceInput(p), targets)
	if i < 0 {
		return nil
	}
	trial := s.recordStart(now, targets[i], p.Kind)
	return &Grant{
		SendWithin:   s.takeWarmUpToken(now, targets[i]),
		Trial:        trial,
		Basis:        s.basis(now, targets[i], len(targets), p),
		ID:           p.ID,
		TargetID:     targets[i].ID,
		JoinSequence: targets[i].JoinSequence,
		HedgeAfter:   s.hedgeDelay(now, p),
	}
}

func (s *Scheduler) basis(now time.Time, t *tarragonwell.TargetState, eligible int, p *admission.PendingCall) Basis {
	b := Basis{
		Eligible:         eligible,
		InFlight:         t.InFlight,
		TotalCalls:       float64(t.InFlight) + t.ExternalCalls,
		ReportedSlowdown: t.ReportedSlowdown,
		ReportAge:        -1,
		Late:             p.Late,
	}
	if !t.LoadReportedAt.IsZero() {
		b.ReportAge = now.Sub(t.LoadReportedAt)
	}
	return b
}

// withLoadSnapshot adds the instance's load on the service to a rejection.
func (s *Scheduler) withLoadSnapshot(p *admission.PendingCall, d Decision) Decision {
	if d.Rejection != nil {
		d.Rejection.LoadSnapshot = LoadSnapshot{
			InFlight:      s.inFlight,
			Limit:         s.Limit(),
			Queued:        s.queue.Len(),
			EstimatedWait: s.estimatedWait(p),
		}
	}
	return d
}

// choiceInput returns the policy's input for a call. In services with MaxUtilization,
// which no call may exceed, BelowFairShare is never set.
func (s *Scheduler) choiceInput(p *admission.PendingCall) tarragonwell.ChoiceInput {
	return tarragonwell.ChoiceInput{
		Kind:                    p.Kind,
		MeanShortLatency:        s.meanShortLatency,
		MeanExternalCalls:       s.meanExternalCalls,
		Ramp:                    s.options.ServiceRule.Ramp,
		BelowFairShare:          !p.SpareCapacityOnly && s.options.ServiceRule.MaxUtilization == 0 && s.belowFairShare(p.Kind),
		MaxUtilization:          s.maxUtilization(p),
		OverflowEnabled:         s.options.ServiceRule.OverflowUtilization > 0,
		MeanRemoteExternalCalls: s.meanRemoteExternalCalls,
		MeanReportedSlowdown:    s.meanReportedSlowdown,
	}
}
