package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonwell/tarragonwell/internal/audit"
	"github.com/tarragonwell/tarragonwell/internal/common"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/hostile"
	"github.com/tarragonwell/tarragonwell/test/standin/tcp"
)

// newPeers returns Peers that are not running. onLeaving may be nil.
func newPeers(t testing.TB, onLeaving func()) *Peers {
	t.Helper()
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{
		Common: &common.Dependencies{
			Settings: &settingsfile.Settings{
				GossipInterval: time.Hour,
			},
			Log:     l,
			Metrics: metrics.NewSet(),
			Audit:   audit.NewTrail(1),
			Clock:   common.SystemClock{},
		},
		OnNewerRules:      func(string, tarragonwell.RulesVersion) {},
		OnNewerList:       func(string, tarragonwell.ListPosition) {},
		OnTargetSuspected: func(string, string, time.Time) {},
		OnTargetLeaving: func(tarragonwell.LeavingTarget, string) {
			if onLeaving != nil {
				onLeaving()
			}
		},
	})
}

// TestMessageThatPanicsIsDropped checks that a message of a peer that can't be processed
// ends neither the task nor the exchange, and that later ones are processed.
func TestMessageThatPanicsIsDropped(t *testing.T) {
	calls := 0
	p := newPeers(t, func() {
		calls++
		if calls == 1 {
			panic("odd message")
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for n, id := range []string{"i-1", "i-2"} {
		reply := make(chan gossip, 1)
		p.mailbox.Post(gossipMessage{
			gossip: gossip{
				leaving: []*pb.LeavingTarget{
					{
						Service:     "s",
						Address:     id,
						RemainingMs: 1000,
					},
				},
			},
			reply: reply,
		})
		select {
		case <-reply:
		case <-time.After(time.Second):
			t.Fatalf("message %d: got no reply", n)
		}
	}
	if got, want := calls, 2; got != want {
		t.Errorf("announcements processed: got %d, want %d", got, want)
	}
}

// TestHostilePeer checks that an exchange with a peer whose responses never end, or are
// none, fails within its timeout.
func TestHostilePeer(t *testing.T) {
	const grace = 300 * time.Millisecond
	for m := range hostile.Modes {
		t.Run(m.String(), func(t *testing.T) {
			t.Parallel()
			address, stop, err := (&hostile.Server{
				Mode: m,
			}).Start()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stop)
			p := newPeers(t, nil)
			t.Cleanup(p.client.CloseIdleConnections)
			begin := time.Now()
			if got := p.exchangeAndMerge(t.Context(), address, &pb.ExchangeRequest{}); got != nil {
				t.Errorf("got %v, want no response", got)
			}
			ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
			defer cancel()
			if _, err := p.FetchList(ctx, address, tarragonwell.ListPosition{}, tarragonwell.RulesVersion{}); !errors.Is(err, ErrRequestFailed) {
				t.Errorf("list: got %v, want ErrRequestFailed", err)
			}
			if got, want := time.Since(begin), 2*exchangeTimeout+grace; got > want {
				t.Errorf("ended after %v, want at most %v", got, want)
			}
		})
	}
}

// FuzzExchange checks that no gossip of a peer ends the task.
func FuzzExchange(f *testing.F) {
	seed, err := proto.Marshal(&pb.ExchangeRequest{
		Members: []*pb.Member{
			{
				PeerAddress: "10.0.0.1:1",
				Incarnation: []byte("short"),
				State:       99,
				AgeMs:       1<<32 - 1,
			},
		},
		Suspicions: []*pb.MemberSuspicion{
			{
				Incarnation: []byte("short"),
				AgeMs:       1<<32 - 1,
			},
		},
		MemberCount: 1<<32 - 1,
		Leaving: []*pb.LeavingTarget{
			{
				Service:     "s",
				Address:     "i-1",
				RemainingMs: 1<<32 - 1,
				Born:        1<<64 - 1,
			},
		},
		PlatformAgeMs: 1<<32 - 1,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, content []byte) {
		var m pb.ExchangeRequest
		if proto.Unmarshal(content, &m) != nil {
			return
		}
		p := newPeers(t, nil)
		st := p.newState()
		now := time.Unix(1_000_000, 0)
		p.merge(now, st, "10.0.0.1:1", gossipFromProto(&m))
		p.newGossip(now, st, false)
		p.newProbe(now, st)
		p.logLostPeers(st)
		st.view.Expire(now)
		p.publishSnapshot(st)
	})
}

// FuzzListChange checks that no relayed list is more than an error.
func FuzzListChange(f *testing.F) {
	seed, err := proto.Marshal(&pb.ListChange{
		Revision: 1<<64 - 1,
		Targets: []*pb.ListedTarget{
			{
				Id:     "i-1",
				Slots:  1<<32 - 1,
				ColdMs: 1<<32 - 1,
			},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, content []byte) {
		var m pb.ListChange
		if proto.Unmarshal(content, &m) != nil {
			return
		}
		for _, l := range listChangeFromProto(&m).Targets {
			if l.Slots < 0 || l.WarmUpRemaining < 0 {
				t.Errorf("got %+v", l)
			}
		}
	})
}

// FuzzOperate checks that no forwarded operation and no hand-over ends the process.
func FuzzOperate(f *testing.F) {
	f.Add([]byte("\x0a\x02\x0a\x00"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		var operate pb.OperateRequest
		if proto.Unmarshal(content, &operate) == nil {
			// The error of a malformed ticket is the response.
			_, _ = operationFromProto(&operate)
		}
		var response pb.OperateResponse
		if proto.Unmarshal(content, &response) == nil {
			forwardResponseFromProto(&response)
		}
		var handOver pb.HandOverRequest
		if proto.Unmarshal(content, &handOver) == nil {
			handOverFromProto(&handOver)
		}
	})
}

// TestRefreshIsLimited checks that asking peers again and again, as while the platform
// fails, stays within the traffic limit.
func TestRefreshIsLimited(t *testing.T) {
	p := newPeers(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	defer running.Wait()
	defer cancel()
	var connections atomic.Int64
	address := tcp.StartForTest(t, func(*net.TCPConn) { connections.Add(1) })
	for range 10 * burstBytes / refreshBytes {
		p.Refresh(ctx, []string{address})
	}
	if got, want := connections.Load(), int64(2*burstBytes/refreshBytes); got > want || got == 0 {
		t.Errorf("got %d exchanges, want 1 to %d", got, want)
	}
}

// TestEveryLeavingTargetIsGossiped checks that the announcements of more leaving targets
// than fit into a message all reach peers, the latest ones with each message, and that
// they arrive as they were sent.
func TestEveryLeavingTargetIsGossiped(t *testing.T) {
	const targets, messages = 60, 200
	p := newPeers(t, nil)
	st := p.newState()
	now := time.Unix(1_000_000, 0)
	latest := ""
	for n := range targets {
		latest = fmt.Sprintf("i-%d", n)
		st.view.MergeLeaving(now, tarragonwell.LeavingTarget{
			Service:   "s",
			ID:        latest,
			Born:      uint64(n + 1),
			ExpiresAt: now.Add(time.Minute + time.Duration(n)*time.Second),
			Observed:  true,
		})
	}
	received := map[string]tarragonwell.LeavingTarget{}
	for range messages {
		g := p.newGossip(now, st, true)
		if got, want := len(g.leaving), maxLeaving; got != want {
			t.Fatalf("announcements in a message: got %d, want %d", got, want)
		}
		if got := g.leaving[0].GetAddress(); got != latest {
			t.Fatalf("first announcement: got %s, want %s", got, latest)
		}
		for _, m := range g.leaving {
			l := leavingFromProto(m, now)
			received[l.ID] = l
		}
	}
	if got, want := len(received), targets; got != want {
		t.Errorf("targets announced: got %d, want %d", got, want)
	}
	want := tarragonwell.LeavingTarget{
		Service:   "s",
		ID:        latest,
		Born:      targets,
		ExpiresAt: now.Add(time.Minute + (targets-1)*time.Second),
	}
	if got := received[latest]; got != want {
		t.Errorf("got %+v, want %+v, which the receiver has not observed", got, want)
	}
}
