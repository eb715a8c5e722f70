package scheduling

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// newTwoDataCenterScheduler returns a scheduler with eight targets of five slots
// in its own data centre and as many in another.
func newTwoDataCenterScheduler() *Scheduler {
	s := newMaxUtilizationScheduler(8)
	s.options.ServiceRule.MaxUtilization = 1.2
	s.options.ServiceRule.OverflowUtilization = 0.8
	list := targetList(16)
	for n := range list[8:] {
		list[8+n].DataCenter = "b"
	}
	s.SetTargets(startTime, list)
	return s
}

// crossDataCenterKind returns objectiveKind with responses that are small enough
// to be sent between data centres.
func crossDataCenterKind() *tarragonwell.Kind {
	k := *objectiveKind
	k.CrossDataCenter = true
	return &k
}

// TestOverflowToRemoteDataCenter checks that a call is sent to another data
// centre if the local targets are nearly full and the remote ones have just
// reported that they are idle. Downloads stay local, and so do calls if the remote
// reports are old.
func TestOverflowToRemoteDataCenter(t *testing.T) {
	for _, x := range []struct {
		name string
		kind *tarragonwell.Kind
		// running is the number of calls at each local target.
		running int
		// age is the age of the reports of the remote targets.
		age time.Duration
		// remote is set if the call is expected to be sent to the other data centre.
		remote bool
	}{
		{
			name:    "local targets nearly full, remote ones probed",
			kind:    crossDataCenterKind(),
			running: 4,
			remote:  true,
		},
		{
			name:    "local targets idle, remote ones probed",
			kind:    crossDataCenterKind(),
			running: 0,
		},
		{
			name:    "local targets nearly full, old reports of remote ones",
			kind:    crossDataCenterKind(),
			running: 4,
			age:     time.Second,
		},
		{
			name:    "local targets nearly full, download",
			kind:    objectiveKind,
			running: 4,
		},
	} {
		s := newTwoDataCenterScheduler()
		for _, target := range s.Targets() {
			if !target.Local {
				s.RecordPlacementProbe(startTime, target.ID, tarragonwell.LoadReport{
					Slots:           5,
					SlowdownPercent: 100,
				})
			}
		}
		now := startTime.Add(x.age)
		for _, target := range s.Targets() {
			if target.Local {
				s.RecordPlacementProbe(now, target.ID, tarragonwell.LoadReport{
					Running:         x.running,
					Slots:           5,
					SlowdownPercent: 100,
				})
			}
		}
		d := s.Acquire(now, AcquireRequest{
			ID:       1,
			Kind:     x.kind,
			Deadline: now.Add(time.Second),
		})
		if d.Grant == nil {
			t.Fatalf("%s: got %+v, want a grant", x.name, d.Rejection)
		}
		if got := !s.find(d.Grant.TargetID).Local; got != x.remote {
			t.Errorf("%s: sent to the other data centre: got %v, want %v", x.name, got, x.remote)
		}
	}
}

// TestPlacementProbesOfRemoteDataCenters checks that targets of other data
// centres are probed only if the local ones have reported that they are nearly
// full.
func TestPlacementProbesOfRemoteDataCenters(t *testing.T) {
	for _, x := range []struct {
		name    string
		running int
		// remote is set if remote targets are expected to be probed in round 1.
		remote bool
	}{
		{
			name:    "local targets not full",
			running: 2,
		},
		{
			name:    "local targets full",
			running: 5,
			remote:  true,
		},
	} {
		s := newTwoDataCenterScheduler()
		request := AcquireRequest{
			Kind: crossDataCenterKind(),
		}
		for _, id := range s.PlacementProbeTargets(startTime, request, 0) {
			if !s.find(id).Local {
				t.Errorf("%s: round 0 probes %s of another data centre", x.name, id)
			}
			s.RecordPlacementProbe(startTime, id, tarragonwell.LoadReport{
				Running:         x.running,
				Slots:           5,
				SlowdownPercent: 500,
			})
		}
		for _, id := range s.PlacementProbeTargets(startTime.Add(time.Millisecond), request, 1) {
			if got := !s.find(id).Local; got != x.remote {
				t.Errorf("%s: round 1 probes %s, of another data centre: got %v, want %v", x.name, id, got, x.remote)
			}
		}
	}
}
