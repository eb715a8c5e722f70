// Package scheduling decides, for one service on one instance, which call goes
// to which target and when. It is pure: it is told the time, opens no sockets
// and is owned by one task.
package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// Options configures a Scheduler.
type Options struct {
	Service    *tarragonwell.Service
	DataCenter string
	Chooser    tarragonwell.Chooser
	// Sharers is the number of instances that serve now, as far as is known; at
	// least 1. It guides preference only.
	Sharers int
}

// Scheduler holds what one instance knows of one service.
type Scheduler struct {
	options Options
	// targets is ordered by address.
	targets []*tarragonwell.TargetState
	queue   admission.Queue
	limiter admission.Limiter
	retries admission.RetryBudget
	kinds   map[string]*kindStats
	// inFlight is the sum over all targets, those that left included.
	inFlight int
	// inFlightLong is the part of inFlight that is long, at most inFlight.
	inFlightLong int
	shortLatency time.Duration
	meanOthers   float64
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

// Request asks for a target.
type Request struct {
	ID       uint64
	Kind     *tarragonwell.Kind
	Deadline time.Time
	// Exclude lists targets that the call has tried.
	Exclude []string
	// Retry marks a further attempt, which the retry budget must allow.
	Retry bool
	// NoWait refuses the call where it would have to wait, as for hedges.
	NoWait bool
}

// Grant gives a waiting or new call a target.
type Grant struct {
	ID     uint64
	Target string
	// Join is the target's, for the Release.
	Join uint64
	// HedgeAfter is the time after which a second target may be tried.
	HedgeAfter time.Duration
}

// Refusal ends a call before it was sent.
type Refusal struct {
	ID     uint64
	Reason string
	// RetryAfter is when the service may have room.
	RetryAfter time.Duration
}

// Reasons told to callers.
const (
	ReasonNoTargets = "no target of the service takes work"
	ReasonDeadline  = "the deadline can't be met"
	ReasonQueueFull = "the queue is full"
	ReasonRetries   = "the retry budget is spent"
	ReasonBusy      = "no target is free"
)

// Decision is the answer to a Request. Neither field is set while the call
// waits.
type Decision struct {
	Grant   *Grant
	Refusal *Refusal
}

// New returns a scheduler without targets.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o,
		kinds:   map[string]*kindStats{},
	}
	s.retries.Ratio = o.Service.RetryRatio
	return s
}

// Configure takes in a changed rule or a new count of instances.
func (s *Scheduler) Configure(o Options) {
	if o.Chooser == nil {
		o.Chooser = s.options.Chooser
	}
	s.options = o
	s.retries.Ratio = o.Service.RetryRatio
	for _, t := range s.targets {
		t.Slots = o.Service.Slots
	}
}

// SetTargets takes in the platform's list of the service's targets and returns
// the addresses that are new and those that are gone.
func (s *Scheduler) SetTargets(now time.Time, list []tarragonwell.ListedTarget) (joined, left []string) {
	listed := map[string]tarragonwell.ListedTarget{}
	for _, l := range list {
		listed[l.Address] = l
	}
	first := len(s.targets) == 0
	s.targets = slices.DeleteFunc(s.targets, func(t *tarragonwell.TargetState) bool {
		_, keep := listed[t.Address]
		if !keep {
			left = append(left, t.Address)
		}
		return !keep
	})
	for _, l := range list {
		if s.find(l.Address) == nil {
			s.join(now, l, first)
			joined = append(joined, l.Address)
		}
		s.find(l.Address).ListedLeaving = l.Leaving
	}
	s.rank()
	return joined, left
}

// join adds a target. At the start of the instance all targets are taken as
// warm, for the rest of the fleet has used them before.
func (s *Scheduler) join(now time.Time, l tarragonwell.ListedTarget, warm bool) {
	s.joins++
	t := &tarragonwell.TargetState{
		Address:    l.Address,
		Join:       s.joins,
		DataCenter: l.DataCenter,
		Local:      l.DataCenter == s.options.DataCenter,
		Slots:      s.options.Service.Slots,
	}
	if !warm {
		t.RampFrom = now
	}
	s.targets = append(s.targets, t)
}

