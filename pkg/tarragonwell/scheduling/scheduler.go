// Package scheduling decides, for one service on one instance, which call goes
// to which target and when. It is pure: it is told the time, opens no sockets
// and is owned by one task.
package scheduling

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// Options configures a Scheduler.
type Options struct {
	ServiceRule *tarragonwell.Service
	// InstanceName names the instance; it decides which targets are preferred.
	InstanceName string
	DataCenter   string
	Chooser      tarragonwell.Policy
	// ServingInstanceCount is the number of instances that serve now, as far as is known; at
	// least 1. It guides preference only.
	ServingInstanceCount int
	// InstanceCount is the highest known number of instances, by which the fleet's
	// budgets are divided; 0 counts as 1.
	InstanceCount int
}

// Scheduler holds what one instance knows of one service.
type Scheduler struct {
	options Options
	// targets is ordered by ID.
	targets []*tarragonwell.TargetState
	queue   admission.Queue
	limiter admission.Limiter
	retries admission.RetryBudget
	// surveys bounds the questions to targets, within the probe budget.
	surveys            *rate.Limiter
	surveyedForWaiting time.Time
	kinds              map[string]*kindStats
	// inFlight is the sum over all targets, those that left included.
	inFlight int
	// inFlightLong is the part of inFlight that is long, at most inFlight.
	inFlightLong int
	shortLatency time.Duration
	meanOthers   float64
	// meanOthersFar is the same at targets of other data centres.
	meanOthersFar float64
	// meanSlowness is over all reports; 0 before the first.
	meanSlowness float64
	// shortDemand is what long work makes room for.
	shortDemand demandMeter
	// grants measures the rate of grants while calls wait.
	grants rateMeter
	// eligible is reused between calls.
	eligible []*tarragonwell.TargetState
	// joins counts the targets that have joined.
	joins uint64
	// suspendedUntil holds all grants back; zero for never.
	suspendedUntil time.Time
}

// AcquireRequest asks for a target.
type AcquireRequest struct {
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// CallerTimeLeft is how long the caller still waits; 0 where it does not tell.
	CallerTimeLeft time.Duration
	// Exclude lists the IDs of targets that the call has tried.
	Exclude []string
	// Retry marks a further attempt, which the retry budget must allow.
	Retry bool
	// SpareCapacityOnly refuses the call where calls wait or no target has room, as for
	// hedges: under load they would take slots from first attempts.
	SpareCapacityOnly bool
}

// Grant gives a waiting or new call a target.
type Grant struct {
	ID uint64
	// TargetID is the target's ID.
	TargetID string
	// JoinSequence is the target's, for the Release.
	JoinSequence uint64
	// HedgeAfter is the time after which a second target may be tried.
	HedgeAfter time.Duration
	Basis      Basis
}

// Basis is what a target was chosen by, for logs.
type Basis struct {
	// Eligible is the number of targets that could have been chosen.
	Eligible int
	// InFlight is the instance's own calls at the target, this one included.
	InFlight int
	// TotalCalls estimates all calls at the target, as Slowness does the time that
	// work takes there in parts of the usual, by a report of the age ReportAge.
	TotalCalls       float64
	ReportedSlowdown float64
	ReportAge        time.Duration
	// Late says that the call could not meet its objective any more.
	Late bool
}

// Rejection ends a call before it was sent.
type Rejection struct {
	ID     uint64
	Reason string
	// RetryAfter is when the service may have room.
	RetryAfter   time.Duration
	LoadSnapshot LoadSnapshot
}

// LoadSnapshot is how busy the service was when a call was refused, for logs.
type LoadSnapshot struct {
	InFlight int
	Limit    float64
	Queued   int
	// EstimatedWait is the estimated wait of a new call.
	EstimatedWait time.Duration
}

// Reasons told to callers.
const (
	ReasonNoTargets        = "no target of the service takes work"
	ReasonDeadline         = "the deadline can't be met"
	ReasonLatencyObjective = "no target gets free within the objective"
	ReasonQueueFull        = "the queue is full"
	ReasonRetryBudget      = "the retry budget is spent"
	ReasonBusy             = "no target is free"
)

