package policy

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// RoundRobinPolicy chooses the targets in turn.
type RoundRobinPolicy struct {
	next int
}

// Choose implements tarragonwell.Policy.
func (p *RoundRobinPolicy) Choose(_ time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	p.next++
	return p.next % len(targets)
}

// RandomPolicy chooses a target uniformly at random.
type RandomPolicy struct {
	Random *rand.Rand
}

// Choose implements tarragonwell.Policy.
func (p *RandomPolicy) Choose(_ time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	return intN(p.Random, len(targets))
}

// PowerOfTwoPolicy samples two targets and chooses the one with fewer of the
// instance's own calls in flight.
type PowerOfTwoPolicy struct {
	Random *rand.Rand
}

// Choose implements tarragonwell.Policy.
func (p *PowerOfTwoPolicy) Choose(_ time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	i := intN(p.Random, len(targets))
	j := intN(p.Random, len(targets))
	if targets[j].InFlight < targets[i].InFlight {
		return j
	}
	return i
}

// LeastLatencyPolicy samples two targets and chooses the one with the lower product
// of smoothed latency and own calls in flight, counting the new call.
type LeastLatencyPolicy struct {
	Random *rand.Rand
}

// Choose implements tarragonwell.Policy.
func (p *LeastLatencyPolicy) Choose(_ time.Time, _ tarragonwell.ChoiceInput, targets []*tarragonwell.TargetState) int {
	i := intN(p.Random, len(targets))
	j := intN(p.Random, len(targets))
	if latencyCost(targets[j]) < latencyCost(targets[i]) {
		return j
	}
	return i
}

func latencyCost(t *tarragonwell.TargetState) float64 {
	return t.Latency.Seconds() * float64(t.InFlight+1)
}
