package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	// occupancyHeadroom keeps a target's slots busy while an answer and the
	// next call are on the network.
	occupancyHeadroom = 1.4
	// choiceSamples bounds herding: the best of a few, never the best of all.
	choiceSamples = 4
	// remotePenalty is the cost of another data centre, in shares of a target's
	// slots.
	remotePenalty = 0.15
	// failurePenalty is the cost of a target that fails every call.
	failurePenalty = 8
	// minNewsLife is the shortest time over which a load report fades.
	minNewsLife = 20 * time.Millisecond
	// newsLifeLatencies is the time over which a report fades, in mean latencies.
	newsLifeLatencies = 2
	minStall          = 25 * time.Millisecond
	// stallLatencies is how many mean latencies without an answer make a stall,
	// with one call in flight; with several, fewer do, as it is less likely that
	// all of them are merely slow.
	stallLatencies    = 6
	minStallLatencies = 2.5
	// suspectSlowdown is where a target's own report is no longer believed.
	suspectSlowdown = 1.5
	maxSlowdown     = 20
	// enoughNear is the number of targets in the own data centre below which
	// kinds with small answers use the others as well.
	enoughNear = 4
	// enoughPreferred is the number of preferred targets with room that will do.
	enoughPreferred = 6
	// enoughFar is the number of preferred targets of other data centres that
	// will do.
	enoughFar = 4
	// askedLately is the age up to which the answer of a target that was asked
	// makes it a candidate.
	askedLately = 40 * time.Millisecond
	// slownessLife is the time over which a report of slowness fades towards the
	// mean: spells are short.
	slownessLife = 120 * time.Millisecond
	// coldPenalty is the cost of a target that has just started, in parts of the
	// usual time of work.
	coldPenalty = 1
)

// AdaptiveChooser is the default. It estimates how many slots of each target
// are taken, by its own calls and by the faded reports of the targets. It keeps
// to the targets of its own data centre while they have room, for news of few
// targets is fresher than news of many. Above its share of the slots it holds a
// call while all targets seem full. Slow, failing and silent targets lose their
// traffic whatever they report.
type AdaptiveChooser struct {
	Random *rand.Rand
	// candidates is reused between calls.
	candidates []int
}

// Choose implements tarragonwell.Chooser.
func (c *AdaptiveChooser) Choose(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	awake := func(t *tarragonwell.TargetState) bool {
		return !Unresponsive(now, t, in.MeanShortLatency)
	}
	for _, x := range tiersOf(now, in) {
		if c.collect(targets, func(t *tarragonwell.TargetState) bool { return x.keep(t) && awake(t) }) >= x.least {
			return c.bestOfSample(now, in, targets)
		}
	}
	if c.collect(targets, awake) == 0 {
		return c.leastOwn(targets)
	}
	if !in.BelowFairShare || c.collect(targets, func(t *tarragonwell.TargetState) bool {
		return awake(t) && t.InFlight < rampLimit(now, t, in.Ramp)
	}) == 0 {
		return -1
	}
	return c.bestOfSample(now, in, targets)
}

// collect sets the candidates to the targets that keep returns true for and
// returns their number.
func (c *AdaptiveChooser) collect(targets []*tarragonwell.TargetState, keep func(*tarragonwell.TargetState) bool) int {
	c.candidates = c.candidates[:0]
	for i, t := range targets {
		if keep(t) {
			c.candidates = append(c.candidates, i)
		}
	}
	return len(c.candidates)
}

// bestOfSample returns the candidate with the lowest cost among those that were
// asked for their load and a few others, drawn without replacement.
func (c *AdaptiveChooser) bestOfSample(now time.Time, in tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	best := -1
	bestCost := math.Inf(1)
	for _, i := range c.candidates {
		if now.Sub(targets[i].PlacementProbedAt) > askedLately {
			continue
		}
		if k := cost(now, targets[i], in); k < bestCost {
			best = i
			bestCost = k
		}
	}
	for n := range min(choiceSamples, len(c.candidates)) {
		j := n + intN(c.Random, len(c.candidates)-n)
		c.candidates[n], c.candidates[j] = c.candidates[j], c.candidates[n]
		i := c.candidates[n]
		if k := cost(now, targets[i], in); k < bestCost {
			best = i
			bestCost = k
		}
	}
	return best
}

