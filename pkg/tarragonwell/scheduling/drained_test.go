package scheduling

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

// drainTargets returns a list with the targets of a data centre drained.
func drainTargets(list []tarragonwell.ListedTarget, dataCenter string) []tarragonwell.ListedTarget {
	for n := range list {
		list[n].Drained = list[n].DataCenter == dataCenter
	}
	return list
}

// twoDataCenters returns the list of newTwoDataCenterScheduler: t00 to t07 in a, the local
// data centre, and t08 to t15 in b.
func twoDataCenters() []tarragonwell.ListedTarget {
	list := targetList(16)
	for n := range list[8:] {
		list[8+n].DataCenter = "b"
	}
	return list
}

// TestNoPathLeadsToDrainedTargets guards against a call or a placement probe that is sent
// to a drained target on any path: first attempts, retries, hedges, long and resumed calls,
// trial calls, calls from the queue, and last resorts when the other targets are tried,
// ejected, suspected, delisted, leaving or in backoff.
func TestNoPathLeadsToDrainedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTwoDataCenterScheduler()
		s.options.ServiceRule.PlacementProbes = 4
		s.options.ServiceRule.ProbeBudget = 1000
		s.options.ServiceRule.RetryRatio = 1
		now := startTime
		var grants []*Grant
		checkID := func(path, id string) {
			if s.find(id).Drained {
				t.Fatalf("%s: got the drained target %s", path, id)
			}
		}
		check := func(path string, d Decision) {
			if d.Grant != nil {
				checkID(path, d.Grant.TargetID)
				grants = append(grants, d.Grant)
			}
		}
		id := func() string { return rapid.SampledFrom(s.targets).Draw(t, "target").ID }
		for n := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"list", "call", "call", "call", "end", "report", "poll"}).Draw(t, "step") {
			case "list":
				list := twoDataCenters()
				drained := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "drained")
				for k := range list {
					list[k].Drained = list[k].DataCenter == drained
					list[k].Delisted = rapid.IntRange(0, 3).Draw(t, "delisted") == 0
				}
				s.SetTargets(now, list)
			case "call":
				r := AcquireRequest{
					ID:                n,
					Kind:              rapid.SampledFrom([]*tarragonwell.Kind{shortKind, longKind, crossDataCenterKind()}).Draw(t, "kind"),
					Deadline:          now.Add(time.Second),
					Retry:             rapid.Bool().Draw(t, "retry"),
					SpareCapacityOnly: rapid.Bool().Draw(t, "hedge"),
				}
				for _, x := range s.targets {
					if rapid.IntRange(0, 2).Draw(t, "tried") > 0 {
						r.Exclude = append(r.Exclude, x.ID)
					}
				}
				for round := range 2 {
					for _, x := range s.PlacementProbeTargets(now, r, round) {
						checkID("placement probe", x)
					}
				}
				check("call", s.Acquire(now, r))
			case "end":
				if len(grants) > 0 {
					g := grants[0]
					grants = grants[1:]
					s.Release(now, Release{
						TargetID:     g.TargetID,
						JoinSequence: g.JoinSequence,
						Trial:        g.Trial,
						Kind:         shortKind,
						Result:       rapid.SampledFrom([]AttemptResult{AttemptSucceeded, AttemptFailed, AttemptMisdirected}).Draw(t, "result"),
						Latency:      time.Millisecond,
					})
				}
			case "report":
				s.MarkSuspect(now, id(), now.Add(time.Second))
				s.RecordBackoff(now, id(), 0, 100*time.Millisecond)
				s.RecordLeaving(now, id(), 0)
				s.RecordLoad(now, id(), tarragonwell.LoadReport{
					Running: rapid.IntRange(0, 8).Draw(t, "running"),
				})
			case "poll":
				for _, x := range s.ProbeTargetsForQueue(now) {
					checkID("probe for queued calls", x)
				}
				for _, d := range s.Poll(now) {
					check("queued call", d)
				}
			}
		}
	})
}

// TestAllDrained guards against calls that wait, or are sent to a drained target, when no
// other is left, and against a rejection that tells the caller neither reason nor time.
func TestAllDrained(t *testing.T) {
	s := newScheduler(1, 2)
	for id := range uint64(20) {
		acquire(s, startTime, id, shortKind)
	}
	queued := s.Queued()
	if queued == 0 {
		t.Fatal("got no queued calls, want some")
	}
	s.SetTargets(startTime, drainTargets(targetList(2), "a"))
	decisions := append(s.Poll(startTime), acquire(s, startTime, 20, shortKind))
	if got, want := len(decisions), queued+1; got != want {
		t.Errorf("got %d decisions, want %d", got, want)
	}
	for _, d := range decisions {
		if d.Rejection == nil || d.Rejection.Reason != ReasonDrained || d.Rejection.RetryAfter <= 0 {
			t.Errorf("got %+v, want a rejection with reason and time", d)
		}
	}
}

