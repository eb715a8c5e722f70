package peer

import (
	"context"
	"sync"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// relay passes the word of the platform's latest answer on: along a tree in the
// own data center, and where the platform answered this instance, to one
// instance of each other data center, which starts a tree there. So each
// instance hears it once, however many there are, and few bytes leave a data
// center.
func (p *Peers) relay(ctx context.Context, st *state, exchanges *sync.WaitGroup) {
	if !st.contacts.due {
		return
	}
	now := p.options.Common.Clock.Now()
	w := st.contacts.latest
	st.contacts.due = false
	st.contacts.told = w
	n := p.news(now, st, true)
	n.relay = true
	if w.own {
		for _, candidates := range st.view.RelayCandidates(now, st.random) {
			p.tellOne(ctx, candidates, n, exchanges)
		}
	}
	n.relayRoot = w.root
	if n.relayRoot == "" {
		n.relayRoot = st.view.Self.PeerAddress
	}
	p.tell(ctx, st.view.Children(now, n.relayRoot), n, p.relays, exchanges)
}

// tellOne tells the first of some peers that answers.
func (p *Peers) tellOne(ctx context.Context, candidates []tarragonwell.Member, n news, exchanges *sync.WaitGroup) {
	request := n.request()
	exchanges.Go(func() {
		for _, m := range candidates {
			if p.exchange(ctx, m.PeerAddress, request) != nil {
				return
			}
		}
	})
}
