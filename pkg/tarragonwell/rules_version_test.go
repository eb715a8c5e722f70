package tarragonwell

import "testing"

// TestRulesVersionOrder guards against rules that are replaced by the older ones of a copy of the
// platform's data, or that stay although the operators' next ones have a lower revision.
func TestRulesVersionOrder(t *testing.T) {
	version := func(generation, era, revision uint64, digest byte) RulesVersion {
		return RulesVersion{
			Generation: generation,
			Era:        era,
			Revision:   revision,
			Digest:     []byte{digest},
		}
	}
	inForce := version(6, 1, 520, 1)
	tests := []struct {
		name  string
		other RulesVersion
		want  bool
	}{
		{
			name:  "next generation, in a copy",
			other: version(7, 2, 406, 1),
			want:  true,
		},
		{
			name:  "earlier generation, in a copy",
			other: version(3, 2, 400, 1),
		},
		{
			name:  "same generation, written again after a copy",
			other: version(6, 2, 405, 1),
			want:  true,
		},
		{
			name:  "same revision with other content, in a later era",
			other: version(6, 2, 520, 0),
			want:  true,
		},
		{
			name:  "same revision with other content, in an earlier era",
			other: version(6, 0, 520, 9),
		},
		{
			name:  "later revision of an earlier release, which states neither era nor generation",
			other: version(0, 0, 530, 1),
		},
		{
			name:  "later revision without a generation, as of content that can't be decoded",
			other: version(0, 1, 530, 1),
			want:  true,
		},
		{
			name:  "greater digest",
			other: version(6, 1, 520, 2),
			want:  true,
		},
		{
			name:  "the same",
			other: inForce,
		},
	}
	for _, x := range tests {
		if got := x.other.After(inForce); got != x.want {
			t.Errorf("%s: got after %t, want %t", x.name, got, x.want)
		}
		if x.want && inForce.After(x.other) {
			t.Errorf("%s: each is after the other", x.name)
		}
	}
}
