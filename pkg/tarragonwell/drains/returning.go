package drains

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReturnSpread is the time after the end of a drain within which each instance starts
	// to send calls to the targets again. At the end of a drain the targets have no
	// connections, so that the whole fleet would connect to all of them at once.
	ReturnSpread = 4 * time.Second
	// ReturnRamp is the minimum slow start of each target after that. The prepared
	// platform states no ramp of its own.
	ReturnRamp = 3 * time.Second
)

// ReturnDelay returns the time after the end of a drain at which an instance starts to send
// calls to a target. It lies within ReturnSpread and differs between instances as well as
// between targets: a target receives connections from a growing part of the fleet, and an
// instance opens connections to a growing part of the targets.
func ReturnDelay(instance, target string) time.Duration {
	const steps = 1 << 16
	fraction := float64(xxhash.Sum64String("return "+instance+" "+target)%steps) / steps
	return time.Duration(fraction * float64(ReturnSpread))
}
