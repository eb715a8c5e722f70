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

func memberOf(n int, life byte, heartbeat uint64, s tarragonwell.MemberState) tarragonwell.Member {
	return tarragonwell.Member{
		PeerAddress: fmt.Sprintf("10.0.0.%d:1", n),
		Incarnation: tarragonwell.Incarnation{byte(n), life},
		Started:     start.Add(time.Duration(life) * time.Hour),
		Heartbeat:   heartbeat,
		State:       s,
	}
}

func viewOf(n int) *View {
	return &View{
		Self: memberOf(n, 0, 1, tarragonwell.MemberServing),
	}
}

func TestLaterNewsWins(t *testing.T) {
	v := viewOf(0)
	steps := []struct {
		name    string
		member  tarragonwell.Member
		changed bool
		state   tarragonwell.MemberState
	}{
		{
			name:    "new",
			member:  memberOf(1, 1, 5, tarragonwell.MemberServing),
			changed: true,
			state:   tarragonwell.MemberServing,
		},
		{
			name:    "older heartbeat",
			member:  memberOf(1, 1, 4, tarragonwell.MemberLeaving),
			changed: false,
			state:   tarragonwell.MemberServing,
		},
		{
			name:    "leaves",
			member:  memberOf(1, 1, 6, tarragonwell.MemberLeaving),
			changed: true,
			state:   tarragonwell.MemberLeaving,
		},
		{
			name:    "replaced",
			member:  memberOf(1, 2, 1, tarragonwell.MemberStarting),
			changed: true,
			state:   tarragonwell.MemberStarting,
		},
		{
			name:    "former life",
			member:  memberOf(1, 1, 99, tarragonwell.MemberServing),
			changed: false,
			state:   tarragonwell.MemberStarting,
		},
		{
			name:    "own address",
			member:  memberOf(0, 9, 99, tarragonwell.MemberGone),
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

// TestMergeAgrees merges the same news in drawn orders, some of it twice: all
// views end up alike.
func TestMergeAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []tarragonwell.Member
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			news = append(news, memberOf(rapid.IntRange(1, 3).Draw(t, "n"), byte(rapid.IntRange(0, 2).Draw(t, "life")),
				uint64(rapid.IntRange(0, 4).Draw(t, "heartbeat")), tarragonwell.MemberState(rapid.IntRange(1, 4).Draw(t, "state"))))
		}
		a, b := viewOf(0), viewOf(0)
		for _, m := range news {
			a.Merge(start, m)
		}
		for _, m := range append(rapid.Permutation(news).Draw(t, "order"), news[0]) {
			b.Merge(start, m)
		}
		if got, want := fmt.Sprint(b.All()), fmt.Sprint(a.All()); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

func TestSilenceEndsUseButNotMemory(t *testing.T) {
	v := viewOf(0)
	v.Merge(start, memberOf(1, 1, 1, tarragonwell.MemberServing))
	later := start.Add(aliveFor)
	if got, want := len(v.Alive(later)), 0; got != want {
		t.Errorf("alive: got %d, want %d", got, want)
	}
	if got, want := v.IsMember("10.0.0.1:1"), true; got != want {
		t.Errorf("known: got %v, want %v", got, want)
	}
	r := rand.New(rand.NewPCG(1, 1))
	if got, want := len(v.SelectPeers(later, 2, r)) > 0, true; got != want {
		t.Errorf("a silent peer is tried: got %v, want %v", got, want)
	}
	v.Expire(start.Add(remembered + time.Second))
	if got, want := len(v.All()), 0; got != want {
		t.Errorf("after expiry: got %d, want %d", got, want)
	}
}

func TestSamplesStaySmall(t *testing.T) {
	v := viewOf(0)
	for n := 1; n < 200; n++ {
		v.Merge(start, memberOf(n, 1, 1, tarragonwell.MemberServing))
	}
	r := rand.New(rand.NewPCG(1, 1))
	sample := v.Sample(start, 8, r)
	if got, want := len(sample), 8; got != want {
		t.Errorf("sample: got %d, want %d", got, want)
	}
	if got, want := sample[0].PeerAddress, v.Self.PeerAddress; got != want {
		t.Errorf("first: got %s, want %s", got, want)
	}
	readers := 0
	for n := range 200 {
		x := viewOf(n)
		for k := range 200 {
			x.Merge(start, memberOf(k, 0, 1, tarragonwell.MemberServing))
		}
		if x.IsReader(start, 6) {
			readers++
		}
	}
	if got, want := readers, 6; got != want {
		t.Errorf("readers with one view: got %d, want %d", got, want)
	}
}

func TestHoldersFollowTheChain(t *testing.T) {
	v := viewOf(0)
	holder := func(generation uint32, address string) tarragonwell.Holder {
		return tarragonwell.Holder{
			Incarnation: tarragonwell.Incarnation{1},
			PeerAddress: address,
			Generation:  generation,
			ExpiresAt:   start.Add(time.Minute),
		}
	}
	for _, x := range []struct {
		holder tarragonwell.Holder
		news   bool
	}{
		{
			holder: holder(2, "c"),
			news:   true,
		},
		{
			holder: holder(1, "b"),
			news:   false,
		},
		{
			holder: holder(2, "c"),
			news:   false,
		},
		{
			holder: holder(3, "d"),
			news:   true,
		},
	} {
		if got, want := v.MergeHolder(x.holder), x.news; got != want {
			t.Errorf("generation %d: got news %v, want %v", x.holder.Generation, got, want)
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

// TestSilentPeersAreLostOnce holds that a peer that falls silent is told once, one
// that said it goes never, and one that is back as a change.
func TestSilentPeersAreLostOnce(t *testing.T) {
	v := viewOf(0)
	v.Merge(start, memberOf(1, 1, 1, tarragonwell.MemberServing))
	v.Merge(start, memberOf(2, 1, 1, tarragonwell.MemberGone))
	if got := v.DetectLost(start); len(got) != 0 {
		t.Errorf("at once: got %v, want none", got)
	}
	later := start.Add(aliveFor)
	if got := v.DetectLost(later); len(got) != 1 || got[0].PeerAddress != memberOf(1, 1, 1, tarragonwell.MemberServing).PeerAddress {
		t.Errorf("after silence: got %v, want the one that did not say it goes", got)
	}
	if got := v.DetectLost(later); len(got) != 0 {
		t.Errorf("told again: got %v, want none", got)
	}
	if !v.Merge(later, memberOf(1, 1, 2, tarragonwell.MemberServing)) {
		t.Error("a peer that is back: got no change, want one")
	}
}