// TestDrainOfOwnDataCenter guards against rejected or waiting calls when the instance's own
// data centre is drained and another has room, whether or not the kind prefers local
// targets, and while calls are still in flight at the drained targets.
func TestDrainOfOwnDataCenter(t *testing.T) {
	for name, kind := range map[string]*tarragonwell.Kind{
		"local kind":        objectiveKind,
		"cross data centre": crossDataCenterKind(),
		"long":              longKind,
	} {
		s := newTwoDataCenterScheduler()
		for id := range uint64(40) {
			acquire(s, startTime, id, shortKind)
		}
		s.SetTargets(startTime, drainTargets(twoDataCenters(), "a"))
		for id := range uint64(8) {
			d := acquire(s, startTime, 100+id, kind)
			if d.Grant == nil || s.find(d.Grant.TargetID).Local {
				t.Errorf("%s: call %d: got %+v, want a target of the other data centre", name, id, d)
			}
		}
		if got, want := s.totalSlots(), 40; got != want {
			t.Errorf("%s: got %d slots, want %d", name, got, want)
		}
	}
}

// TestPreferredTargetsAreNotDrained guards against a subset, or a share for long calls,
// that drained targets take up.
func TestPreferredTargetsAreNotDrained(t *testing.T) {
	s := newScheduler(1, 60)
	list := targetList(60)
	for n := range list {
		list[n].Drained = n%2 == 0
	}
	s.SetTargets(startTime, list)
	preferred := 0
	for _, x := range s.targets {
		if x.Preferred {
			preferred++
		}
		if x.Drained && (x.Preferred || x.LongCallRank < 30) {
			t.Errorf("%s: got preferred %v and rank %d for a drained target", x.ID, x.Preferred, x.LongCallRank)
		}
	}
	if got, want := preferred, maxPreferredLocalTargets; got != want {
		t.Errorf("got %d preferred targets, want %d", got, want)
	}
}

// TestGradualReturn guards against targets and connections that are overloaded when a drain
// ends: each target is used again after a delay of its own, and then only for a few
// calls at a time.
func TestGradualReturn(t *testing.T) {
	s := newTwoDataCenterScheduler()
	s.SetTargets(startTime, drainTargets(twoDataCenters(), "a"))
	s.SetTargets(startTime, twoDataCenters())
	used := func(now time.Time) (returned, most int) {
		for id := range uint64(30) {
			acquire(s, now, id, objectiveKind)
			s.Cancel(id)
		}
		for _, x := range s.targets {
			if x.Local && x.InFlight > 0 {
				returned++
				most = max(most, x.InFlight)
			}
			for range x.InFlight {
				release(s, now, x.ID, AttemptSucceeded, time.Millisecond)
			}
		}
		return returned, most
	}
	if got, _ := used(startTime); got > 1 {
		t.Errorf("at the end of the drain: got calls at %d targets, want at most 1", got)
	}
	half, _ := used(startTime.Add(drains.ReturnSpread / 2))
	if half == 0 || half == 8 {
		t.Errorf("half-way: got calls at %d targets, want some of 8", half)
	}
	if got, most := used(startTime.Add(drains.ReturnSpread)); got != 8 || most < 2 {
		t.Errorf("at the end: got calls at %d targets, at most %d at one; want 8 and more than 1", got, most)
	}
	// Targets that have just returned are the only ones.
	now := startTime.Add(time.Minute)
	s.SetTargets(now, drainTargets(twoDataCenters(), "a"))
	s.SetTargets(now, drainTargets(twoDataCenters(), "b"))
	if got, most := used(now); got != 8 || most != 1 {
		t.Errorf("as the only targets: got calls at %d targets, at most %d at one; want 8 and 1", got, most)
	}
}

// drainAllBut returns a list of n targets of which all but the first few are drained.
func drainAllBut(undrained, n int) []tarragonwell.ListedTarget {
	list := targetList(n)
	for k := range list {
		list[k].Drained = k >= undrained
	}
	return list
}

