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

const contactLimit = 3 * time.Second

func watcherOf(t *testing.T, reader func() (bool, time.Time), read func(context.Context, bool, time.Duration) error) *Watcher {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	return &Watcher{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{
				WatchWait:      time.Second,
				BackoffLimit:   5 * time.Second,
				MaxPlatformAge: contactLimit,
			},
			Log:     l,
			Metrics: metrics.NewSet(),
			Clock:   common.SystemClock{},
		},
		ReaderStatus: reader,
		Read:         read,
		Restorable:   true,
		Name:         "test",
	}
}

// TestReadsAreFew counts the reads of one instance in a minute of fake time.
func TestReadsAreFew(t *testing.T) {
	yes := func() (bool, time.Time) { return true, time.Time{} }
	tests := []struct {
		name        string
		reader      func() (bool, time.Time)
		read        func(context.Context, bool, time.Duration) error
		least, most int
	}{
		{
			name:   "a reader, without news",
			reader: yes,
			read: func(ctx context.Context, _ bool, wait time.Duration) error {
				sleep(ctx, wait)
				return nil
			},
			least: 55,
			most:  70,
		},
		{
			name:   "a reader, platform down",
			reader: yes,
			read: func(context.Context, bool, time.Duration) error {
				return errors.New("down")
			},
			least: 10,
			most:  40,
		},
		{
			name:   "others read",
			reader: func() (bool, time.Time) { return false, time.Now() },
			read:   nil,
			least:  0,
			most:   0,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := 0
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				watcherOf(t, x.reader, func(ctx context.Context, plain bool, wait time.Duration) error {
					reads++
					return x.read(ctx, plain, wait)
				}).Run(ctx)
				if reads < x.least || reads > x.most {
					t.Errorf("got %d reads, want %d to %d", reads, x.least, x.most)
				}
			})
		})
	}
}

// TestSilenceMakesAReader holds that an instance which hears of no contact with
// the platform reads for itself.
func TestSilenceMakesAReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		last := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var first time.Time
		watcherOf(t, func() (bool, time.Time) { return false, last }, func(context.Context, bool, time.Duration) error {
			first = time.Now()
			cancel()
			return nil
		}).Run(ctx)
		if got, limit := first.Sub(last), contactLimit+idleInterval*3/2; got <= contactLimit || got > limit {
			t.Errorf("read after %v, want more than %v and at most %v", got, contactLimit, limit)
		}
	})
}

// TestPeersAreAskedBeforeThePlatform holds that an instance whose word of the
// platform is overdue asks peers, and reads only where they have heard nothing
// either.
func TestPeersAreAskedBeforeThePlatform(t *testing.T) {
	for _, x := range []struct {
		name string
		// told says that the peers have heard.
		told  bool
		reads bool
	}{
		{
			name: "peers have heard",
			told: true,
		},
		{
			name:  "peers have heard nothing",
			reads: true,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			contact := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			reads, asked := 0, 0
			w := watcherOf(t, func() (bool, time.Time) { return false, contact }, func(context.Context, bool, time.Duration) error {
				reads++
				contact = time.Now()
				return nil
			})
			w.RefreshFromPeers = func(context.Context) {
				asked++
				if x.told {
					contact = time.Now()
				}
			}
			w.Run(ctx)
			if got := reads > 0; got != x.reads || asked == 0 {
				t.Errorf("%s: got %d reads and %d questions to peers", x.name, reads, asked)
			}
		})
	}
}

// TestLostAndRegainedPlatformsAreLogged holds that an outage leaves one line when
// it begins and one when it ends, however many reads fail.
func TestLostAndRegainedPlatformsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		l, err := common.NewLogger(&lines, "info", "test")
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		w := watcherOf(t, func() (bool, time.Time) { return true, begin }, func(ctx context.Context, _ bool, wait time.Duration) error {
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
			if got := strings.Count(lines.String(), want); got != 1 {
				t.Errorf("%s: got %d lines, want 1:\n%s", want, got, lines.String())
			}
		}
	})
}