// rank orders the targets for long work by rendezvous hashing, which moves few
// of them when one joins or leaves.
func (s *Scheduler) rank() {
	byHash := slices.Clone(s.targets)
	weight := func(t *tarragonwell.TargetState) uint64 {
		return xxhash.Sum64String(s.options.Service.Name + " " + t.Address)
	}
	slices.SortFunc(byHash, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(weight(a), weight(b))
	})
	for i, t := range byHash {
		t.LongRank = i
	}
	slices.SortFunc(s.targets, func(a, b *tarragonwell.TargetState) int {
		return cmp.Compare(a.Address, b.Address)
	})
}

// MarkLeaving takes in the word of a target or peer that a target leaves. It
// reports whether this is news.
func (s *Scheduler) MarkLeaving(now time.Time, address string, until time.Time) bool {
	t := s.find(address)
	if t == nil {
		return false
	}
	news := !t.Leaving(now)
	if until.After(t.LeavingUntil) {
		t.LeavingUntil = until
	}
	return news
}

// Acquire decides on a call at once, or lets it wait.
func (s *Scheduler) Acquire(now time.Time, r Request) Decision {
	if r.Retry {
		if !s.retries.Spend() {
			return refuse(r.ID, ReasonRetries, 0)
		}
	} else {
		s.retries.Earn()
	}
	w := &admission.Waiter{
		ID:       r.ID,
		Kind:     r.Kind,
		Deadline: r.Deadline,
		Exclude:  r.Exclude,
		Since:    now,
	}
	// Other kinds may wait for targets that this one does not need.
	if s.queue.LenOf(r.Kind) == 0 || r.NoWait {
		if g := s.tryGrant(now, w); g != nil {
			return Decision{
				Grant: g,
			}
		}
	}
	if r.NoWait {
		return refuse(r.ID, ReasonBusy, 0)
	}
	return s.enqueue(now, w)
}

// enqueue lets a call wait unless it could not be served in time.
func (s *Scheduler) enqueue(now time.Time, w *admission.Waiter) Decision {
	if len(s.usable(now, w)) == 0 {
		return refuse(w.ID, ReasonNoTargets, noTargetsRetryAfter)
	}
	wait := s.estimatedWait(w.Kind)
	if now.Add(wait + s.expected(w.Kind)).After(w.Deadline) {
		return refuse(w.ID, ReasonDeadline, wait)
	}
	if !s.queue.Push(w) {
		return refuse(w.ID, ReasonQueueFull, wait)
	}
	return Decision{}
}

const noTargetsRetryAfter = time.Second

func refuse(id uint64, reason string, after time.Duration) Decision {
	return Decision{
		Refusal: &Refusal{
			ID:         id,
			Reason:     reason,
			RetryAfter: after,
		},
	}
}

