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
)

// TestLeavingSurvivesFullMailbox checks that the announcement of a leaving target reaches
// the service although the reconciler's mailbox was full when it came, although the
// target is listed only later, and also a service that is started again.
func TestLeavingSurvivesFullMailbox(t *testing.T) {
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	i := New(&settingsfile.Settings{
		GossipInterval: time.Second,
	}, l, nil, Adapters{})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { i.peers.Run(ctx) })
	defer running.Wait()
	defer cancel()

	for i.reconciler.mailbox.TryPost(resyncDone{}) {
		// Fills the mailbox.
	}
	leaving := tarragonwell.LeavingTarget{
		Service:   "s",
		ID:        "i-1",
		Born:      7,
		ExpiresAt: time.Now().Add(time.Minute),
		Observed:  true,
	}
	i.onTargetLeaving(leaving, "peer")
	if got, want := i.peers.AnnounceLeaving(leaving), true; got != want {
		t.Fatalf("announced: got %v, want %v", got, want)
	}
	for i.peers.Snapshot().LeavingVersion == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		st := &reconcilerState{
			running: map[string]*runningService{},
		}
		s := service.New(service.Options{
			Common: i.common,
			ServiceRule: &tarragonwell.Service{
				Name: "s",
			},
		})
		running.Go(func() { s.Run(ctx) })
		st.running["s"] = &runningService{
			dispatcher: s,
		}
		i.reconciler.applyLeaving(st)
		s.SetTargets([]tarragonwell.ListedTarget{
			{
				ID:      "i-1",
				Address: "127.0.0.1:1",
				Born:    7,
			},
		})
		st.appliedLeaving = 0
		i.reconciler.applyLeaving(st)
		status, err := s.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := status.Targets[0].Leaving(time.Now()), true; got != want {
			t.Errorf("leaving: got %v, want %v", got, want)
		}
	}
}
