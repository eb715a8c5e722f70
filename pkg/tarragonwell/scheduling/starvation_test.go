package scheduling

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// refuseAll makes every target refuse a call and report that it is full.
func refuseAll(s *Scheduler, now time.Time) {
	for range s.Targets() {
		d := acquire(s, now, 1, shortKind)
		if d.Grant == nil {
			continue
		}
		s.Release(now, Release{
			TargetID:     d.Grant.TargetID,
			JoinSequence: d.Grant.JoinSequence,
			Kind:         shortKind,
			Result:       AttemptRefused,
			Load: &tarragonwell.LoadReport{
				Running: 5,
				Waiting: 1,
				Slots:   5,
			},
		})
	}
}

// TestRefusalDoesNotStarveIdleInstance checks that an instance whose only calls were
// refused by full targets soon places calls again: it has no calls in flight, whose
// responses would tell it that slots are free again. This must also hold if there is only
// one target, and if all probes fail.
func TestRefusalDoesNotStarveIdleInstance(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, x := range []struct {
		name       string
		targets    int
		probesFail bool
		wantWithin time.Duration
	}{
		{
			name:       "one target",
			targets:    1,
			wantWithin: 100 * time.Millisecond,
		},
		{
			name:       "three targets",
			targets:    3,
			wantWithin: 100 * time.Millisecond,
		},
		{
			name:       "one target, probes fail",
			targets:    1,
			probesFail: true,
			wantWithin: time.Second,
		},
		{
			name:       "three targets, probes fail",
			targets:    3,
			probesFail: true,
			wantWithin: time.Second,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := New(Options{
				ServiceRule: &tarragonwell.Service{
					Name:            "s",
					Slots:           5,
					RetryRatio:      0.1,
					MaxUtilization:  1.2,
					ProbeBudget:     20,
					PlacementProbes: 4,
				},
				DataCenter:           "a",
				Policy:               policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
				ServingInstanceCount: 4,
			})
			s.SetTargets(time.Now(), targetList(x.targets))
			// The probe budget fills up from the time of the list on.
			begin := time.Now()
			refuseAll(s, begin)
			placed := time.Duration(-1)
			for at := step; at <= 5*time.Second && placed < 0; at += step {
				now := begin.Add(at)
				for _, id := range s.ProbeTargetsForQueue(now) {
					if x.probesFail {
						s.RecordPlacementProbeFailure(id)
						continue
					}
					s.RecordPlacementProbe(now, id, tarragonwell.LoadReport{
						Slots: 5,
					})
				}
				if acquire(s, now, uint64(at), shortKind).Grant != nil {
					placed = at
				}
				for _, d := range s.Poll(now) {
					if d.Grant != nil && placed < 0 {
						placed = at
					}
				}
			}
			if placed < 0 || placed > x.wantWithin {
				t.Errorf("next call placed after %v, want within %v", placed, x.wantWithin)
			}
		})
	}
}
