package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/membership"
)

const (
	// joinCheck is how often a new instance looks whether it has learnt enough.
	joinCheck = 20 * time.Millisecond
	joinPoll  = 50 * time.Millisecond
	// slowJoinPoll is reached by doubling, so that a whole fleet that starts does
	// not press on its seeds.
	slowJoinPoll = 400 * time.Millisecond
	// greeted is how many peers a new instance asks before it is ready.
	greeted = 8
)

// join waits until the instance has learnt enough to serve.
func (i *Instance) join(ctx context.Context) {
	learnt, ok := i.learn(ctx)
	if !ok {
		return
	}
	if learnt.PeersResponded > 0 {
		// What peers told of targets reaches the services meanwhile.
		wait(ctx, joinPoll)
	}
	close(i.joined)
	i.peers.SetState(tarragonwell.MemberServing)
	i.ready.Store(true)
	i.common.RecordChange(tarragonwell.AuditRecord{
		Event:      "instance-serving",
		Revision:   i.documents.Rules().Version.Revision,
		LearntFrom: "self",
		Detail:     i.common.Settings.CallerListenAddress,
	})
}

// learn asks peers, while the platform's watcher reads, until the instance has
// learnt enough. It returns false where ctx ends before.
func (i *Instance) learn(ctx context.Context) (*membership.BootstrapState, bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	greetings := make(chan greeting)
	go i.greetAll(ctx, greetings)
	ticker := time.NewTicker(joinCheck)
	defer ticker.Stop()
	learnt := &membership.BootstrapState{}
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case g := <-greetings:
			learnt.PeersDrawnFromRevision = g.list
			learnt.PeersContacted = g.asked
			learnt.PeersResponded = g.answered
			learnt.NewestRules = g.newest
		case <-ticker.C:
		}
		i.lookAround(learnt)
		if learnt.Ready() {
			return learnt, true
		}
	}
}

// lookAround takes in what the instance has in force by now.
func (i *Instance) lookAround(l *membership.BootstrapState) {
	if rules := i.documents.Rules(); rules != nil {
		l.RulesInForce = rules.Version
	}
	l.ListRevision = i.documents.published.Load().listRevision
	if p := i.latestRead.Load(); p != nil {
		l.PlatformPosition = *p
	}
	l.Elapsed = i.common.Clock.Now().Sub(i.common.Started)
}

// greeting is what a round of questions to peers brought.
type greeting struct {
	newest tarragonwell.RulesVersion
	// list is the revision of the list by which the peers were drawn.
	list     uint64
	answered int
	asked    int
}

// greetAll asks peers for their news until ctx ends, less and less often.
func (i *Instance) greetAll(ctx context.Context, out chan<- greeting) {
	for poll := joinPoll; ctx.Err() == nil; poll = min(2*poll, slowJoinPoll) {
		select {
		case out <- i.greet(ctx):
		case <-ctx.Done():
		}
		wait(ctx, poll)
	}
}

// greet asks a few known peers for their news.
func (i *Instance) greet(ctx context.Context) greeting {
	list := i.documents.published.Load().listRevision
	addresses := i.otherAddresses()
	rand.Shuffle(len(addresses), func(a, b int) {
		addresses[a], addresses[b] = addresses[b], addresses[a]
	})
	addresses = addresses[:min(len(addresses), greeted)]
	g := greeting{
		list:  list,
		asked: len(addresses),
	}
	for _, v := range i.peers.GossipWith(ctx, addresses) {
		g.answered++
		if v.After(g.newest) {
			g.newest = v
		}
	}
	return g
}

// otherAddresses lists the peers on the settings' and the platform's lists.
func (i *Instance) otherAddresses() []string {
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
	for _, x := range i.documents.published.Load().instances {
		if x.PeerAddress != "" {
			add(x.PeerAddress)
		}
	}
	return out
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
