package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// maxOccupancyPerSlot is the estimated occupancy up to which a target is given
	// calls, relative to its slots. It is above 1 to keep the slots busy while a
	// response and the next call are in transit. MaxUtilization, if set, takes its
	// place in hasRoom, but not in rampLimit.
	maxOccupancyPerSlot = 1.4
	// choiceSampleSize is the number of targets that are compared per call. Choosing
	// the best of a small sample rather than of all targets prevents herding.
	choiceSampleSize = 4
	// remotePenalty is added to the cost of targets of other data centres. 0.15
	// weighs as much as 15 % of a target's slots in use.
	remotePenalty = 0.15
	// failurePenalty is the relative cost increase of a target that fails every call.
	failurePenalty = 8
	// minReportDecay is the minimum time constant with which load reports decay.
	minReportDecay = 20 * time.Millisecond
	// reportDecayLatencies is the time constant with which load reports decay, in
	// mean latencies.
	reportDecayLatencies = 2
	// minUnresponsiveTime is the minimum time without a response after which a target
	// counts as unresponsive.
	minUnresponsiveTime = 25 * time.Millisecond
	// unresponsiveLatencies is the time without a response after which a target with
	// one call in flight counts as unresponsive, in mean latencies. It is divided by
	// the number of calls in flight, since it is less likely that all of them are
	// merely slow.
	unresponsiveLatencies = 6
	// minUnresponsiveLatencies is the lower bound of the quotient.
	minUnresponsiveLatencies = 2.5
	// maxTrustedObservedSlowdown is the observed slowdown above which a target's own
	// load report is not trusted.
	maxTrustedObservedSlowdown = 1.5
	// maxObservedSlowdownFactor limits the factor by which an observed slowdown
	// increases a target's cost.
	maxObservedSlowdownFactor = 20
	// minLocalTargets is the number of local targets below which kinds with
	// CrossDataCenter set, whose responses are small, also use remote targets.
	minLocalTargets = 4
	// minPreferredTargets is the number of preferred targets below which other local
	// targets are used too. To place a call, only targets with room are counted;
	// NearestTargets counts all that it is passed.
	minPreferredTargets = 6
	// minPreferredRemoteTargets is the number of preferred remote targets below which
	// other remote targets are used too.
	minPreferredRemoteTargets = 4
	// maxPlacementProbeAge is the maximum age of a response to a placement probe at
	// which its target is always compared, in addition to the random sample, and a
	// remote target counts as local. The scheduler's placementProbeTTL, after which the
	// target may be probed again, is shorter.
	maxPlacementProbeAge = 40 * time.Millisecond
	// reportedSlowdownDecay is the time constant with which a reported slowdown decays
	// towards the mean. Slow periods are short.
	reportedSlowdownDecay = 120 * time.Millisecond
	// maxIdleReportAge is the age at which load reports are stale for an instance that has
	// no calls in flight.
	maxIdleReportAge = 500 * time.Millisecond
	// warmUpPenalty is added to the cost of a target until the end of its warm-up, if
	// the service's targets report slowdowns. 1 weighs as much as a machine at half
	// its normal speed.
	warmUpPenalty = 1
)

// AdaptivePolicy is the default policy. It estimates the occupied slots of each target
// from the instance's own calls and the target's load reports, which decay with age. It
// uses the nearest targets while these have room: those of the local data centre and,
// among these, the preferred ones, because load reports of few targets are fresher than
// those of many. If all targets appear to be full, it queues calls unless the instance
// is below its fair share of the slots. Slow, failing and unresponsive targets lose
// traffic regardless of their reports.
type AdaptivePolicy struct {
	Random *rand.Rand
	// candidates contains indexes into targets: those of the tier that is being
	// considered. It is reused between calls to avoid allocations.
	candidates []int
}

// Choose implements tarragonwell.Policy.
func (p *AdaptivePolicy) Choose(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	responsive := func(t *tarragonwell.TargetState) bool {
		return !Unresponsive(now, t, in.MeanShortLatency)
	}
	for _, tier := range preferenceTiers(now, in) {
		if p.collect(targets, func(t *tarragonwell.TargetState) bool { return tier.matches(t) && responsive(t) }) >= tier.minTargets {
			return p.bestOfSample(now, in, targets)
		}
	}
	if p.collect(targets, responsive) == 0 {
		return p.fewestInFlight(targets)
	}
	if reportsAreStale(now, targets) && p.collect(targets, responsive) > 0 {
		return p.bestOfSample(now, in, targets)
	}
	if !in.BelowFairShare || p.collect(targets, func(t *tarragonwell.TargetState) bool {
		return responsive(t) && t.InFlight < rampLimit(now, t, in.Ramp)
	}) == 0 {
		return -1
	}
	return p.bestOfSample(now, in, targets)
}

// collect sets the candidates to the targets for which matches returns true and
// returns their number.
func (p *AdaptivePolicy) collect(targets []*tarragonwell.TargetState, matches func(*tarragonwell.TargetState) bool) int {
	p.candidates = p.candidates[:0]
	for i, t := range targets {
		if matches(t) {
			p.candidates = append(p.candidates, i)
		}
	}
	return len(p.candidates)
}

// bestOfSample returns the candidate with the lowest cost among those that have
// responded to a placement probe within maxPlacementProbeAge and a random sample, drawn
// without replacement.
func (p *AdaptivePolicy) bestOfSample(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	best := -1
	bestCost := math.Inf(1)
	for _, i := range p.candidates {
		if now.Sub(targets[i].PlacementProbedAt) > maxPlacementProbeAge {
			continue
		}
		if candidateCost := cost(now, targets[i], in); candidateCost < bestCost {
			best = i
			bestCost = candidateCost
		}
	}
	for n := range min(choiceSampleSize, len(p.candidates)) {
		j := n + intN(p.Random, len(p.candidates)-n)
		p.candidates[n], p.candidates[j] = p.candidates[j], p.candidates[n]
		i := p.candidates[n]
		if candidateCost := cost(now, targets[i], in); candidateCost < bestCost {
			best = i
			bestCost = candidateCost
		}
	}
	return best
}

