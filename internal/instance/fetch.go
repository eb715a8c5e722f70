package instance

import (
	"context"
	"time"

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
	position tarragonwell.ListPosition
}

// resyncRequest requests that the platform is read again because the process was
// paused.
type resyncRequest struct{}

// resyncDone marks the end of the work on a resyncRequest.
type resyncDone struct{}

// fetchRules fetches the rules from the peer that sent the hint, if they are newer
// than those in force and are not the ones that were refused last.
func (rc *reconciler) fetchRules(ctx context.Context, st *reconcilerState, m rulesHint) {
	if st.fetching[fetchRules] || !m.version.After(st.version()) || m.version.Equal(st.refusal.version) {
		return
	}
	st.fetching[fetchRules] = true
	go func() {
		var rules *tarragonwell.PublishedRules
		err := rc.isolate("fetch rules", func() (err error) {
			rules, err = rc.peers.FetchRules(ctx, m.from)
			return err
		})
		if err != nil {
			rc.common.Log.Debug("fetching rules failed", "peer", m.from, "error", err)
		}
		rc.mailbox.Post(updateMessage{
			update: tarragonwell.PlatformUpdate{
				Rules: rules,
			},
			from:    m.from,
			fetched: fetchRules,
		})
	}()
}

// fetchList fetches the changes of the list from the peer that sent the hint, if its
// position is newer, and in the same request the rules that belong to them: the peer may
// fail before a second one.
func (rc *reconciler) fetchList(ctx context.Context, st *reconcilerState, m listHint) {
	since, rules := st.list.Position(), st.processedVersion()
	if st.fetching[fetchList] {
		if m.position.After(st.newestHint.position) {
			st.newestHint = m
		}
		return
	}
	if m.position == st.newestHint.position {
		st.newestHint = listHint{}
	}
	if !m.position.After(since) {
		return
	}
	st.fetching[fetchList] = true
	go func() {
		var update tarragonwell.PlatformUpdate
		err := rc.isolate("fetch list", func() (err error) {
			update, err = rc.peers.FetchList(ctx, m.from, since, rules)
			return err
		})
		if err != nil {
			rc.common.Log.Debug("fetching the list failed", "peer", m.from, "error", err)
		}
		rc.mailbox.Post(updateMessage{
			update:  update,
			from:    m.from,
			fetched: fetchList,
		})
	}()
}

// resync reads the platform again and queries a few peers, after the process was
// paused. The services resume when it is done, and a newer list of these peers has been
// fetched or was waited for until resumeTimeout, even if all reads have failed.
func (rc *reconciler) resync(ctx context.Context, st *reconcilerState) {
	if st.resyncing {
		return
	}
	st.resyncing = true
	after := tarragonwell.PlatformPosition{
		Rules: st.version(),
		List:  st.list.Position(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
		defer cancel()
		for _, f := range rc.platform.Feeds() {
			update, err := rc.watch(ctx, f, after, 0)
			if err != nil {
				rc.common.Log.Warn("reading the platform after a pause failed", "feed", f.Name(), "error", err)
				continue
			}
			rc.submit(update)
		}
		// Peers report newer lists and leaving targets.
		rc.peers.GossipWith(ctx, rc.resyncPeers())
		rc.peers.AwaitMerged(ctx)
		rc.mailbox.Post(resyncDone{})
	}()
}

// resyncPeers returns the addresses of the peers to query after a pause. After a long one
// no peer counts as alive.
func (rc *reconciler) resyncPeers() []string {
	if alive := rc.peers.SampleAlive(resyncPeerCount); len(alive) > 0 {
		return alive
	}
	return rc.peers.SampleKnown(resyncPeerCount)
}

// resume lets the services place calls again after a pause. The targets of the latest list
// have been passed to them before.
func (rc *reconciler) resume(st *reconcilerState) {
	st.resyncing = false
	st.resumeBy = time.Time{}
	for _, r := range st.running {
		r.dispatcher.ConfirmTargets()
	}
}

// watch reads a feed. A panic in its decoder is an error, as any other failure to read.
func (rc *reconciler) watch(ctx context.Context, f tarragonwell.Feed, after tarragonwell.PlatformPosition, wait time.Duration) (tarragonwell.PlatformUpdate, error) {
	var update tarragonwell.PlatformUpdate
	err := rc.isolate("read "+f.Name(), func() (err error) {
		update, err = f.Watch(ctx, after, wait)
		return err
	})
	return update, err
}

// isolate runs work on data from outside and returns its error, also if it panics.
func (rc *reconciler) isolate(name string, work func() error) error {
	var err error
	if panicked := rc.common.Isolate(name, func() { err = work() }); panicked != nil {
		return panicked
	}
	return err
}

// submit sends an update that was read from the platform to the task.
func (rc *reconciler) submit(u tarragonwell.PlatformUpdate) {
	if u.Rules == nil && u.List == nil {
		return
	}
	rc.mailbox.Post(updateMessage{
		update: u,
		from:   fromPlatform,
	})
}
