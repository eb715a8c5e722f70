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
	idleInterval = 500 * time.Millisecond
	// contactLimit is the age of the fleet's last contact with the platform
	// after which an instance reads for itself.
	contactLimit = 3 * time.Second
	firstBackoff = 100 * time.Millisecond
	// plainReadEvery is how often a reader reads without a revision, to find a
	// revision that was published again with other bytes.
	plainReadEvery = 16
)

// Watcher keeps one value of the platform current. Each value has a task of
// its own, which owns the connection that it reads through.
type Watcher struct {
	Common *common.Common
	// Reader reports whether the instance is one that watches for the fleet, and
	// when anyone last heard from the platform.
	Reader func() (reader bool, contact time.Time)
	// Read makes one call and hands on what is new.
	Read func(ctx context.Context, plain bool, wait time.Duration) error
	// Contact is told of each answer.
	Contact func()
	// Name is the value's name, for logs.
	Name string
}

// Run watches until ctx ends. While the platform fails it waits longer and
// longer, with jitter, so that its return draws no stampede.
func (w *Watcher) Run(ctx context.Context) {
	s := w.Common.Settings
	backoff := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		if !w.due() {
			sleep(ctx, idleInterval/2+rand.N(idleInterval))
			continue
		}
		// After an outage the platform may show what it was restored from.
		plain := n%plainReadEvery == 0 || backoff > 0
		if err := w.Read(ctx, plain, s.WatchWait); err != nil {
			backoff = min(max(firstBackoff, 2*backoff), s.BackoffLimit)
			w.Common.Log.Debug("platform read failed", "value", w.Name, "error", err)
			sleep(ctx, backoff/4+rand.N(backoff))
			continue
		}
		backoff = 0
		w.Contact()
		if plain {
			// A plain read returns at once.
			sleep(ctx, firstBackoff)
		}
	}
}

func (w *Watcher) due() bool {
	reader, contact := w.Reader()
	return reader || w.Common.Clock.Now().Sub(contact) > contactLimit
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
