package instance

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

// TestNewInstanceIsNoSender guards against an instance that sends calls to a target which
// is warming up before it has heard from a peer that it knows of, from the seeds or from
// the list that came with the target, and against one without peers that sends none.
func TestNewInstanceIsNoSender(t *testing.T) {
	for _, tt := range []struct {
		name   string
		seeds  []string
		listed []tarragonwell.ListedInstance
		want   bool
	}{
		{name: "alone", listed: []tarragonwell.ListedInstance{{PeerAddress: "127.0.0.1:1"}}, want: true},
		{name: "seed", seeds: []string{"127.0.0.1:2"}},
		{name: "listed", listed: []tarragonwell.ListedInstance{{PeerAddress: "127.0.0.1:2"}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			status := warmUpStatus(t, tt.seeds, tt.listed)
			if got := status.WarmUps["t"].Sender; got != tt.want {
				t.Errorf("sender: got %v, want %v", got, tt.want)
			}
			if got := serviceToProto(status).GetTargets()[0]; got.GetWarmUpSender() != tt.want || got.GetWarmUpMs() == 0 {
				t.Errorf("status: got %v ms, sender %v, want a time and %v", got.GetWarmUpMs(), got.GetWarmUpSender(), tt.want)
			}
		})
	}
}

// warmUpStatus returns the status of a service with a target that is warming up, on an
// instance at 127.0.0.1:1 that has run for longer than a view takes to settle.
func warmUpStatus(t *testing.T, seeds []string, listed []tarragonwell.ListedInstance) service.Status {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	i := New(&settingsfile.Settings{
		PeerAddress:    "127.0.0.1:1",
		GossipInterval: 100 * time.Millisecond,
		FanOut:         1,
		Seeds:          seeds,
		Budgets: settingsfile.Budgets{
			WarmUpOvershoot: 1.5,
			WarmUpSlack:     8,
		},
	}, l, nil, DefaultAdapters(&settingsfile.Settings{}))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	running.Go(func() { i.peers.Run(ctx) })
	i.peers.SetState(tarragonwell.MemberServing)
	for i.peers.Snapshot().State != tarragonwell.MemberServing {
		time.Sleep(time.Millisecond)
	}
	st := &reconcilerState{
		running: map[string]*runningService{},
		rules: &tarragonwell.RuleSet{
			Services: map[string]*tarragonwell.Service{
				"s": {
					Name:       "s",
					Policy:     policy.Default,
					WarmUpRate: 5.8,
				},
			},
		},
	}
	i.reconciler.applyList(st, &tarragonwell.ListChange{
		Revision:  1,
		Instances: listed,
		Targets: []tarragonwell.ListedTarget{
			{
				ID:              "t",
				Service:         "s",
				Address:         "127.0.0.1:3",
				WarmUpRemaining: time.Minute,
			},
		},
	}, fromPlatform)
	i.reconciler.reconcile(ctx, st, &running)
	for range 4 {
		time.Sleep(fleetInterval)
		i.reconciler.updateFleet(st)
	}
	status, err := st.running["s"].dispatcher.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return status
}