// Decision is the answer to a Request. Neither field is set while the call
// waits.
type Decision struct {
	Grant     *Grant
	Rejection *Rejection
}

// New returns a scheduler without targets.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o,
		kinds:   map[string]*kindStats{},
		surveys: rate.NewLimiter(0, 0),
	}
	s.configureBudgets()
	return s
}

// configureBudgets sets the instance's part of the fleet's budgets.
func (s *Scheduler) configureBudgets() {
	service := s.options.ServiceRule
	s.retries.Ratio = service.RetryRatio
	s.retries.Slack = service.RetrySlack / float64(max(1, s.options.InstanceCount))
	s.configureSurveys()
}

// Configure takes in a changed rule or a new count of instances.
func (s *Scheduler) Configure(o Options) {
	if o.Chooser == nil {
		o.Chooser = s.options.Chooser
	}
	s.options = o
	s.configureBudgets()
	for _, t := range s.targets {
		t.Slots = s.slotsOf(t)
	}
}

// Acquire decides on a call at once, or lets it wait.
func (s *Scheduler) Acquire(now time.Time, r AcquireRequest) Decision {
	return s.stated(&admission.PendingCall{
		Kind: r.Kind,
	}, s.decide(now, r))
}

func (s *Scheduler) decide(now time.Time, r AcquireRequest) Decision {
	if !now.Before(r.Deadline) {
		return refuse(r.ID, ReasonDeadline, 0)
	}
	if r.Retry {
		if !s.retries.TryWithdraw() {
			return refuse(r.ID, ReasonRetryBudget, 0)
		}
	} else {
		s.retries.Deposit()
	}
	w := &admission.PendingCall{
		ID:                r.ID,
		Kind:              r.Kind,
		Deadline:          r.Deadline,
		Exclude:           r.Exclude,
		SpareCapacityOnly: r.SpareCapacityOnly,
	}
	s.setPatience(now, w, r.CallerTimeLeft)
	// Other kinds may wait for targets that this one does not need.
	if s.queue.ClassLen(w) == 0 && (r.SpareCapacityOnly || !s.queue.MustYield(w)) {
		if g := s.tryGrant(now, w); g != nil {
			return Decision{
				Grant: g,
			}
		}
	}
	if r.SpareCapacityOnly {
		return refuse(r.ID, ReasonBusy, 0)
	}
	return s.enqueue(now, w)
}

// enqueue lets a call wait unless it could not be served in time.
func (s *Scheduler) enqueue(now time.Time, w *admission.PendingCall) Decision {
	if len(s.usable(now, w)) == 0 {
		return refuse(w.ID, ReasonNoTargets, noTargetsRetryAfter)
	}
	wait := s.estimatedWait(w)
	if now.Add(wait + s.expected(w.Kind)).After(w.Deadline) {
		return refuse(w.ID, ReasonDeadline, s.retryAfter(now, w))
	}
	if !w.QueueDeadline.IsZero() && !now.Before(w.QueueDeadline) {
		return refuse(w.ID, ReasonLatencyObjective, s.retryAfter(now, w))
	}
	if !s.queue.Push(w) {
		return refuse(w.ID, ReasonQueueFull, s.retryAfter(now, w))
	}
	return Decision{}
}

const noTargetsRetryAfter = time.Second

func refuse(id uint64, reason string, after time.Duration) Decision {
	return Decision{
		Rejection: &Rejection{
			ID:         id,
			Reason:     reason,
			RetryAfter: after,
		},
	}
}

// Cancel takes a call out of the queue whose caller has left. It reports
// whether the call was waiting.
func (s *Scheduler) Cancel(id uint64) bool {
	dropped := s.queue.Remove(func(w *admission.PendingCall) bool {
		return w.ID == id
	})
	return len(dropped) > 0
}

