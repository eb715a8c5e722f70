package peer

import (
	"context"
	"sync"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// relayConfirmation relays the latest confirmation by the platform if that is due:
// along a tree in the local data centre and, if the platform responded to this
// instance, to one instance of each remote data centre, which starts a tree there.
// Each instance thus receives a confirmation once, whatever the size of the fleet,
// and little traffic leaves a data centre.
func (p *Peers) relayConfirmation(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	if !st.freshness.relayDue {
		return
	}
	now := p.options.Common.Clock.Now()
	c := st.freshness.latest
	st.freshness.relayDue = false
	st.freshness.relayed = c
	g := p.newGossip(now, st, true)
	g.relay = true
	if c.direct {
		for _, candidates := range st.view.RelayCandidates(now, st.random) {
			p.sendToFirst(ctx, candidates, g, exchanges)
		}
	}
	g.relayRoot = c.relayRoot
	if g.relayRoot == "" {
		g.relayRoot = st.view.Self.PeerAddress
	}
	p.send(ctx, st.view.Children(now, g.relayRoot), g, p.relayLimiter, exchanges)
}

// sendToFirst sends gossip to the candidates in turn until one responds, without a
// traffic limit.
func (p *Peers) sendToFirst(ctx context.Context, candidates []tarragonwell.Member, g gossip, exchanges *sync.WaitGroup) {
	request := g.request()
	exchanges.Go(func() {
		for _, m := range candidates {
			if p.exchangeAndMerge(ctx, m.PeerAddress, request) != nil {
				return
			}
		}
	})
}
