package instance

import (
	"context"

	"github.com/tarragonwell/tarragonwell/internal/platform"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// rulesHint says that a peer has newer rules.
type rulesHint struct {
	from    string
	version tarragonwell.RulesVersion
}

// listHint says that a peer has a newer list.
type listHint struct {
	from     string
	revision uint64
}

// confirmRequest asks for a new reading of the list, after a pause.
type confirmRequest struct{}

// confirmed ends it.
type confirmed struct{}

func (d *documents) fetchRules(ctx context.Context, st *documentsState, m rulesHint) {
	if st.fetchingRules || !m.version.After(st.version()) || m.version.Same(st.refusal.version) {
		return
	}
	st.fetchingRules = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		rules, err := d.peers.FetchRules(ctx, m.from)
		if err != nil {
			d.common.Log.Debug("fetching rules failed", "peer", m.from, "error", err)
		}
		d.mailbox.Post(rulesOffer{
			rules:   rules,
			from:    m.from,
			fetched: true,
		})
	}()
}

func (d *documents) fetchList(ctx context.Context, st *documentsState, m listHint) {
	if st.fetchingList || m.revision <= st.list.Revision {
		return
	}
	st.fetchingList = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		offer := listOffer{
			from:    m.from,
			fetched: true,
		}
		list, err := d.peers.FetchList(ctx, m.from)
		if err == nil {
			offer.list = platform.ListOf(list)
		}
		d.mailbox.Post(offer)
	}()
}

// confirm reads the list anew, from the platform or else through a peer, after
// the process was paused.
func (d *documents) confirm(ctx context.Context, st *documentsState) {
	if st.confirming {
		return
	}
	st.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		list, err := d.platform.WatchInstances(ctx, 0, 0)
		if err == nil && list != nil {
			d.mailbox.Post(listOffer{
				list: list,
				from: fromPlatform,
			})
		}
		// Peers tell of later lists and of targets that leave.
		d.peers.Greet(ctx, d.peers.SomeAlive(confirmPeers))
		d.mailbox.Post(confirmed{})
	}()
}