// leastOwn is the choice where every target is silent: a call must go
// somewhere, else none would ever show that it is back.
func (c *AdaptiveChooser) leastOwn(targets []*tarragonwell.TargetState) int {
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

// Unresponsive reports whether a target has short calls in flight and has answered
// none for several mean latencies.
func Unresponsive(now time.Time, t *tarragonwell.TargetState, mean time.Duration) bool {
	calls := t.InFlight - t.InFlightLong
	if calls <= 0 || t.LastProgress.IsZero() {
		return false
	}
	latencies := max(minStallLatencies, stallLatencies/float64(calls))
	return now.Sub(t.LastProgress) > max(minStall, time.Duration(latencies*float64(mean)))
}

// Occupancy estimates the calls at a target. A report fades towards what the
// target usually reports, for it says less and less of the present.
//
// Targets of other data centres are heard of rarely: their reports fade towards
// the mean of all these.
func Occupancy(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	mean, usual := in.MeanExternalCalls, t.SmoothedExternalCalls
	if !t.Local && in.OverflowEnabled {
		mean, usual = in.MeanRemoteExternalCalls, in.MeanRemoteExternalCalls
	}
	if t.LoadReportedAt.IsZero() {
		return float64(t.InFlight) + mean
	}
	life := max(minNewsLife, newsLifeLatencies*in.MeanShortLatency)
	fresh := math.Exp(-float64(now.Sub(t.LoadReportedAt)) / float64(life))
	others := t.ExternalCalls*fresh + usual*(1-fresh)
	if t.ObservedSlowdown > suspectSlowdown {
		others = max(others, mean)
	}
	return float64(t.InFlight) + others
}

// hasRoom reports whether a target seems to have a slot for one more call.
func hasRoom(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) bool {
	if t.InFlight >= rampLimit(now, t, in.Ramp) {
		return false
	}
	if in.MaxUtilization > 0 {
		return Occupancy(now, t, in)+1 <= max(1, in.MaxUtilization*float64(t.Slots))
	}
	return Occupancy(now, t, in) < float64(t.Slots)*occupancyHeadroom
}

// rampLimit is the number of own calls that a new or recovered target may have.
func rampLimit(now time.Time, t *tarragonwell.TargetState, ramp time.Duration) int {
	full := int(math.Ceil(float64(t.Slots) * occupancyHeadroom))
	age := now.Sub(t.RampStart)
	if ramp <= 0 || age >= ramp {
		return full
	}
	return 1 + int(float64(full-1)*float64(age)/float64(ramp))
}

// cost orders the targets that have room.
func cost(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	if in.MeanReportedSlowdown > 0 {
		return reportedCost(now, t, in)
	}
	slowdown := 1.0
	if t.ObservedSlowdown > 0 {
		slowdown = min(maxSlowdown, max(0.5, t.ObservedSlowdown))
	}
	k := (Occupancy(now, t, in) + 1) / float64(t.Slots) * slowdown
	k *= 1 + failurePenalty*t.FailureRate
	if !t.Local {
		k += remotePenalty
	}
	return k
}

// reportedCost orders targets that tell how slow their machines are: the time
// of work in parts of the usual, and the share of the slots that are taken.
func reportedCost(now time.Time, t *tarragonwell.TargetState, in tarragonwell.ChoiceInput) float64 {
	slowness := in.MeanReportedSlowdown
	if t.ReportedSlowdown > 0 {
		fresh := math.Exp(-float64(now.Sub(t.LoadReportedAt)) / float64(slownessLife))
		slowness = t.ReportedSlowdown*fresh + in.MeanReportedSlowdown*(1-fresh)
	}
	k := slowness + Occupancy(now, t, in)/float64(t.Slots)
	if now.Before(t.WarmUpUntil) {
		k += coldPenalty
	}
	k *= 1 + failurePenalty*t.FailureRate
	if !t.Local {
		k += remotePenalty
	}
	return k
}