// TestCallsAtDrainedTargetsTakeNoCapacity guards against calls that wait because others
// still finish at drained targets.
func TestCallsAtDrainedTargetsTakeNoCapacity(t *testing.T) {
	s := newScheduler(1, 4)
	for id := range uint64(28) {
		acquire(s, startTime, id, shortKind)
	}
	s.SetTargets(startTime, drainAllBut(1, 4))
	for range s.find("t00").InFlight {
		release(s, startTime, "t00", AttemptSucceeded, time.Millisecond)
	}
	if got, limit := s.InFlight(), s.Limit(); float64(got) < limit {
		t.Fatalf("got %d calls in flight, want at least the limit of %v", got, limit)
	}
	if d := acquire(s, startTime, 30, shortKind); d.Grant == nil {
		t.Errorf("got %+v, want a grant", d)
	}
}

// TestSharesCountUndrainedTargets guards against shares of drained targets: long calls that
// take all targets that are left, probes beyond the budget of those, and peers'
// announcements that leave the service without targets.
func TestSharesCountUndrainedTargets(t *testing.T) {
	s := newScheduler(1, 8)
	s.SetTargets(startTime, drainAllBut(4, 8))
	s.eligibleTargets(startTime, &admission.PendingCall{
		Kind: longKind,
	})
	if got, want := len(s.eligible), 3; got != want {
		t.Errorf("long calls: got %d targets, want %d", got, want)
	}
	for n, x := range s.targets[:4] {
		s.MarkSuspect(startTime, x.ID, startTime.Add(time.Second))
		s.MarkLeaving(startTime, announcement(x.ID, 0))
		if got, want := suspected(startTime, x), n < 1; got != want {
			t.Errorf("%s suspected: got %v, want %v", x.ID, got, want)
		}
		if got, want := x.Leaving(startTime), n < 2; got != want {
			t.Errorf("%s leaving: got %v, want %v", x.ID, got, want)
		}
	}
	single := newScheduler(1, 2)
	single.SetTargets(startTime, drainAllBut(1, 2))
	for id := range uint64(10) {
		acquire(single, startTime, id, longKind)
	}
	if got, want := single.find("t00").InFlightLong, 4; got != want {
		t.Errorf("one target left: got %d long calls, want %d", got, want)
	}
	probed := newMaxUtilizationScheduler(8)
	probed.SetTargets(startTime, drainAllBut(2, 8))
	if got, want := float64(probed.placementProbeLimiter.Limit()), 2*probed.options.ServiceRule.ProbeBudget; got != want {
		t.Errorf("probes: got %v per second, want %v", got, want)
	}
}

// TestLongCallsAvoidReturningTargets guards against long calls that are sent to targets before
// their return while others are free: the share of a long kind may hold only returning ones.
func TestLongCallsAvoidReturningTargets(t *testing.T) {
	k := &tarragonwell.Kind{
		Name:      "long",
		Long:      true,
		SlotShare: 0.1,
		Timeout:   time.Minute,
	}
	for _, dataCenter := range []string{"a", "b"} {
		s := newTwoDataCenterScheduler()
		s.SetTargets(startTime, drainTargets(twoDataCenters(), dataCenter))
		s.SetTargets(startTime, twoDataCenters())
		// The share stays at SlotShare while there is demand for short calls.
		s.shortDemand.average = 1000
		d := s.Acquire(startTime, AcquireRequest{
			ID:             1,
			Kind:           k,
			Deadline:       startTime.Add(time.Minute),
			CallerTimeLeft: time.Minute,
		})
		if d.Grant != nil && startTime.Before(s.find(d.Grant.TargetID).ReturnAt) {
			t.Errorf("after the drain of %s: got a target before its return, want another one", dataCenter)
		}
	}
}

// TestReturnedTargetsDoNotEndProbes guards against calls that are placed without probes while
// only the first target of the local data centre has returned after a drain.
func TestReturnedTargetsDoNotEndProbes(t *testing.T) {
	s := newTwoDataCenterScheduler()
	s.options.ServiceRule.PlacementProbes = 4
	s.options.ServiceRule.ProbeBudget = 1000
	s.SetTargets(startTime, drainTargets(twoDataCenters(), "a"))
	s.SetTargets(startTime, twoDataCenters())
	r := AcquireRequest{
		ID:       1,
		Kind:     shortKind,
		Deadline: startTime.Add(time.Minute),
	}
	for at := 10 * time.Millisecond; at < 5*time.Second; at += 10 * time.Millisecond {
		if len(s.PlacementProbeTargets(startTime.Add(at), r, 0)) == 0 {
			t.Fatalf("%v after the end of the drain: got no targets to probe", at)
		}
	}
}
