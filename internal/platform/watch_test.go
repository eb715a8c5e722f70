package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

const maxContactAge = 3 * time.Second

func newTestWatcher(t *testing.T, readerStatus func() (bool, time.Time), read func(context.Context, bool, time.Duration) error) *Watcher {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	return &Watcher{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{
				WatchWait:     time.Second,
				BackoffLimit:  5 * time.Second,
				MaxContactAge: maxContactAge,
			},
			Log:     l,
			Metrics: metrics.NewSet(),
			Clock:   common.SystemClock{},
		},
		ReaderStatus: readerStatus,
		Read:         read,
		MayRegress:   true,
		Name:         "test",
	}
}

// TestReadRate counts the reads of one instance in a minute of fake time.
func TestReadRate(t *testing.T) {
	isReader := func() (bool, time.Time) { return true, time.Time{} }
	tests := []struct {
		name               string
		readerStatus       func() (bool, time.Time)
		read               func(context.Context, bool, time.Duration) error
		minReads, maxReads int
	}{
		{
			name:         "reader, no changes",
			readerStatus: isReader,
			read: func(ctx context.Context, _ bool, wait time.Duration) error {
				sleep(ctx, wait)
				return nil
			},
			minReads: 55,
			maxReads: 70,
		},
		{
			name:         "reader, platform down",
			readerStatus: isReader,
			read: func(context.Context, bool, time.Duration) error {
				return errors.New("down")
			},
			minReads: 10,
			maxReads: 40,
		},
		{
			name:         "not a reader, fresh confirmation",
			readerStatus: func() (bool, time.Time) { return false, time.Now() },
			read:         nil,
			minReads:     0,
			maxReads:     0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := 0
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				newTestWatcher(t, tt.readerStatus, func(ctx context.Context, full bool, wait time.Duration) error {
					reads++
					return tt.read(ctx, full, wait)
				}).Run(ctx)
				if reads < tt.minReads || reads > tt.maxReads {
					t.Errorf("got %d reads, want %d to %d", reads, tt.minReads, tt.maxReads)
				}
			})
		})
	}
}

// TestNonReaderReadsWhenDataIsStale checks that an instance which is not a reader
// reads the platform itself once the last confirmation is older than MaxContactAge.
func TestNonReaderReadsWhenDataIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		confirmed := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var first time.Time
		newTestWatcher(t, func() (bool, time.Time) { return false, confirmed }, func(context.Context, bool, time.Duration) error {
			first = time.Now()
			cancel()
			return nil
		}).Run(ctx)
		if got, limit := first.Sub(confirmed), maxContactAge+maxRecheckDelay*3/2; got <= maxContactAge || got > limit {
			t.Errorf("read after %v, want more than %v and at most %v", got, maxContactAge, limit)
		}
	})
}

// TestPeersAreQueriedBeforePlatform checks that an instance with a stale
// confirmation queries its peers, and reads the platform only if they have no more
// recent one either.
func TestPeersAreQueriedBeforePlatform(t *testing.T) {
	for _, tt := range []struct {
		name string
		// peersFresh states that the peers have a recent confirmation.
		peersFresh bool
		wantReads  bool
	}{
		{
			name:       "peers have a recent confirmation",
			peersFresh: true,
		},
		{
			name:      "peers have no recent confirmation",
			wantReads: true,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			confirmed := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			reads, queries := 0, 0
			w := newTestWatcher(t, func() (bool, time.Time) { return false, confirmed }, func(context.Context, bool, time.Duration) error {
				reads++
				confirmed = time.Now()
				return nil
			})
			w.RefreshFromPeers = func(context.Context) {
				queries++
				if tt.peersFresh {
					confirmed = time.Now()
				}
			}
			w.Run(ctx)
			if got := reads > 0; got != tt.wantReads || queries == 0 {
				t.Errorf("%s: got %d reads and %d queries to peers", tt.name, reads, queries)
			}
		})
	}
}

// TestOutageIsLoggedOnce checks that an outage logs one line when it begins and one
// when it ends, however many reads fail.
func TestOutageIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		l, err := common.NewLogger(&logged, "info", "test")
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		w := newTestWatcher(t, func() (bool, time.Time) { return true, begin }, func(ctx context.Context, _ bool, wait time.Duration) error {
			age := time.Since(begin)
			if age > 10*time.Second && age < 30*time.Second {
				return errors.New("down")
			}
			sleep(ctx, wait)
			return nil
		})
		w.Common.Log = l
		w.Run(ctx)
		for _, want := range []string{"dependency-lost", "dependency-regained"} {
			if got := strings.Count(logged.String(), want); got != 1 {
				t.Errorf("%s: got %d lines, want 1:\n%s", want, got, logged.String())
			}
		}
	})
}
