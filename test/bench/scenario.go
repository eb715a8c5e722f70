package main

import (
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// scenario is a load with faults under which the policies are measured.
type scenario struct {
	name         string
	description  string
	organisation string
	// load returns the demand as a multiple of the capacity of the slots, at a
	// fraction from 0 to 1 of the measured time.
	load func(elapsed float64) float64
	// shares overrides the shares of some kinds.
	shares map[string]float64
	// atStart injects faults before the load starts, atOneThird after a third of
	// the measured time; both may be nil.
	atStart    func(f *fleet.Fleet)
	atOneThird func(f *fleet.Fleet)
}

// constant returns a load that stays the same.
func constant(x float64) func(float64) float64 {
	return func(float64) float64 { return x }
}

// loadPeak triples the load within the second fifth of the time, keeps it up to
// seven tenths, and then returns to the initial load at once.
func loadPeak(elapsed float64) float64 {
	switch {
	case elapsed < 0.3:
		return 0.45
	case elapsed < 0.4:
		return 0.45 + (elapsed-0.3)/0.1*0.9
	case elapsed < 0.7:
		return 1.35
	default:
		return 0.45
	}
}

// onAllTargets returns a function that updates the behaviour of all targets.
func onAllTargets(update func(*target.Behaviour)) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) {
		for _, t := range f.AllTargets() {
			t.UpdateBehaviour(update)
		}
	}
}

// onOneInFiveTargets returns a function that updates the behaviour of one in five
// targets of each service.
func onOneInFiveTargets(update func(*target.Behaviour)) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) {
		for _, targets := range f.Targets {
			for n, t := range targets {
				if n%5 == 0 {
					t.UpdateBehaviour(update)
				}
			}
		}
	}
}

var scenarios = []scenario{
	{
		name:         "steady",
		description:  "85% of the slots, no faults",
		organisation: "trust",
		load:         constant(0.85),
	},
	{
		name:         "noisy",
		description:  "85%, all targets have noisy neighbours that come and go within milliseconds",
		organisation: "trust",
		load:         constant(0.85 * noisyCapacity),
		atStart:      onAllTargets(func(b *target.Behaviour) { b.Noisy = true }),
	},
	{
		name:         "swing",
		description:  "demand triples within half a second to more than the slots allow, and falls",
		organisation: "trust",
		load:         loadPeak,
	},
	{
		name:         "overload",
		description:  "twice what the slots allow",
		organisation: "trust",
		load:         constant(2),
	},
	{
		name:         "full",
		description:  "exactly what the slots allow",
		organisation: "trust",
		load:         constant(1),
	},
	{
		name:         "frozen",
		description:  "70%, one target in five freezes",
		organisation: "trust",
		load:         constant(0.7),
		atOneThird:   onOneInFiveTargets(func(b *target.Behaviour) { b.Frozen = true }),
	},
	{
		name:         "draining",
		description:  "70%, one target in five drains while the list shows it as live",
		organisation: "trust",
		load:         constant(0.7),
		atOneThird:   onOneInFiveTargets(func(b *target.Behaviour) { b.Draining = true }),
	},
	{
		name:         "fail-fast",
		description:  "70%, one target in five responds with 500 at once",
		organisation: "trust",
		load:         constant(0.7),
		atOneThird:   onOneInFiveTargets(func(b *target.Behaviour) { b.FailFast = true }),
	},
	{
		name:         "lie",
		description:  "70%, one target in five is five times slower and reports no load",
		organisation: "trust",
		load:         constant(0.7),
		atOneThird: onOneInFiveTargets(func(b *target.Behaviour) {
			b.Slowdown = 5
			b.UnderreportLoad = true
		}),
	},
	{
		name:         "reads-alone",
		description:  "store reads without downloads",
		organisation: "glowbox",
		load:         constant(1),
	},
	{
		name:         "downloads-alone",
		description:  "downloads that would take all slots, without reads",
		organisation: "glowbox",
		load:         constant(1),
		shares: map[string]float64{
			"store-read": 0,
			"download":   1,
		},
	},
	{
		name:         "downloads",
		description:  "store reads together with downloads that would take all slots",
		organisation: "glowbox",
		load:         constant(1),
		shares: map[string]float64{
			"download": 1,
		},
	},
	{
		name:         "half-stopped",
		description:  "70%, half of the instances stop gracefully",
		organisation: "glowbox",
		load:         constant(0.7),
		atOneThird:   stopHalf,
	},
}

// noisyCapacity is the share of the slots' capacity that remains with noisy
// neighbours: targets are undisturbed for 120 ms and six times slower for 30 ms on
// average, so a call that starts at a random time takes (120 + 30*6) / 150 of its
// service time.
const noisyCapacity = 150.0 / (120 + 30*6)

// stopHalf gracefully stops every second instance, which restore starts again.
func stopHalf(f *fleet.Fleet) {
	for n, i := range f.Instances {
		if n%2 == 0 {
			i.Process().Terminate()
			f.SetLeaving(i, true)
		}
	}
}

// restore resets the behaviour of all targets and restarts stopped instances.
func restore(f *fleet.Fleet, b target.Behaviour) error {
	for _, t := range f.AllTargets() {
		t.UpdateBehaviour(func(x *target.Behaviour) { *x = b })
	}
	for _, i := range f.Instances {
		select {
		case <-i.Process().Exited():
		default:
			if !f.IsLeaving(i) {
				continue
			}
			i.Process().WaitExit(20 * time.Second)
		}
		if err := f.Launch(i); err != nil {
			return err
		}
		if err := i.WaitReady(10 * time.Second); err != nil {
			return err
		}
		f.SetLeaving(i, false)
	}
	return nil
}
