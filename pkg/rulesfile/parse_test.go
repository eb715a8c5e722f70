package rulesfile

import (
	"errors"
	"os"
	"strings"
	"testing"
)

const validRules = `# comment
- {service: {name: s, organisation: o, slots: 5, connections: 10}}  # Ana
- {kind: {name: read, organisation: o, repeatable: true, deadline: 300ms}}  # Ben
- {route: {method: GET, path: /a, service: s, kind: read}}  # Ana # and Ben
`

func TestParse(t *testing.T) {
	set, err := Parse("f", 7, []byte(validRules))
	if err != nil {
		t.Fatal(err)
	}
	r := set.Routes[0]
	if got, want := r.Service.Name+" "+r.Kind.Name+" "+r.Kind.Timeout.String(), "s read 300ms"; got != want {
		t.Errorf("route: got %q, want %q", got, want)
	}
	if got, want := set.Lines[2].AskedBy, "Ana # and Ben"; got != want {
		t.Errorf("asked by: got %q, want %q", got, want)
	}
	if got, want := set.Version.Revision, uint64(7); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

func TestParseExamples(t *testing.T) {
	for _, name := range []string{"trust", "glowbox"} {
		content, err := os.ReadFile("../../examples/" + name + "/rules.yaml")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(name, 1, content); err != nil {
			t.Error(err)
		}
	}
}

// TestParseInvalid checks the file, line and field in the error of each kind of
// fault.
func TestParseInvalid(t *testing.T) {
	tests := []struct {
		name, line, want string
	}{
		{
			name: "unknown field",
			line: "- {kind: {name: k, organisation: o, repeatable: true, deadlin: 1s}}  # x",
			want: "f:5: kind.deadlin: unknown field",
		},
		{
			name: "wrong unit",
			line: "- {kind: {name: k, organisation: o, repeatable: true, deadline: 3}}  # x",
			want: "f:5: kind.deadline: want a duration with a unit",
		},
		{
			name: "no comment",
			line: "- {kind: {name: k, organisation: o, repeatable: true}}",
			want: "f:5: the comment that names the requester is missing",
		},
		{
			name: "empty comment",
			line: "- {kind: {name: k, organisation: o, repeatable: true}}  #",
			want: "f:5: the comment that names the requester is missing",
		},
		{
			name: "duplicate",
			line: "- {kind: {name: read, organisation: o, repeatable: true}}  # x",
			want: "f:5: kind.name: duplicate of line 3",
		},
		{
			name: "duplicate field",
			line: "- {kind: {name: k, name: l, organisation: o, repeatable: true}}  # x",
			want: "f:5: ",
		},
		{
			name: "out of range",
			line: "- {service: {name: t, organisation: o, slots: 0, connections: 1}}  # x",
			want: "f:5: service.slots: must be between 1 and 10000",
		},
		{
			name: "ratio above 1",
			line: "- {service: {name: t, organisation: o, slots: 1, connections: 1, retry-ratio: 1.5}}  # x",
			want: "f:5: service.retry-ratio: must be between 0 and 1",
		},
		{
			name: "warm-up rate without a value",
			line: "- {service: {name: t, organisation: o, slots: 1, connections: 1, warm-up-rate: }}  # x",
			want: "f:5: service.warm-up-rate: want a single value",
		},
		{
			name: "repeatable missing",
			line: "- {kind: {name: k, organisation: o}}  # x",
			want: "f:5: kind.repeatable: is missing",
		},
		{
			name: "long and not repeatable",
			line: "- {kind: {name: k, organisation: o, repeatable: false, length: long}}  # x",
			want: "f:5: kind.length:",
		},
		{
			name: "data centre without drain",
			line: "- data-center: {name: north-a}  # x",
			want: "f:5: data-center.drain: is missing",
		},
		{
			name: "data centre with an invalid name",
			line: "- data-center: {name: North, drain: true}  # x",
			want: "f:5: data-center.name: want lowercase letters",
		},
		{
			name: "data centre twice",
			line: "- data-center: {name: north, drain: true}  # x\n- data-center: {name: north, drain: false}  # x",
			want: "f:6: data-center.name: duplicate of line 5",
		},
		{
			name: "unknown service",
			line: "- {route: {path: /b, service: nope, kind: read}}  # x",
			want: `f:5: route.service: unknown service "nope"`,
		},
		{
			name: "two sections",
			line: "- {fleet: {ticket-life: 3s}, kind: {name: k}}  # x",
			want: "f:5: want exactly one of",
		},
		{
			name: "not a rule",
			line: "kind: read  # x",
			want: "f:5: want one rule per line",
		},
		{
			name: "broken YAML",
			line: "- {kind: {name: [}}  # x",
			want: "f:5: not valid YAML",
		},
		{
			name: "wrong type",
			line: "- {service: {name: t, organisation: o, slots: many, connections: 1}}  # x",
			want: "f:5: service.slots: want a non-negative integer",
		},
		{
			name: "kind of another organisation",
			line: "- {kind: {name: k, organisation: p, repeatable: true}}  # x\n- {route: {path: /b, service: s, kind: k}}  # x",
			want: "f:6: route.kind: the kind and the service belong to different organisations",
		},
	}
	for _, tt := range tests {
		_, err := Parse("f", 1, []byte(validRules+tt.line+"\n"))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}

// TestDataCenterLine guards against a line of a data centre that is accepted without effect,
// or whose requester is lost.
func TestDataCenterLine(t *testing.T) {
	set, err := Parse("f", 7, []byte(validRules+"- data-center: { name: north-a, drain: true }  # Mere, network team\n- data-center: {name: south, drain: false}  # Ana\n"))
	if err != nil {
		t.Fatal(err)
	}
	north := set.DataCenters["north-a"]
	if north == nil || !north.Drain || north.Line.Number != 5 || north.Line.AskedBy != "Mere, network team" {
		t.Errorf("got %+v, want a drain in line 5 by Mere, network team", north)
	}
	if south := set.DataCenters["south"]; south == nil || south.Drain {
		t.Errorf("got %+v, want a data centre that is not drained", south)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validRules))
	f.Add([]byte("- data-center: {name: north, drain: true}  # x"))
	f.Add([]byte("- {fleet: {instances-at-most: 3}} # x\n- [1,2"))
	f.Fuzz(func(t *testing.T, content []byte) {
		first, err := Parse("f", 1, content)
		second, secondErr := Parse("f", 1, content)
		if (err == nil) != (secondErr == nil) {
			t.Errorf("parsing twice gave different results: got %v, then %v", err, secondErr)
		}
		if err == nil && len(first.Lines) != len(second.Lines) {
			t.Errorf("got %d lines, then %d", len(first.Lines), len(second.Lines))
		}
	})
}
