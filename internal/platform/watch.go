package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
)

const (
	// maxRecheckDelay is the maximum delay before an instance that does not read the
	// platform checks again whether it has to.
	maxRecheckDelay = 400 * time.Millisecond
	// minBackoff is the first backoff after a failure, and the wait after a full
	// read.
	minBackoff = 100 * time.Millisecond
	// staleShare is the part of MaxContactAge, the maximum age of the platform's last
	// confirmation, after which the confirmation counts as stale and peers are
	// queried for a more recent one.
	staleShare = 0.72
	// peerRefreshTimeout is short, so that an unresponsive peer does not delay a
	// read of the platform.
	peerRefreshTimeout = 150 * time.Millisecond
	// fullReadEvery is the number of rounds of Run from one full read to the next,
	// rounds without a read included. A full read is one without a revision; it
	// detects a revision that was published again with different content.
	fullReadEvery = 16
)

// Watcher keeps one feed of the platform up to date. Each feed has a Watcher of its
// own, whose Run is a task: a goroutine that owns the state of the feed.
type Watcher struct {
	Common *common.Dependencies
	// ReaderStatus reports whether the instance is one of those that watch the
	// platform on behalf of the fleet, and when the platform last confirmed to any
	// instance that the data is current, as far as this instance knows.
	ReaderStatus func() (reader bool, confirmed time.Time)
	// Read makes one request, passes any change on, and records the confirmation by
	// the platform. A full read requests everything, without a revision.
	Read func(ctx context.Context, full bool, wait time.Duration) error
	// MayRegress states that the platform may return to earlier revisions, as after a
	// restore from a backup. It enables full reads.
	MayRegress bool
	// RefreshFromPeers queries a few peers for a more recent confirmation; nil
	// disables it.
	RefreshFromPeers func(ctx context.Context)
	// Name is the name of the feed in logs.
	Name string
}

// Run watches until ctx is done. While the platform fails, it backs off
// exponentially with jitter, so that the instances do not all reconnect at once when
// the platform recovers.
func (w *Watcher) Run(ctx context.Context) {
	s := w.Common.Settings
	backoff := time.Duration(0)
	outage := outageLogger{
		watcher: w,
	}
	for n := 0; ctx.Err() == nil; n++ {
		if !w.shouldRead() {
			w.refreshFromPeers(ctx)
			sleep(ctx, w.recheckDelay())
			continue
		}
		// After an outage the platform may have been restored to an earlier revision.
		full := w.MayRegress && (n%fullReadEvery == 0 || backoff > 0)
		begin := w.Common.Clock.Now()
		if err := w.Read(ctx, full, s.WatchWait); err != nil {
			backoff = min(max(minBackoff, 2*backoff), s.BackoffLimit)
			outage.recordFailure(err)
			sleep(ctx, backoff/4+rand.N(backoff))
			continue
		}
		outage.recordSuccess()
		backoff = 0
		if full {
			// A full read returns immediately, without waiting for a change.
			sleep(ctx, minBackoff)
		}
		sleep(ctx, s.MinReadInterval-w.Common.Clock.Now().Sub(begin))
	}
}

// refreshFromPeers queries peers if the last confirmation is stale, before the
// instance reads the platform itself: reads are expensive, and a confirmation that
// was lost on its way to this instance has reached most others.
func (w *Watcher) refreshFromPeers(ctx context.Context) {
	_, confirmed := w.ReaderStatus()
	staleAfter := time.Duration(staleShare * float64(w.Common.Settings.MaxContactAge))
	if w.RefreshFromPeers == nil || w.Common.Clock.Now().Sub(confirmed) < staleAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerRefreshTimeout)
	defer cancel()
	w.RefreshFromPeers(ctx)
}

// shouldRead reports whether the instance is a reader or the last confirmation is older
// than MaxContactAge.
func (w *Watcher) shouldRead() bool {
	reader, confirmed := w.ReaderStatus()
	return reader || w.Common.Clock.Now().Sub(confirmed) > w.Common.Settings.MaxContactAge
}

// recheckDelay returns the time until an instance that does not read checks again
// whether it has to. It is randomized, so that one instance reads first and the others
// learn its confirmation by gossip.
func (w *Watcher) recheckDelay() time.Duration {
	_, confirmed := w.ReaderStatus()
	remaining := w.Common.Settings.MaxContactAge - w.Common.Clock.Now().Sub(confirmed)
	return min(max(remaining, 0), maxRecheckDelay/2) + rand.N(maxRecheckDelay/2)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
