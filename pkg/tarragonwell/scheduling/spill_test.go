package scheduling

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// newTwoCenters returns a scheduler with eight targets of five slots in its own
// data center and as many in another.
func newTwoCenters() *Scheduler {
	s := newFilling(8)
	s.options.ServiceRule.MaxUtilization = 1.2
	s.options.ServiceRule.OverflowUtilization = 0.8
	list := listOf(16)
	for n := range list[8:] {
		list[8+n].DataCenter = "b"
	}
	s.SetTargets(start, list)
	return s
}

// roaming is timed, with answers that are small enough to come from afar.
func roaming() *tarragonwell.Kind {
	k := *timed
	k.CrossDataCenter = true
	return &k
}

// TestOverflowToRemoteDataCenter holds that a call leaves a data center whose
// targets are nearly full for one that has told just now that it is quiet, and
// that nothing leaves on old news, nor a download.
func TestOverflowToRemoteDataCenter(t *testing.T) {
	for _, x := range []struct {
		name string
		kind *tarragonwell.Kind
		// near is the load of the targets near, age that of the news of far ones.
		near int
		age  time.Duration
		far  bool
	}{
		{
			name: "nearly full near, far ones asked",
			kind: roaming(),
			near: 4,
			far:  true,
		},
		{
			name: "room near, far ones asked",
			kind: roaming(),
			near: 0,
		},
		{
			name: "nearly full near, old news",
			kind: roaming(),
			near: 4,
			age:  time.Second,
		},
		{
			name: "nearly full near, a download",
			kind: timed,
			near: 4,
		},
	} {
		s := newTwoCenters()
		for _, target := range s.Targets() {
			if !target.Local {
				s.RecordPlacementProbe(start, target.ID, tarragonwell.LoadReport{
					Slots:           5,
					SlowdownPercent: 100,
				})
			}
		}
		now := start.Add(x.age)
		for _, target := range s.Targets() {
			if target.Local {
				s.RecordPlacementProbe(now, target.ID, tarragonwell.LoadReport{
					Running:         x.near,
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
		if got := !s.find(d.Grant.TargetID).Local; got != x.far {
			t.Errorf("%s: went far: got %v, want %v", x.name, got, x.far)
		}
	}
}

// TestPlacementProbesOfRemoteDataCenters holds that targets of other data centers are
// asked only where those near have told that they are nearly full.
func TestPlacementProbesOfRemoteDataCenters(t *testing.T) {
	for _, x := range []struct {
		name    string
		running int
		far     bool
	}{
		{
			name:    "room near",
			running: 2,
		},
		{
			name:    "full near",
			running: 5,
			far:     true,
		},
	} {
		s := newTwoCenters()
		request := AcquireRequest{
			Kind: roaming(),
		}
		for _, id := range s.PlacementProbeTargets(start, request, 0) {
			if !s.find(id).Local {
				t.Errorf("%s: asked %s of another data center first", x.name, id)
			}
			s.RecordPlacementProbe(start, id, tarragonwell.LoadReport{
				Running:         x.running,
				Slots:           5,
				SlowdownPercent: 500,
			})
		}
		for _, id := range s.PlacementProbeTargets(start.Add(time.Millisecond), request, 1) {
			if got := !s.find(id).Local; got != x.far {
				t.Errorf("%s: then asked %s, of another data center: got %v, want %v", x.name, id, got, x.far)
			}
		}
	}
}
