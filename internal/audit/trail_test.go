package audit

import (
	"context"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(t *testing.T, minRecords int) *Trail {
	t.Helper()
	trail := NewTrail(minRecords)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { trail.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return trail
}

func record(trail *Trail, n int) {
	for range n {
		trail.Record(tarragonwell.AuditRecord{
			Event: "e",
		})
	}
}

func TestTrailIsBounded(t *testing.T) {
	trail := start(t, 10)
	record(trail, 95)
	retained, err := trail.Records(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got := len(retained); got < 10 || got >= 20 {
		t.Errorf("retained: got %d, want 10 to 19", got)
	}
	if got, want := retained[len(retained)-1].Sequence, uint64(95); got != want {
		t.Errorf("last sequence: got %d, want %d", got, want)
	}
}

func TestFollowDeliversEveryRecord(t *testing.T) {
	trail := start(t, 10)
	record(trail, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	retained, later, err := trail.Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	record(trail, 2)
	if got, want := len(retained), 3; got != want {
		t.Errorf("retained: got %d, want %d", got, want)
	}
	for want := uint64(4); want <= 5; want++ {
		if got := (<-later).Sequence; got != want {
			t.Errorf("followed sequence: got %d, want %d", got, want)
		}
	}
}
