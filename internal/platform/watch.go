package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
)

const (
	// idleInterval is how often an instance that does not read looks whether it
	// is to.
	idleInterval = 400 * time.Millisecond
	firstBackoff = 100 * time.Millisecond
	// overdueShare is the part of the contact limit after which peers are asked.
	overdueShare = 0.72
	// askTimeout is short: a peer that is silent must not hold a reading back.
	askTimeout = 150 * time.Millisecond
	// plainReadEvery is how often a reader reads without a revision, to find a
	// revision that was published again with other bytes.
	plainReadEvery = 16
)

// Watcher keeps one value of the platform current. Each value has a task of
// its own, which owns the connection that it reads through.
type Watcher struct {
	Common *common.Dependencies
	// ReaderStatus reports whether the instance is one that watches for the fleet, and
	// when anyone last heard from the platform.
	ReaderStatus func() (reader bool, contact time.Time)
	// Read makes one call and hands on what is new, and that the platform answered.
	Read func(ctx context.Context, plain bool, wait time.Duration) error
	// Restorable says that the platform may show earlier revisions again.
	Restorable bool
	// RefreshFromPeers asks a few peers whether they have heard from the platform; nil for
	// never.
	RefreshFromPeers func(ctx context.Context)
	// Name is the value's name, for logs.
	Name string
}

// Run watches until ctx ends. While the platform fails it waits longer and
// longer, with jitter, so that its return draws no stampede.
func (w *Watcher) Run(ctx context.Context) {
	s := w.Common.Settings
	backoff := time.Duration(0)
	link := dependency{
		watcher: w,
	}
	for n := 0; ctx.Err() == nil; n++ {
		if !w.due() {
			w.askPeers(ctx)
			sleep(ctx, w.idle())
			continue
		}
		// After an outage the platform may show what it was restored from.
		plain := w.Restorable && (n%plainReadEvery == 0 || backoff > 0)
		begin := w.Common.Clock.Now()
		if err := w.Read(ctx, plain, s.WatchWait); err != nil {
			backoff = min(max(firstBackoff, 2*backoff), s.BackoffLimit)
			link.failed(err)
			sleep(ctx, backoff/4+rand.N(backoff))
			continue
		}
		link.answered()
		backoff = 0
		if plain {
			// A plain read returns at once.
			sleep(ctx, firstBackoff)
		}
		sleep(ctx, s.MinReadInterval-w.Common.Clock.Now().Sub(begin))
	}
}

// askPeers asks peers where the platform's word is overdue, before the instance
// reads for itself: reads are dear, and a word that was lost on its way has
// reached most others.
func (w *Watcher) askPeers(ctx context.Context) {
	_, contact := w.ReaderStatus()
	overdue := time.Duration(overdueShare * float64(w.Common.Settings.MaxPlatformAge))
	if w.RefreshFromPeers == nil || w.Common.Clock.Now().Sub(contact) < overdue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	w.RefreshFromPeers(ctx)
}

func (w *Watcher) due() bool {
	reader, contact := w.ReaderStatus()
	return reader || w.Common.Clock.Now().Sub(contact) > w.Common.Settings.MaxPlatformAge
}

// idle is the time until an instance that does not read looks again whether it
// is to. It differs between instances, so that the first to read spares the
// others.
func (w *Watcher) idle() time.Duration {
	_, contact := w.ReaderStatus()
	left := w.Common.Settings.MaxPlatformAge - w.Common.Clock.Now().Sub(contact)
	return min(max(left, 0), idleInterval/2) + rand.N(idleInterval/2)
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
