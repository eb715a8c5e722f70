package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	joinPoll = 50 * time.Millisecond
	// slowJoinPoll is reached by doubling, so that a whole fleet that starts does
	// not press on its seeds.
	slowJoinPoll = 400 * time.Millisecond
	// greeted is how many peers a new instance asks before it is ready.
	greeted = 8
	// joinPatience is how long an instance that has rules still waits for a peer
	// to answer, where peers are known.
	joinPatience = 3 * time.Second
)

// join waits until the instance may serve: it has accepted rules, and either a
// peer has told what is in force, or no peer that is known answers. So a new
// instance does not serve older rules than it could have learnt, also where
// the platform is stale.
func (i *Instance) join(ctx context.Context) {
	begin := i.common.Clock.Now()
	poll := joinPoll
	for ctx.Err() == nil {
		newest, answered, asked := i.greet(ctx)
		rules := i.documents.Rules()
		late := i.common.Clock.Now().Sub(begin) > joinPatience
		if rules != nil && !newest.After(rules.Version) && (answered > 0 || asked == 0 && i.documents.published.Load().listRevision > 0 || late) {
			break
		}
		wait(ctx, poll)
		poll = min(2*poll, slowJoinPoll)
	}
	if ctx.Err() != nil {
		return
	}
	// What peers told of targets reaches the services meanwhile.
	wait(ctx, joinPoll)
	i.joined.Store(true)
	i.peers.SetState(tarragonwell.MemberServing)
	i.ready.Store(true)
	i.common.Change(tarragonwell.AuditRecord{
		Event:      "instance-serving",
		Revision:   i.documents.Rules().Version.Revision,
		LearntFrom: "self",
		Detail:     i.common.Settings.Callers,
	})
}

// greet asks a few known peers for their news and returns the newest version
// of the rules among them.
func (i *Instance) greet(ctx context.Context) (newest tarragonwell.RulesVersion, answered, asked int) {
	addresses := i.otherAddresses()
	rand.Shuffle(len(addresses), func(a, b int) {
		addresses[a], addresses[b] = addresses[b], addresses[a]
	})
	addresses = addresses[:min(len(addresses), greeted)]
	for _, v := range i.peers.Greet(ctx, addresses) {
		answered++
		if v.After(newest) {
			newest = v
		}
	}
	return newest, answered, len(addresses)
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
