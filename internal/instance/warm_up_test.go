package instance

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// TestViewCountsSeedsAndListedInstances guards against an instance that takes itself for
// the only one before the peers' task knows of the instances on the list.
func TestViewCountsSeedsAndListedInstances(t *testing.T) {
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	i := New(&settingsfile.Settings{
		PeerAddress:    "127.0.0.1:1",
		GossipInterval: time.Hour,
		Seeds:          []string{"127.0.0.1:2"},
	}, l, nil, Adapters{})
	st := &reconcilerState{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { i.peers.Run(ctx) })
	i.peers.SetState(tarragonwell.MemberServing)
	for i.peers.Snapshot().State != tarragonwell.MemberServing {
		time.Sleep(time.Millisecond)
	}
	i.reconciler.applyList(st, &tarragonwell.ListChange{
		Revision:  1,
		Instances: []tarragonwell.ListedInstance{{PeerAddress: "127.0.0.1:1"}, {PeerAddress: "127.0.0.1:3"}},
	}, fromPlatform)
	got := i.reconciler.fleetView(st)
	if got.Known != 3 || got.Self.PeerAddress != "127.0.0.1:1" || got.Self.State != tarragonwell.MemberServing {
		t.Errorf("got %+v, want three known instances", got)
	}
}
