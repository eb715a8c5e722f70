// Package policy contains the load-balancing policies, which choose a target for
// each call. The adaptive policy is the default; the others are baselines for
// comparison.
package policy

import (
	"math/rand/v2"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Names of the policies in rules.
const (
	// Default is the name of the adaptive policy, AdaptivePolicy.
	Default      = "tarragonwell"
	PowerOfTwo   = "power-of-two"
	RoundRobin   = "round-robin"
	Random       = "random"
	LeastLatency = "least-latency"
	ProbePool    = "probe-pool"
)

// Names returns the names of all policies.
func Names() []string {
	return []string{Default, PowerOfTwo, RoundRobin, Random, LeastLatency, ProbePool}
}

// New returns the policy with a name, or the default policy for an unknown name.
func New(name string, r *rand.Rand) tarragonwell.Policy {
	switch name {
	case PowerOfTwo:
		return &PowerOfTwoPolicy{
			Random: r,
		}
	case RoundRobin:
		return &RoundRobinPolicy{}
	case Random:
		return &RandomPolicy{
			Random: r,
		}
	case LeastLatency:
		return &LeastLatencyPolicy{
			Random: r,
		}
	case ProbePool:
		return &ProbePoolPolicy{
			Random: r,
		}
	default:
		return &AdaptivePolicy{
			Random: r,
		}
	}
}

// intN returns a random number in [0, n) from r, or from the global source if r is
// nil.
func intN(r *rand.Rand, n int) int {
	if r == nil {
		return rand.IntN(n)
	}
	return r.IntN(n)
}
