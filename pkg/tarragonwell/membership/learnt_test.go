package membership

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func TestNewInstancesServeOnlyWhatIsInForce(t *testing.T) {
	version := func(n uint64) tarragonwell.RulesVersion {
		return tarragonwell.RulesVersion{
			Revision: n,
			Digest:   []byte{1},
		}
	}
	tests := []struct {
		name   string
		learnt BootstrapState
		want   bool
	}{
		{
			name: "nothing",
		},
		{
			name: "no rules for a long time",
			learnt: BootstrapState{
				ListRevision: 5,
				Elapsed:      time.Minute,
			},
		},
		{
			name: "all that the platform told, while no seed is back",
			learnt: BootstrapState{
				AppliedRules: version(3),
				ListRevision: 5,
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: 3,
					List:  5,
				},
				PeersContacted: 2,
			},
			want: true,
		},
		{
			name: "rules from a peer, the list of the platform not yet taken in",
			learnt: BootstrapState{
				AppliedRules: version(3),
				ListRevision: 4,
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: 3,
					List:  5,
				},
				PeersContacted: 2,
			},
		},
		{
			name: "a peer has newer rules than the platform told",
			learnt: BootstrapState{
				AppliedRules: version(3),
				ListRevision: 5,
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: 3,
					List:  5,
				},
				NewestRules:    version(4),
				PeersContacted: 2,
				PeersAnswered:  1,
			},
		},
		{
			name: "rules and list of a peer, while the platform is away",
			learnt: BootstrapState{
				AppliedRules:   version(3),
				ListRevision:   5,
				NewestRules:    version(3),
				PeersContacted: 2,
				PeersAnswered:  1,
			},
			want: true,
		},
		{
			name: "rules without a list",
			learnt: BootstrapState{
				AppliedRules:   version(3),
				NewestRules:    version(3),
				PeersContacted: 2,
				PeersAnswered:  1,
			},
		},
		{
			name: "no peer answers, and the platform may show earlier revisions",
			learnt: BootstrapState{
				AppliedRules:   version(3),
				ListRevision:   5,
				PeersContacted: 2,
			},
		},
		{
			name: "no peer has answered for a long time",
			learnt: BootstrapState{
				AppliedRules:   version(3),
				PeersContacted: 2,
				Elapsed:        time.Minute,
			},
			want: true,
		},
		{
			name: "none was asked, or known when the list had not come yet",
			learnt: BootstrapState{
				AppliedRules: version(3),
				ListRevision: 5,
			},
		},
		{
			name: "no peers",
			learnt: BootstrapState{
				AppliedRules:      version(3),
				ListRevision:      5,
				PeersListRevision: 5,
			},
			want: true,
		},
	}
	for _, x := range tests {
		if got := x.learnt.Ready(); got != x.want {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}

// TestFewReadersWhileAFleetStarts holds that instances which all start at once,
// and know their seeds at most, do not all watch the platform.
func TestFewReadersWhileAFleetStarts(t *testing.T) {
	const instances = 100
	lonely, informed := 0, 0
	for n := range instances {
		v := viewOf(n)
		v.Started = start
		v.Seeds = []string{"10.9.9.9:1"}
		if v.IsReader(start, 2) {
			lonely++
		}
		for k := range instances {
			v.Merge(start, memberOf(k, 0, 1, tarragonwell.MemberStarting))
		}
		if v.IsReader(start, 2) {
			informed++
		}
	}
	if lonely != 0 {
		t.Errorf("readers that have heard of nobody: got %d, want 0", lonely)
	}
	if got, want := informed, 2; got != want {
		t.Errorf("readers among those that start: got %d, want %d", got, want)
	}
	v := viewOf(0)
	v.Started = start
	v.Seeds = []string{"10.9.9.9:1"}
	if !v.IsReader(start.Add(lonelyFor), 2) {
		t.Errorf("the last one left: got no reader, want one")
	}
}
