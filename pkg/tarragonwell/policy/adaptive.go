package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// occupancyHeadroom is the estimated occupancy up to which a target is given
	// calls, relative to its slots. It keeps the slots busy while a response and the
	// next call are in transit.
	occupancyHeadroom = 1.4
	// choiceSampleSize is the number of targets that are compared per call. Choosing
	// the best of a small sample rather than of all targets prevents herding.
	choiceSampleSize = 4
	// remotePenalty is the cost of using another data centre, relative to a target's
	// slots.
	remotePenalty = 0.15
	// failurePenalty is the relative cost increase of a target that fails every call.
	failurePenalty = 8
	// minReportDecay is the minimum time constant with which load reports decay.
	minReportDecay = 20 * time.Millisecond
	// reportDecayLatencies is the time constant with which load reports decay, in
	// mean latencies.
	reportDecayLatencies = 2
	// minStallTime is the minimum time without a response that counts as a stall.
	minStallTime = 25 * time.Millisecond
	// stallLatencies is the time without a response that counts as a stall, in mean
	// latencies, with one call in flight. It is divided by the number of calls in
	// flight, since it is less likely that all of them are merely slow.
	stallLatencies    = 6
	minStallLatencies = 2.5
	// maxTrustedSlowdown is the observed slowdown above which a target's own load
	// report is not trusted.
	maxTrustedSlowdown = 1.5
	maxSlowdownFactor  = 20
	// minLocalTargets is the number of local targets below which kinds with
	// CrossDataCenter set, whose responses are small, also use remote targets.
	minLocalTargets = 4
	// minPreferredTargets is the number of preferred targets with room below which
	// other local targets are used too.
	minPreferredTargets = 6
	// minPreferredRemoteTargets is the number of preferred remote targets below which
	// other remote targets are used too.
	minPreferredRemoteTargets = 4
	// maxPlacementProbeAge is how long the response to a placement probe makes a
	// target a candidate.
	maxPlacementProbeAge = 40 * time.Millisecond
	// slowdownDecay is the time constant with which a reported slowdown decays towards
	// the mean. Slow periods are short.
	slowdownDecay = 120 * time.Millisecond
	// warmUpPenalty is the cost of a target that has just started, relative to the
	// normal time of work.
	warmUpPenalty = 1
)

// AdaptiveChooser is the default policy. It estimates the occupied slots of each
// target from the instance's own calls and the target's load reports, which decay with
// age. It prefers targets of the local data centre while they have room, because load
// reports of few targets are fresher than those of many. If all targets appear to be
// full, it queues calls unless the instance is below its fair share of the slots.
// Slow, failing and unresponsive targets lose traffic regardless of their reports.
type AdaptiveChooser struct {
	Random *rand.Rand
	// candidates contains indexes into targets. It is reused between calls to avoid
	// allocations.
	candidates []int
}

// Choose implements tarragonwell.Chooser.
func (c *AdaptiveChooser) Choose(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	responsive := func(t *tarragonwell.TargetState) bool {
		return !Unresponsive(now, t, in.MeanShortLatency)
	}
	for _, tier := range preferenceTiers(now, in) {
		if c.collect(targets, func(t *tarragonwell.TargetState) bool { return tier.matches(t) && responsive(t) }) >= tier.minTargets {
			return c.bestOfSample(now, in, targets)
		}
	}
	if c.collect(targets, responsive) == 0 {
		return c.fewestInFlight(targets)
	}
	if !in.BelowFairShare || c.collect(targets, func(t *tarragonwell.TargetState) bool {
		return responsive(t) && t.InFlight < rampLimit(now, t, in.Ramp)
	}) == 0 {
		return -1
	}
	return c.bestOfSample(now, in, targets)
}

// collect sets the candidates to the targets for which matches returns true and
// returns their number.
func (c *AdaptiveChooser) collect(targets []*tarragonwell.TargetState, matches func(*tarragonwell.TargetState) bool) int {
	c.candidates = c.candidates[:0]
	for i, t := range targets {
		if matches(t) {
			c.candidates = append(c.candidates, i)
		}
	}
	return len(c.candidates)
}

// bestOfSample returns the candidate with the lowest cost among those that have just
// answered a placement probe and a random sample, drawn without replacement.
func (c *AdaptiveChooser) bestOfSample(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	best := -1
	bestCost := math.Inf(1)
	for _, i := range c.candidates {
		if now.Sub(targets[i].PlacementProbedAt) > maxPlacementProbeAge {
			continue
		}
		if candidateCost := cost(now, targets[i], in); candidateCost < bestCost {
			best = i
			bestCost = candidateCost
		}
	}
	for n := range min(choiceSampleSize, len(c.candidates)) {
		j := n + intN(c.Random, len(c.candidates)-n)
		c.candidates[n], c.candidates[j] = c.candidates[j], c.candidates[n]
		i := c.candidates[n]
		if candidateCost := cost(now, targets[i], in); candidateCost < bestCost {
			best = i
			bestCost = candidateCost
		}
	}
	return best
}

// fewestInFlight returns the target with the fewest own calls in flight, or -1 if its
// slots are full. It is used if every target is stalled: some call has to be sent,
// because a recovery would go unnoticed otherwise.
func (c *AdaptiveChooser) fewestInFlight(targets []*tarragonwell.TargetState) int {
	best := intN(c.Random, len(targets))
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

// Unresponsive reports whether a target has short calls in flight and has not responded to
// any for several mean latencies.
func Unresponsive(now time.Time, t *tarragonwell.TargetState, mean time.Duration) bool {
	calls := t.InFlight - t.InFlightLong
	if calls <= 0 || t.LastProgress.IsZero() {
		return false
	}
	latencies := max(minStallLatencies, stallLatencies/float64(calls))
	return now.Sub(t.LastProgress) > max(minStallTime, time.Duration(latencies*float64(mean)))
}

// Occupancy estimates the number of calls at a target. As a load report ages, the
// estimate decays from it to the target's smoothed reports.
//
// Load reports of remote targets are infrequent: the estimate for these decays to the
// mean of all remote targets.
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
	if t.ObservedSlowdown > maxTrustedSlowdown {
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
	return Occupancy(now, t, in) < float64(t.Slots)*occupancyHeadroom
}

// rampLimit returns the maximum number of own calls in flight at a target. It rises
// linearly during the slow start of a new or recovered target.
func rampLimit(now time.Time, t *tarragonwell.TargetState, ramp time.Duration) int {
	full := int(math.Ceil(float64(t.Slots) * occupancyHeadroom))
	age := now.Sub(t.RampStart)
	if ramp <= 0 || age >= ramp {
		return full
	}
	return 1 + int(float64(full-1)*float64(age)/float64(ramp))
}

// cost returns the cost of placing a call on a target; the lowest is best.
func cost(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	if in.MeanReportedSlowdown > 0 {
		return reportedCost(now, t, in)
	}
	slowdown := 1.0
	if t.ObservedSlowdown > 0 {
		slowdown = min(maxSlowdownFactor, max(0.5, t.ObservedSlowdown))
	}
	total := (Occupancy(now, t, in) + 1) / float64(t.Slots) * slowdown
	total *= 1 + failurePenalty*t.FailureRate
	if !t.Local {
		total += remotePenalty
	}
	return total
}

// reportedCost is the cost for targets that report the slowdown of their machines: the
// time of work relative to the normal time, plus the share of occupied slots.
func reportedCost(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	slowdown := in.MeanReportedSlowdown
	if t.ReportedSlowdown > 0 {
		weight := math.Exp(-float64(now.Sub(t.LoadReportedAt)) / float64(slowdownDecay))
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