// Poll serves waiting calls as far as there is room and refuses those that can
// no longer meet their deadline.
func (s *Scheduler) Poll(now time.Time) []Decision {
	if s.queue.Len() == 0 {
		return nil
	}
	var out []Decision
	for _, w := range s.queue.Remove(func(w *admission.PendingCall) bool { return s.tooLate(now, w) }) {
		out = append(out, s.stated(w, refuse(w.ID, ReasonDeadline, s.retryAfter(now, w))))
	}
	for _, w := range s.queue.Remove(func(w *admission.PendingCall) bool { return w.QueueTimedOut(now) }) {
		out = append(out, s.stated(w, refuse(w.ID, ReasonLatencyObjective, s.retryAfter(now, w))))
	}
	s.queue.Serve(func(w *admission.PendingCall) bool {
		g := s.tryGrant(now, w)
		if g == nil {
			return false
		}
		s.grants.count(now)
		out = append(out, Decision{
			Grant: g,
		})
		return true
	})
	return out
}

func (s *Scheduler) tooLate(now time.Time, w *admission.PendingCall) bool {
	return now.Add(s.expected(w.Kind)).After(w.Deadline)
}

// Queued returns the number of calls in the queue.
func (s *Scheduler) Queued() int {
	return s.queue.Len()
}

// InFlight returns the number of calls at targets.
func (s *Scheduler) InFlight() int {
	return s.inFlight
}

// Limit returns the present limit on calls in flight.
func (s *Scheduler) Limit() float64 {
	return s.limiter.Limit(s.slots())
}

// SuspendGrants holds all grants back, because what is known of the targets may be
// long out of date. Resume, or the time given, ends this.
func (s *Scheduler) SuspendGrants(until time.Time) {
	s.suspendedUntil = until
}

// ResumeGrants lets grants go on.
func (s *Scheduler) ResumeGrants() {
	s.suspendedUntil = time.Time{}
}

// tryGrant picks a target for a call, or returns nil to hold it.
func (s *Scheduler) tryGrant(now time.Time, w *admission.PendingCall) *Grant {
	if now.Before(s.suspendedUntil) {
		return nil
	}
	usable := s.usable(now, w)
	if len(usable) == 0 || float64(s.inFlight) >= s.Limit() {
		return nil
	}
	i := s.options.Chooser.Choose(now, s.choiceInput(w), usable)
	if i < 0 {
		return nil
	}
	s.begin(now, usable[i], w.Kind)
	return &Grant{
		Basis:        s.basis(now, usable[i], len(usable), w),
		ID:           w.ID,
		TargetID:     usable[i].ID,
		JoinSequence: usable[i].JoinSequence,
		HedgeAfter:   s.hedgeDelay(now, w),
	}
}

func (s *Scheduler) basis(now time.Time, t *tarragonwell.TargetState, candidates int, w *admission.PendingCall) Basis {
	b := Basis{
		Eligible:         candidates,
		InFlight:         t.InFlight,
		TotalCalls:       float64(t.InFlight) + t.ExternalCalls,
		ReportedSlowdown: t.ReportedSlowdown,
		ReportAge:        -1,
		Late:             w.Late,
	}
	if !t.LoadReportedAt.IsZero() {
		b.ReportAge = now.Sub(t.LoadReportedAt)
	}
	return b
}

// stated adds the state of the service to a refused decision.
func (s *Scheduler) stated(w *admission.PendingCall, d Decision) Decision {
	if d.Rejection != nil {
		d.Rejection.LoadSnapshot = LoadSnapshot{
			InFlight:      s.inFlight,
			Limit:         s.Limit(),
			Queued:        s.queue.Len(),
			EstimatedWait: s.estimatedWait(w),
		}
	}
	return d
}

func (s *Scheduler) choiceInput(w *admission.PendingCall) tarragonwell.ChoiceInput {
	return tarragonwell.ChoiceInput{
		Kind:                    w.Kind,
		MeanShortLatency:        s.shortLatency,
		MeanExternalCalls:       s.meanOthers,
		Ramp:                    s.options.ServiceRule.Ramp,
		BelowFairShare:          !w.SpareCapacityOnly && s.options.ServiceRule.MaxUtilization == 0 && s.entitled(w.Kind),
		MaxUtilization:          s.fillOf(w),
		OverflowEnabled:         s.options.ServiceRule.OverflowUtilization > 0,
		MeanRemoteExternalCalls: s.meanOthersFar,
		MeanReportedSlowdown:    s.meanSlowness,
	}
}
