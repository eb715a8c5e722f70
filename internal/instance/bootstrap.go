package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/membership"
)

const (
	// readyCheckInterval is the interval at which a new instance checks whether it
	// can serve.
	readyCheckInterval = 20 * time.Millisecond
	// minSyncInterval is the time between the first two sync rounds. The interval
	// doubles up to maxSyncInterval, so that a fleet that starts all at once does not
	// overload its seeds. bootstrap also uses it, as the time that the peers'
	// reports on targets may take to reach the services.
	minSyncInterval = 50 * time.Millisecond
	maxSyncInterval = 400 * time.Millisecond
	// maxSyncPeers is the highest number of peers contacted in a sync round.
	maxSyncPeers = 8
)

// bootstrap completes the initial sync and then marks the instance as serving and
// ready. It returns early if ctx ends.
func (i *Instance) bootstrap(ctx context.Context) {
	state, ok := i.awaitReady(ctx)
	if !ok {
		return
	}
	if state.PeersResponded > 0 {
		// Gives the peers' reports on targets time to reach the services.
		sleep(ctx, minSyncInterval)
	}
	close(i.bootstrapped)
	i.peers.SetState(tarragonwell.MemberServing)
	i.ready.Store(true)
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "instance-serving",
		Revision:   i.reconciler.Rules().Version.Revision,
		LearntFrom: "self",
		Detail:     i.common.Settings.CallerListenAddress,
	})
}

// awaitReady runs sync rounds with peers, while the watchers read the platform, until
// the bootstrap state is ready. It returns false if ctx ends first.
func (i *Instance) awaitReady(ctx context.Context) (*membership.BootstrapState, bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	rounds := make(chan syncRound)
	go i.syncWithPeers(ctx, rounds)
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	state := &membership.BootstrapState{}
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case r := <-rounds:
			state.PeersDrawnFrom = r.list
			state.PeersContacted = r.contacted
			state.PeersResponded = r.responded
			state.NewestRules = r.newestRules
		case <-ticker.C:
		}
		i.updateBootstrapState(state)
		if state.Ready() {
			return state, true
		}
	}
}

// updateBootstrapState copies the instance's current versions into the state.
func (i *Instance) updateBootstrapState(state *membership.BootstrapState) {
	if rules := i.reconciler.Rules(); rules != nil {
		state.RulesInForce = rules.Version
	}
	state.List = i.reconciler.snapshot.Load().list
	if p := i.platformPosition.Load(); p != nil {
		state.PlatformPosition = *p
	}
	state.Elapsed = i.common.Clock.Now().Sub(i.common.Started)
}

// syncRound is the result of one sync round: a gossip round during the bootstrap, with
// up to maxSyncPeers peers.
type syncRound struct {
	// newestRules is the newest version that any peer reported.
	newestRules tarragonwell.RulesVersion
	// list is the position of the list from which the peers were drawn.
	list tarragonwell.ListPosition
	// responded counts those of the contacted peers that responded.
	responded int
	contacted int
}

// syncWithPeers runs sync rounds at increasing intervals until ctx ends.
func (i *Instance) syncWithPeers(ctx context.Context, out chan<- syncRound) {
	for interval := minSyncInterval; ctx.Err() == nil; interval = min(2*interval, maxSyncInterval) {
		select {
		case out <- i.syncOnce(ctx):
		case <-ctx.Done():
		}
		sleep(ctx, interval)
	}
}

// syncOnce runs one sync round with randomly drawn peers.
func (i *Instance) syncOnce(ctx context.Context) syncRound {
	list := i.reconciler.snapshot.Load().list
	addresses := i.peerAddresses()
	rand.Shuffle(len(addresses), func(a, b int) {
		addresses[a], addresses[b] = addresses[b], addresses[a]
	})
	addresses = addresses[:min(len(addresses), maxSyncPeers)]
	round := syncRound{
		list:      list,
		contacted: len(addresses),
	}
	for _, v := range i.peers.GossipWith(ctx, addresses) {
		round.responded++
		if v.After(round.newestRules) {
			round.newestRules = v
		}
	}
	return round
}

// peerAddresses returns the addresses of the seeds and of the listed instances,
// without duplicates and without the instance's own.
func (i *Instance) peerAddresses() []string {
	own := i.common.Settings.PeerAddress
	seen := map[string]bool{
		own: true,
	}
	var out []string
	add := func(a string) {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, a := range i.common.Settings.Seeds {
		add(a)
	}
	for _, x := range i.reconciler.snapshot.Load().instances {
		if x.PeerAddress != "" {
			add(x.PeerAddress)
		}
	}
	return out
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