// Abandon takes a call out of the queue whose caller has left. It reports
// whether the call was waiting.
func (s *Scheduler) Abandon(id uint64) bool {
	dropped := s.queue.Remove(func(w *admission.Waiter) bool {
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
	for _, w := range s.queue.Remove(func(w *admission.Waiter) bool { return s.tooLate(now, w) }) {
		out = append(out, refuse(w.ID, ReasonDeadline, s.estimatedWait(w.Kind)))
	}
	s.queue.Serve(func(w *admission.Waiter) bool {
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

func (s *Scheduler) tooLate(now time.Time, w *admission.Waiter) bool {
	return now.Add(s.expected(w.Kind)).After(w.Deadline)
}

// Waiting returns the number of calls in the queue.
func (s *Scheduler) Waiting() int {
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

// slots counts the slots of all targets.
func (s *Scheduler) slots() int {
	return len(s.targets) * s.options.Service.Slots
}

// Targets returns the states, for reports.
func (s *Scheduler) Targets() []*tarragonwell.TargetState {
	return s.targets
}

// Suspend holds all grants back, because what is known of the targets may be
// long out of date. Resume, or the time given, ends this.
func (s *Scheduler) Suspend(until time.Time) {
	s.suspendedUntil = until
}

// Resume lets grants go on.
func (s *Scheduler) Resume() {
	s.suspendedUntil = time.Time{}
}

// tryGrant picks a target for a call, or returns nil to hold it.
func (s *Scheduler) tryGrant(now time.Time, w *admission.Waiter) *Grant {
	if now.Before(s.suspendedUntil) {
		return nil
	}
	usable := s.usable(now, w)
	if len(usable) == 0 || float64(s.inFlight) >= s.Limit() {
		return nil
	}
	i := s.options.Chooser.Choose(now, s.choiceInput(w.Kind), usable)
	if i < 0 {
		return nil
	}
	s.begin(now, usable[i], w.Kind)
	return &Grant{
		ID:         w.ID,
		Target:     usable[i].Address,
		Join:       usable[i].Join,
		HedgeAfter: s.stats(w.Kind).hedgeDelay(),
	}
}

func (s *Scheduler) choiceInput(k *tarragonwell.Kind) tarragonwell.ChoiceInput {
	return tarragonwell.ChoiceInput{
		Kind:         k,
		Latency:      s.stats(k).mean(),
		ShortLatency: s.shortLatency,
		MeanOthers:   s.meanOthers,
		Ramp:         s.options.Service.Ramp,
		Entitled:     s.entitled(k),
	}
}

// entitled reports whether the instance has fewer calls in flight than its share
// of the slots that the kind may use.
func (s *Scheduler) entitled(k *tarragonwell.Kind) bool {
	sharers := max(1, s.options.Sharers)
	if k.Long {
		return float64(s.inFlightLong*sharers) < s.longShare(k)*float64(s.slots())
	}
	return s.inFlight*sharers < s.slots()
}

// usable lists the targets that may take a call of the waiter's kind. A call
// that has tried some goes to another one, if need be outside of the kind's
// share; where nothing is left, the exclusions and ejections do not count.
func (s *Scheduler) usable(now time.Time, w *admission.Waiter) []*tarragonwell.TargetState {
	fresh := func(t *tarragonwell.TargetState) bool {
		return !ejected(now, t) && !slices.Contains(w.Exclude, t.Address)
	}
	s.filter(func(t *tarragonwell.TargetState) bool { return s.mayTake(now, t, w.Kind) && fresh(t) })
	if len(s.eligible) == 0 && len(w.Exclude) > 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return !t.Leaving(now) && fresh(t) })
	}
	if len(s.eligible) == 0 {
		s.filter(func(t *tarragonwell.TargetState) bool { return s.mayTake(now, t, w.Kind) })
	}
	return s.eligible
}

// filter sets eligible to the targets that keep returns true for.
func (s *Scheduler) filter(keep func(*tarragonwell.TargetState) bool) {
	s.eligible = s.eligible[:0]
	for _, t := range s.targets {
		if keep(t) {
			s.eligible = append(s.eligible, t)
		}
	}
}

// mayTake reports whether a target takes work of the kind at all. Long kinds
// are kept to a share of the targets.
func (s *Scheduler) mayTake(now time.Time, t *tarragonwell.TargetState, k *tarragonwell.Kind) bool {
	if t.Leaving(now) {
		return false
	}
	if !k.Long || k.SlotShare >= 1 {
		return true
	}
	share := s.longShare(k)
	if len(s.targets) == 1 {
		return t.InFlightLong < max(1, int(share*float64(t.Slots)))
	}
	return t.LongRank < max(1, int(share*float64(len(s.targets))))
}

// ejected reports whether a target is out for its failures. After the ejection
// one trial call at a time decides.
func ejected(now time.Time, t *tarragonwell.TargetState) bool {
	if t.ConsecutiveFailures < ejectAfter {
		return false
	}
	return now.Before(t.EjectedUntil) || t.InFlight > 0
}

func (s *Scheduler) find(address string) *tarragonwell.TargetState {
	for _, t := range s.targets {
		if t.Address == address {
			return t
		}
	}
	return nil
}
