// Package policy chooses targets. The adaptive chooser is the default; the
// others are baselines that it is measured against.
package policy

import (
	"math/rand/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Names of the choosers, as rules name them.
const (
	Default      = "tarragonwell"
	PowerOfTwo   = "power-of-two"
	RoundRobin   = "round-robin"
	Random       = "random"
	LeastLatency = "least-latency"
	ProbePool    = "probe-pool"
)

// Names lists the choosers.
func Names() []string {
	return []string{Default, PowerOfTwo, RoundRobin, Random, LeastLatency, ProbePool}
}

// New returns the chooser of a name, or the default for an unknown one.
func New(name string, r *rand.Rand) tarragonwell.Policy {
	switch name {
	case PowerOfTwo:
		return &PowerOfTwoChooser{
			Random: r,
		}
	case RoundRobin:
		return &RoundRobinChooser{}
	case Random:
		return &RandomChooser{
			Random: r,
		}
	case LeastLatency:
		return &LeastLatencyChooser{
			Random: r,
		}
	case ProbePool:
		return &ProbePoolChooser{
			Random: r,
		}
	default:
		return &AdaptiveChooser{
			Random: r,
		}
	}
}

// intN draws from r, or from the shared source where r is nil.
func intN(r *rand.Rand, n int) int {
	if r == nil {
		return rand.IntN(n)
	}
	return r.IntN(n)
}