// reportsAreStale reports whether the instance has no calls in flight at any of the targets and
// none has reported its load within maxIdleReportAge. Some call has to be sent then: the
// estimates would stay as they are for good, and with them the decision to queue calls.
func reportsAreStale(now time.Time, targets []*tarragonwell.TargetState) bool {
	for _, t := range targets {
		if t.InFlight > 0 || now.Sub(t.LoadReportedAt) < maxIdleReportAge {
			return false
		}
	}
	return true
}

// fewestInFlight returns the target with the fewest own calls in flight, or -1 if its
// slots are full. It is used if every target is unresponsive: some call has to be
// sent, because a recovery would go unnoticed otherwise.
func (p *AdaptivePolicy) fewestInFlight(targets []*tarragonwell.TargetState) int {
	best := intN(p.Random, len(targets))
	for i, t := range targets {
		if t.InFlight < targets[best].InFlight {
			best = i
		}
	}
	if targets[best].InFlight >= targets[best].Slots {
		return -1
	}
	return best
}

// Unresponsive reports whether a target has short calls in flight and has not
// responded to any for several mean latencies.
func Unresponsive(now time.Time, t *tarragonwell.TargetState, mean time.Duration) bool {
	calls := t.InFlight - t.InFlightLong
	if calls <= 0 || t.LastProgress.IsZero() {
		return false
	}
	latencies := max(minUnresponsiveLatencies, unresponsiveLatencies/float64(calls))
	return now.Sub(t.LastProgress) > max(minUnresponsiveTime, time.Duration(latencies*float64(mean)))
}

// Occupancy estimates the number of calls at a target: the instance's own, and those of
// other instances according to the target's load report. As the report ages, the
// estimate decays from it to the target's smoothed reports.
//
// With overflow enabled, the estimate for a remote target decays to the mean of all
// remote targets instead, because load reports of these are infrequent. Reports of
// targets that are observed to be slow are not trusted: the estimate is then at least
// the mean.
func Occupancy(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	mean, typical := in.MeanExternalCalls, t.SmoothedExternalCalls
	if !t.Local && in.OverflowEnabled {
		mean, typical = in.MeanRemoteExternalCalls, in.MeanRemoteExternalCalls
	}
	if t.LoadReportedAt.IsZero() {
		return float64(t.InFlight) + mean
	}
	decay := max(minReportDecay, reportDecayLatencies*in.MeanShortLatency)
	weight := math.Exp(-float64(now.Sub(t.LoadReportedAt)) / float64(decay))
	external := t.ExternalCalls*weight + typical*(1-weight)
	if t.ObservedSlowdown > maxTrustedObservedSlowdown {
		external = max(external, mean)
	}
	return float64(t.InFlight) + external
}

// hasRoom reports whether a target is estimated to have room for one more call.
func hasRoom(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) bool {
	if t.InFlight >= rampLimit(now, t, in.Ramp) {
		return false
	}
	if in.MaxUtilization > 0 {
		return Occupancy(now, t, in)+1 <= max(1, in.MaxUtilization*float64(t.Slots))
	}
	return Occupancy(now, t, in) < float64(t.Slots)*maxOccupancyPerSlot
}

// rampLimit returns the maximum number of the instance's own calls in flight at a
// target: maxOccupancyPerSlot times the slots. During the slow start of a new, recovered
// or returning target, it rises linearly from 1 to that number. Before the slow start, when
// the target is a last resort, it is 1.
func rampLimit(now time.Time, t *tarragonwell.TargetState, ramp time.Duration) int {
	full := int(math.Ceil(float64(t.Slots) * maxOccupancyPerSlot))
	ramp = max(ramp, t.MinRamp)
	age := max(0, now.Sub(t.RampStart))
	if ramp <= 0 || age >= ramp {
		return full
	}
	return 1 + int(float64(full-1)*float64(age)/float64(ramp))
}

// cost returns the cost of placing a call on a target; the lowest is best.
func cost(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	if in.MeanReportedSlowdown > 0 {
		return costFromReports(now, t, in)
	}
	slowdown := 1.0
	if t.ObservedSlowdown > 0 {
		slowdown = min(maxObservedSlowdownFactor, max(0.5, t.ObservedSlowdown))
	}
	total := (Occupancy(now, t, in) + 1) / float64(t.Slots) * slowdown
	total *= 1 + failurePenalty*t.FailureRate
	if !t.Local {
		total += remotePenalty
	}
	return total
}

// costFromReports returns the cost of placing a call on a target of a service whose
// targets report the slowdown of their machines: the service time relative to the
// normal one, as defined by the target, plus the share of occupied slots.
func costFromReports(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	slowdown := in.MeanReportedSlowdown
	if t.ReportedSlowdown > 0 {
		weight := math.Exp(-float64(now.Sub(t.LoadReportedAt)) / float64(reportedSlowdownDecay))
		slowdown = t.ReportedSlowdown*weight + in.MeanReportedSlowdown*(1-weight)
	}
	total := slowdown + Occupancy(now, t, in)/float64(t.Slots)
	if now.Before(t.WarmUpUntil) {
		total += warmUpPenalty
	}
	total *= 1 + failurePenalty*t.FailureRate
	if !t.Local {
		total += remotePenalty
	}
	return total
}
