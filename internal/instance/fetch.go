package instance

import (
	"context"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// rulesHint is a peer's report that it has newer rules.
type rulesHint struct {
	from    string
	version tarragonwell.RulesVersion
}

// listHint is a peer's report that it has a newer list.
type listHint struct {
	from     string
	revision uint64
}

// resyncRequest requests that the platform is read again because the process was
// paused.
type resyncRequest struct{}

// resyncDone marks the end of the work on a resyncRequest.
type resyncDone struct{}

// fetchRules fetches the rules from the peer that sent the hint, if they are newer
// than those in force and are not the ones that were refused last.
func (rc *reconciler) fetchRules(ctx context.Context, st *reconcilerState, m rulesHint) {
	if st.fetchingRules || !m.version.After(st.version()) || m.version.Equal(st.refusal.version) {
		return
	}
	st.fetchingRules = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		rules, err := rc.peers.FetchRules(ctx, m.from)
		if err != nil {
			rc.common.Log.Debug("fetching rules failed", "peer", m.from, "error", err)
		}
		rc.mailbox.Post(rulesUpdate{
			rules:     rules,
			from:      m.from,
			fetchDone: true,
		})
	}()
}

// fetchList fetches the changes of the list from the peer that sent the hint, if its
// revision is newer.
func (rc *reconciler) fetchList(ctx context.Context, st *reconcilerState, m listHint) {
	since := st.list.Revision()
	if st.fetchingList || m.revision <= since {
		return
	}
	st.fetchingList = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		change, err := rc.peers.FetchList(ctx, m.from, since)
		if err != nil {
			rc.common.Log.Debug("fetching the list failed", "peer", m.from, "error", err)
		}
		rc.mailbox.Post(listUpdate{
			change:    change,
			from:      m.from,
			fetchDone: true,
		})
	}()
}

// resync reads the platform again and queries a few peers, after the process was
// paused. The services resume when it is done, even if all reads have failed.
func (rc *reconciler) resync(ctx context.Context, st *reconcilerState) {
	if st.resyncing {
		return
	}
	st.resyncing = true
	after := tarragonwell.PlatformPosition{
		Rules: st.version().Revision,
		List:  st.list.Revision(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
		defer cancel()
		for _, f := range rc.platform.Feeds() {
			update, err := f.Watch(ctx, after, 0)
			if err != nil {
				rc.common.Log.Warn("reading the platform after a pause failed", "feed", f.Name(), "error", err)
				continue
			}
			rc.submit(update)
		}
		// Peers report newer lists and leaving targets.
		rc.peers.GossipWith(ctx, rc.peers.SampleAlive(resyncPeerCount))
		rc.mailbox.Post(resyncDone{})
	}()
}

// submit sends an update that was read from the platform to the task.
func (rc *reconciler) submit(u tarragonwell.PlatformUpdate) {
	if u.Rules != nil {
		rc.mailbox.Post(rulesUpdate{
			rules: u.Rules,
			from:  fromPlatform,
		})
	}
	if u.List != nil {
		rc.mailbox.Post(listUpdate{
			change:  u.List,
			from:    fromPlatform,
			invalid: u.Invalid,
		})
	}
}
