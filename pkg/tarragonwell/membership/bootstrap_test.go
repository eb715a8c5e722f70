package membership

import (
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

func TestReadyRequiresConfirmedRules(t *testing.T) {
	version := func(n uint64) tarragonwell.RulesVersion {
		return tarragonwell.RulesVersion{
			Revision: n,
			Digest:   []byte{1},
		}
	}
	list := func(n uint64) tarragonwell.ListPosition {
		return tarragonwell.ListPosition{
			Revision: n,
		}
	}
	tests := []struct {
		name  string
		state BootstrapState
		want  bool
	}{
		{
			name: "initial state",
		},
		{
			name: "no rules after the bootstrap timeout",
			state: BootstrapState{
				List:    list(5),
				Elapsed: time.Minute,
			},
		},
		{
			name: "caught up with the platform, no peer responds",
			state: BootstrapState{
				RulesInForce: version(3),
				List:         list(5),
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: version(3),
					List:  list(5),
				},
				PeersContacted: 2,
			},
			want: true,
		},
		{
			name: "rules from a peer, list of the platform not yet applied",
			state: BootstrapState{
				RulesInForce: version(3),
				List:         list(4),
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: version(3),
					List:  list(5),
				},
				PeersContacted: 2,
			},
		},
		{
			name: "a peer has newer rules than the platform",
			state: BootstrapState{
				RulesInForce: version(3),
				List:         list(5),
				PlatformPosition: tarragonwell.PlatformPosition{
					Rules: version(3),
					List:  list(5),
				},
				NewestRules:    version(4),
				PeersContacted: 2,
				PeersResponded: 1,
			},
		},
		{
			name: "rules and list from a peer, platform unreachable",
			state: BootstrapState{
				RulesInForce:   version(3),
				List:           list(5),
				NewestRules:    version(3),
				PeersContacted: 2,
				PeersResponded: 1,
			},
			want: true,
		},
		{
			name: "rules without a list",
			state: BootstrapState{
				RulesInForce:   version(3),
				NewestRules:    version(3),
				PeersContacted: 2,
				PeersResponded: 1,
			},
		},
		{
			name: "no peer responds, the platform may regress",
			state: BootstrapState{
				RulesInForce:   version(3),
				List:           list(5),
				PeersContacted: 2,
			},
		},
		{
			name: "no peer has responded within the bootstrap timeout",
			state: BootstrapState{
				RulesInForce:   version(3),
				PeersContacted: 2,
				Elapsed:        time.Minute,
			},
			want: true,
		},
		{
			name: "no peer was contacted, peers were drawn before the list was known",
			state: BootstrapState{
				RulesInForce: version(3),
				List:         list(5),
			},
		},
		{
			name: "no peers on the list",
			state: BootstrapState{
				RulesInForce:   version(3),
				List:           list(5),
				PeersDrawnFrom: list(5),
			},
			want: true,
		},
	}
	for _, x := range tests {
		if got := x.state.Ready(); got != x.want {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
	}
}

// TestReadersAreBoundedDuringFleetStart checks that instances which all start at the
// same time, and know only their bootstrap addresses, do not all watch the platform.
func TestReadersAreBoundedDuringFleetStart(t *testing.T) {
	const instances = 100
	isolated, connected := 0, 0
	for n := range instances {
		v := newView(n)
		v.SearchStarted = start
		v.BootstrapAddresses = []string{"10.9.9.9:1"}
		if v.IsReader(start, 2) {
			isolated++
		}
		for k := range instances {
			v.Merge(start, newMember(k, 0, 1, tarragonwell.MemberStarting))
		}
		if v.IsReader(start, 2) {
			connected++
		}
	}
	if isolated != 0 {
		t.Errorf("readers without a known peer: got %d, want 0", isolated)
	}
	if got, want := connected, 2; got != want {
		t.Errorf("readers among starting instances: got %d, want %d", got, want)
	}
	v := newView(0)
	v.SearchStarted = start
	v.BootstrapAddresses = []string{"10.9.9.9:1"}
	if !v.IsReader(start.Add(isolationTimeout), 2) {
		t.Errorf("no peer known after isolationTimeout: got no reader, want one")
	}
}
