package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// listedMember returns the record of instance n of a fleet as large ones have it.
func listedMember(n int) tarragonwell.Member {
	return tarragonwell.Member{
		PeerAddress: fmt.Sprintf("10.2.%d.%d:18022", n/200, 10+n%200),
		DataCenter:  fmt.Sprintf("north-%d", n%5),
		Incarnation: tarragonwell.Incarnation{byte(n), byte(n >> 8), 1},
		Started:     time.Unix(1_000_000, 0),
		State:       tarragonwell.MemberServing,
		Heartbeat:   100_000,
	}
}

// startPeers runs Peers with a server of their own on loopback, which know the members.
func startPeers(t *testing.T, n int, members ...tarragonwell.Member) (*Peers, tarragonwell.Member) {
	t.Helper()
	p := newPeers(t, nil)
	self := listedMember(n)
	self.PeerAddress = servePeer(t, (&Server{
		Peers: p,
	}).Handler())
	p.options.Common.Settings.PeerAddress = self.PeerAddress
	p.options.Common.Settings.SampleSize = 8
	p.options.Common.Incarnation = self.Incarnation
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	reply := make(chan gossip, 1)
	p.mailbox.Post(gossipMessage{
		gossip: gossip{
			members: membersToProto(members),
		},
		reply: reply,
	})
	<-reply
	return p, self
}

// TestProbeThroughHelpers guards against the suspicion of a peer that others reach, and of
// one that was not probed because the fault may be the instance's own.
func TestProbeThroughHelpers(t *testing.T) {
	closed := listedMember(9)
	closed.PeerAddress = "127.0.0.1:1"
	_, target := startPeers(t, 1)
	replaced := target
	replaced.Incarnation = tarragonwell.Incarnation{77}
	_, helper := startPeers(t, 2, target, closed)
	previous := listedMember(3)
	mux := http.NewServeMux()
	mux.Handle(tarragonwellv1connect.NewPeerServiceHandler(earlierPeer{}))
	previous.PeerAddress = servePeer(t, mux)
	p, _ := startPeers(t, 4)
	for _, x := range []struct {
		name        string
		helpers     []tarragonwell.Member
		target      tarragonwell.Member
		reached     bool
		unreachable bool
	}{
		{
			name:    "reached",
			helpers: []tarragonwell.Member{closed, helper},
			target:  target,
			reached: true,
		},
		{
			name:        "stopped",
			helpers:     []tarragonwell.Member{closed, helper},
			target:      closed,
			unreachable: true,
		},
		{
			name:        "replaced at the same address",
			helpers:     []tarragonwell.Member{helper},
			target:      replaced,
			unreachable: true,
		},
		{
			name:        "helper of the previous release",
			helpers:     []tarragonwell.Member{previous},
			target:      target,
			unreachable: true,
		},
		{
			name:    "no helper responds",
			helpers: []tarragonwell.Member{closed},
			target:  target,
		},
		{
			name:    "helper that does not know the target",
			helpers: []tarragonwell.Member{helper},
			target:  listedMember(8),
		},
		{
			name:        "no helpers",
			target:      target,
			unreachable: true,
		},
	} {
		r := p.probeThrough(t.Context(), x.helpers, x.target)
		if got, want := r.record != nil, x.reached; got != want {
			t.Errorf("%s: got reached %v, want %v", x.name, got, want)
		}
		if got, want := r.unreachable, x.unreachable; got != want {
			t.Errorf("%s: got unreachable %v, want %v", x.name, got, want)
		}
	}
}

// TestNoSuspicionAfterPause guards against suspicions from requests that failed because the
// process itself was paused.
func TestNoSuspicionAfterPause(t *testing.T) {
	p := newPeers(t, nil)
	st := p.newState()
	now := p.options.Common.Clock.Now()
	m := listedMember(1)
	m.Age = time.Minute
	st.view.Merge(now, m)
	st.view.RecordContact(now, listedMember(2))
	st.pause.uptime -= 2 * p.options.Common.Settings.GossipInterval
	p.detectPause(st)
	result := probeResult{
		target:      m,
		startedAt:   now,
		unreachable: true,
	}
	p.applyProbe(now, st, result)
	if got, want := st.view.IsTrusted(now, m), true; got != want {
		t.Errorf("probe from before the pause: got trusted %v, want %v", got, want)
	}
	result.startedAt = st.pause.resumedAt
	p.applyProbe(now, st, result)
	if got, want := st.view.IsTrusted(now, m), false; got != want {
		t.Errorf("probe from after the pause: got trusted %v, want %v", got, want)
	}
}

// TestNewInstanceFetchesAllMembers guards against an instance that learns of a large fleet
// only in samples.
func TestNewInstanceFetchesAllMembers(t *testing.T) {
	const members = 200
	var list []tarragonwell.Member
	for n := range members {
		list = append(list, listedMember(10+n))
	}
	_, known := startPeers(t, 1, list...)
	p, _ := startPeers(t, 2)
	p.GossipWith(t.Context(), []string{known.PeerAddress})
	deadline := time.Now().Add(5 * time.Second)
	for len(p.Snapshot().Alive) < members+1 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if got, want := len(p.Snapshot().Alive), members+1; got != want {
		t.Errorf("got %d live peers, want %d", got, want)
	}
}

// TestRoundIsWithinTrafficLimit guards against messages that grow with the fleet or with the
// number of failures, and logs the bytes a second of a member in rounds of a second.
func TestRoundIsWithinTrafficLimit(t *testing.T) {
	for _, n := range []int{15, 30, 110, 150, 500} {
		p := newPeers(t, nil)
		p.options.Common.Settings.SampleSize = 8
		st := p.newState()
		st.view.Self = listedMember(0)
		st.rules = tarragonwell.RulesVersion{
			Revision: 1000,
			Digest:   make([]byte, 32),
		}
		now := time.Unix(2_000_000, 0)
		m := listedMember(0)
		for k := 1; k < n; k++ {
			m = listedMember(k)
			m.Age = 9 * time.Second
			st.view.Merge(now, m)
		}
		st.view.RecordContact(now, m)
		bytes := func() int {
			probe, round := p.newProbe(now, st).request(), p.newGossip(now, st, false).request()
			return exchangeBytes(probe) + exchangeBytes(round)
		}
		joined := bytes()
		// Sends every change as often as it is sent ahead of the random sample.
		for range 100 {
			st.view.Sample(now, n, st.random)
		}
		calm := bytes()
		for k := 1; k < n; k++ {
			st.view.Suspect(listedMember(k), now)
		}
		suspected := bytes()
		t.Logf("%d instances: %d bytes/s calm, %d while instances join, %d while many are suspected", n, calm, joined, suspected)
		if got, want := max(calm, joined, suspected), roundBytesPerSecond; got > want {
			t.Errorf("%d instances: got %d bytes/s, want at most %d", n, got, want)
		}
		relay := p.newGossip(now, st, true).request()
		relay.Relay = true
		if got, want := proto.Size(relay), 256; got > want {
			t.Errorf("%d instances: got a relayed confirmation of %d bytes, want at most %d", n, got, want)
		}
	}
}
