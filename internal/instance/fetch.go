package instance

import (
	"context"

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
	if st.fetchingRules || !m.version.After(st.version()) || m.version.Equal(st.refusal.version) {
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
	since := st.list.Revision()
	if st.fetchingList || m.revision <= since {
		return
	}
	st.fetchingList = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		change, err := d.peers.FetchList(ctx, m.from, since)
		if err != nil {
			d.common.Log.Debug("fetching the list failed", "peer", m.from, "error", err)
		}
		d.mailbox.Post(listOffer{
			change:  change,
			from:    m.from,
			fetched: true,
		})
	}()
}

// confirm reads the platform anew, and asks peers, after the process was paused.
func (d *documents) confirm(ctx context.Context, st *documentsState) {
	if st.confirming {
		return
	}
	st.confirming = true
	after := tarragonwell.PlatformPosition{
		Rules: st.version().Revision,
		List:  st.list.Revision(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		for _, f := range d.platform.Feeds() {
			p, err := f.Watch(ctx, after, 0)
			if err != nil {
				d.common.Log.Warn("confirming the platform's word failed", "feed", f.Name(), "error", err)
				continue
			}
			d.offer(p)
		}
		// Peers tell of later lists and of targets that leave.
		d.peers.GossipWith(ctx, d.peers.SampleAlive(confirmPeers))
		d.mailbox.Post(confirmed{})
	}()
}

// offer hands on what was read from the platform.
func (d *documents) offer(p tarragonwell.PlatformUpdate) {
	for _, x := range p.Invalid {
		d.common.Log.Warn("entry-unreadable", "target", x.ID, "revision", x.Revision, "error", x.Err)
	}
	if p.Rules != nil {
		d.mailbox.Post(rulesOffer{
			rules: p.Rules,
			from:  fromPlatform,
		})
	}
	if p.List != nil {
		d.mailbox.Post(listOffer{
			change: p.List,
			from:   fromPlatform,
		})
	}
}
