package main

import (
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// scenario is one situation that is measured.
type scenario struct {
	name         string
	about        string
	organisation string
	// load is the demand at a part of the measured time, 0 to 1, as a share of
	// what the slots allow.
	load func(part float64) float64
	// shares replaces the kinds' shares.
	shares map[string]float64
	// begin sets faults before the load starts, middle at a third of the time.
	begin  func(f *fleet.Fleet)
	middle func(f *fleet.Fleet)
}

func constant(x float64) func(float64) float64 {
	return func(float64) float64 { return x }
}

// swing is threefold within the second fifth of the time, then back.
func swing(part float64) float64 {
	switch {
	case part < 0.3:
		return 0.45
	case part < 0.4:
		return 0.45 + (part-0.3)/0.1*0.9
	case part < 0.7:
		return 1.35
	default:
		return 0.45
	}
}

func onAll(set func(*target.Behaviour)) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) {
		for _, t := range f.AllTargets() {
			t.UpdateBehaviour(set)
		}
	}
}

// onSome changes one in five targets of each service.
func onSome(set func(*target.Behaviour)) func(*fleet.Fleet) {
	return func(f *fleet.Fleet) {
		for _, targets := range f.Targets {
			for n, t := range targets {
				if n%5 == 0 {
					t.UpdateBehaviour(set)
				}
			}
		}
	}
}

var scenarios = []scenario{
	{
		name:         "steady",
		about:        "85% of the slots, nothing wrong",
		organisation: "trust",
		load:         constant(0.85),
	},
	{
		name:         "noisy",
		about:        "85%, all targets beside noisy neighbours that come and go within milliseconds",
		organisation: "trust",
		load:         constant(0.85 * noisyCapacity),
		begin:        onAll(func(b *target.Behaviour) { b.Noisy = true }),
	},
	{
		name:         "swing",
		about:        "demand rises threefold within half a second, above the slots, and falls",
		organisation: "trust",
		load:         swing,
	},
	{
		name:         "overload",
		about:        "twice what the slots allow",
		organisation: "trust",
		load:         constant(2),
	},
	{
		name:         "full",
		about:        "just what the slots allow",
		organisation: "trust",
		load:         constant(1),
	},
	{
		name:         "frozen",
		about:        "70%, one target in five freezes",
		organisation: "trust",
		load:         constant(0.7),
		middle:       onSome(func(b *target.Behaviour) { b.Frozen = true }),
	},
	{
		name:         "draining",
		about:        "70%, one target in five drains while the list shows it as live",
		organisation: "trust",
		load:         constant(0.7),
		middle:       onSome(func(b *target.Behaviour) { b.Draining = true }),
	},
	{
		name:         "fail-fast",
		about:        "70%, one target in five answers 500 at once",
		organisation: "trust",
		load:         constant(0.7),
		middle:       onSome(func(b *target.Behaviour) { b.FailFast = true }),
	},
	{
		name:         "lie",
		about:        "70%, one target in five is five times slower and reports no load",
		organisation: "trust",
		load:         constant(0.7),
		middle: onSome(func(b *target.Behaviour) {
			b.Slowdown = 5
			b.UnderreportLoad = true
		}),
	},
	{
		name:         "reads-alone",
		about:        "store reads without downloads",
		organisation: "glowbox",
		load:         constant(1),
	},
	{
		name:         "downloads-alone",
		about:        "downloads that would take all slots, without reads",
		organisation: "glowbox",
		load:         constant(1),
		shares: map[string]float64{
			"store-read": 0,
			"download":   1,
		},
	},
	{
		name:         "downloads",
		about:        "store reads beside downloads that would take all slots",
		organisation: "glowbox",
		load:         constant(1),
		shares: map[string]float64{
			"download": 1,
		},
	},
	{
		name:         "half-stopped",
		about:        "70%, half of the instances stop gracefully",
		organisation: "glowbox",
		load:         constant(0.7),
		middle:       stopHalf,
	},
}

// noisyCapacity is what noisy neighbours leave of the slots: targets are quiet
// for 120 ms and six times slower for 30 ms, on the mean, so a call that begins
// at any time takes (120 + 30*6) / 150 of its time.
const noisyCapacity = 150.0 / (120 + 30*6)

// stopHalf stops every second instance; it is started again after the run.
func stopHalf(f *fleet.Fleet) {
	for n, i := range f.Instances {
		if n%2 == 0 {
			i.Process().Terminate()
			f.SetLeaving(i, true)
		}
	}
}

// restore ends all faults.
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
