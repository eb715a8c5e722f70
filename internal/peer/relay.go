package peer

import (
	"context"
	"sync"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// relayConfirmation passes the word of the platform's latest answer on: along a tree in the
// own data center, and where the platform answered this instance, to one
// instance of each other data center, which starts a tree there. So each
// instance hears it once, however many there are, and few bytes leave a data
// center.
func (p *Peers) relayConfirmation(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	if !st.freshness.propagateDue {
		return
	}
	now := p.options.Common.Clock.Now()
	w := st.freshness.latest
	st.freshness.propagateDue = false
	st.freshness.propagated = w
	n := p.newGossip(now, st, true)
	n.relay = true
	if w.direct {
		for _, candidates := range st.view.RelayCandidates(now, st.random) {
			p.sendToFirst(ctx, candidates, n, exchanges)
		}
	}
	n.relayRoot = w.relayRoot
	if n.relayRoot == "" {
		n.relayRoot = st.view.Self.PeerAddress
	}
	p.send(ctx, st.view.Children(now, n.relayRoot), n, p.relayLimiter, exchanges)
}

// sendToFirst tells the first of some peers that answers.
func (p *Peers) sendToFirst(ctx context.Context, candidates []tarragonwell.Member, n gossip, exchanges *sync.WaitGroup) {
	request := n.request()
	exchanges.Go(func() {
		for _, m := range candidates {
			if p.exchangeAndMerge(ctx, m.PeerAddress, request) != nil {
				return
			}
		}
	})
}
