package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var start = time.Unix(1_000_000, 0)

func newMember(n int, incarnation byte, heartbeat uint64, s tarragonwell.MemberState) tarragonwell.Member {
	return tarragonwell.Member{
		PeerAddress: fmt.Sprintf("10.0.0.%d:1", n),
		Incarnation: tarragonwell.Incarnation{byte(n), incarnation},
		Started:     start.Add(time.Duration(incarnation) * time.Hour),
		Heartbeat:   heartbeat,
		State:       s,
	}
}

func newView(n int) *View {
	return &View{
		Self: newMember(n, 0, 1, tarragonwell.MemberServing),
	}
}

func TestNewerRecordWins(t *testing.T) {
	v := newView(0)
	steps := []struct {
		name    string
		member  tarragonwell.Member
		changed bool
		state   tarragonwell.MemberState
	}{
		{
			name:    "new",
			member:  newMember(1, 1, 5, tarragonwell.MemberServing),
			changed: true,
			state:   tarragonwell.MemberServing,
		},
		{
			name:    "older heartbeat",
			member:  newMember(1, 1, 4, tarragonwell.MemberLeaving),
			changed: false,
			state:   tarragonwell.MemberServing,
		},
		{
			name:    "newer heartbeat, leaving",
			member:  newMember(1, 1, 6, tarragonwell.MemberLeaving),
			changed: true,
			state:   tarragonwell.MemberLeaving,
		},
		{
			name:    "newer incarnation",
			member:  newMember(1, 2, 1, tarragonwell.MemberStarting),
			changed: true,
			state:   tarragonwell.MemberStarting,
		},
		{
			name:    "older incarnation",
			member:  newMember(1, 1, 99, tarragonwell.MemberServing),
			changed: false,
			state:   tarragonwell.MemberStarting,
		},
		{
			name:    "own address",
			member:  newMember(0, 9, 99, tarragonwell.MemberGone),
			changed: false,
			state:   tarragonwell.MemberStarting,
		},
	}
	for _, x := range steps {
		if got, want := v.Merge(start, x.member), x.changed; got != want {
			t.Errorf("%s: got changed %v, want %v", x.name, got, want)
		}
		all := v.All()
		if got, want := len(all), 1; got != want {
			t.Fatalf("%s: got %d records, want %d", x.name, got, want)
		}
		if got, want := all[0].State, x.state; got != want {
			t.Errorf("%s: got %v, want %v", x.name, got, want)
		}
	}
}

// TestMergeConverges merges the same records into two views, in drawn orders and one
// of them twice. Both views must end up equal.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []tarragonwell.Member
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			records = append(records, newMember(rapid.IntRange(1, 3).Draw(t, "n"), byte(rapid.IntRange(0, 2).Draw(t, "incarnation")),
				uint64(rapid.IntRange(0, 4).Draw(t, "heartbeat")), tarragonwell.MemberState(rapid.IntRange(1, 4).Draw(t, "state"))))
		}
		a, b := newView(0), newView(0)
		for _, m := range records {
			a.Merge(start, m)
		}
		for _, m := range append(rapid.Permutation(records).Draw(t, "order"), records[0]) {
			b.Merge(start, m)
		}
		if got, want := fmt.Sprint(b.All()), fmt.Sprint(a.All()); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

func TestLostPeerIsRetained(t *testing.T) {
	v := newView(0)
	v.Merge(start, newMember(1, 1, 1, tarragonwell.MemberServing))
	later := start.Add(livenessTimeout)
	if got, want := len(v.Alive(later)), 0; got != want {
		t.Errorf("alive: got %d, want %d", got, want)
	}
	if got, want := v.IsMember("10.0.0.1:1"), true; got != want {
		t.Errorf("member: got %v, want %v", got, want)
	}
	r := rand.New(rand.NewPCG(1, 1))
	if got, want := len(v.SelectPeers(later, 2, r)) > 0, true; got != want {
		t.Errorf("lost peer is selected: got %v, want %v", got, want)
	}
	v.Expire(start.Add(recordRetention + time.Second))
	if got, want := len(v.All()), 0; got != want {
		t.Errorf("after expiry: got %d, want %d", got, want)
	}
}

func TestSampleAndReadersAreBounded(t *testing.T) {
	v := newView(0)
	for n := 1; n < 200; n++ {
		v.Merge(start, newMember(n, 1, 1, tarragonwell.MemberServing))
	}
	r := rand.New(rand.NewPCG(1, 1))
	sample := v.Sample(start, 8, r)
	if got, want := len(sample), 8; got != want {
		t.Errorf("sample: got %d, want %d", got, want)
	}
	if got, want := sample[0].PeerAddress, v.Self.PeerAddress; got != want {
		t.Errorf("first of the sample: got %s, want %s", got, want)
	}
	readers := 0
	for n := range 200 {
		x := newView(n)
		for k := range 200 {
			x.Merge(start, newMember(k, 0, 1, tarragonwell.MemberServing))
		}
		if x.IsReader(start, 6) {
			readers++
		}
	}
	if got, want := readers, 6; got != want {
		t.Errorf("readers with equal views: got %d, want %d", got, want)
	}
}

func TestNewestHolderWins(t *testing.T) {
	v := newView(0)
	holder := func(generation uint32, address string) tarragonwell.Holder {
		return tarragonwell.Holder{
			Incarnation: tarragonwell.Incarnation{1},
			PeerAddress: address,
			Generation:  generation,
			ExpiresAt:   start.Add(time.Minute),
		}
	}
	for _, x := range []struct {
		holder  tarragonwell.Holder
		updated bool
	}{
		{
			holder:  holder(2, "c"),
			updated: true,
		},
		{
			holder:  holder(1, "b"),
			updated: false,
		},
		{
			holder:  holder(2, "c"),
			updated: false,
		},
		{
			holder:  holder(3, "d"),
			updated: true,
		},
	} {
		if got, want := v.MergeHolder(x.holder), x.updated; got != want {
			t.Errorf("generation %d: got updated %v, want %v", x.holder.Generation, got, want)
		}
	}
	if got, want := v.Holders()[0].PeerAddress, "d"; got != want {
		t.Errorf("holder: got %s, want %s", got, want)
	}
	v.Expire(start.Add(2 * time.Minute))
	if got, want := len(v.Holders()), 0; got != want {
		t.Errorf("after expiry: got %d, want %d", got, want)
	}
}

// TestLostPeersAreReportedOnce checks that a lost peer is reported once,
// that one that announced its stop never is, and that a returning peer is a change.
func TestLostPeersAreReportedOnce(t *testing.T) {
	v := newView(0)
	v.Merge(start, newMember(1, 1, 1, tarragonwell.MemberServing))
	v.Merge(start, newMember(2, 1, 1, tarragonwell.MemberGone))
	if got := v.DetectLost(start); len(got) != 0 {
		t.Errorf("before the timeout: got %v, want none", got)
	}
	later := start.Add(livenessTimeout)
	if got := v.DetectLost(later); len(got) != 1 || got[0].PeerAddress != newMember(1, 1, 1, tarragonwell.MemberServing).PeerAddress {
		t.Errorf("after the timeout: got %v, want the peer that did not announce its stop", got)
	}
	if got := v.DetectLost(later); len(got) != 0 {
		t.Errorf("second call: got %v, want none", got)
	}
	if !v.Merge(later, newMember(1, 1, 2, tarragonwell.MemberServing)) {
		t.Error("returning peer: got no change, want one")
	}
}
