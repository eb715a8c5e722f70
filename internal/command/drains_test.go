package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDrainIsShown guards against a drain in a rules file that check and explain do not
// show, with its line and requester.
func TestDrainIsShown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rules.yaml")
	const content = `- {service: {name: s, organisation: o, slots: 5, connections: 10}}  # Ana
- {kind: {name: read, organisation: o, repeatable: true}}  # Ana
- {route: {method: GET, path: /a, service: s, kind: read}}  # Ana
- data-center: { name: north-a, drain: true }  # Mere, network team
- data-center: { name: south, drain: false }  # Mere, network team
`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, arguments := range [][]string{
		{"check", "--rules", path},
		{"explain", "GET", "/a", "--rules", path},
	} {
		var out, errOut bytes.Buffer
		if status := Run(arguments, &out, &errOut); status != ExitOK {
			t.Fatalf("%v: got status %d, want %d: %s", arguments, status, ExitOK, errOut.String())
		}
		want := "data centre north-a is drained: line 4 of the rules, asked for by: Mere, network team\n"
		if got := out.String(); !strings.Contains(got, want) || strings.Contains(got, "south") {
			t.Errorf("%v: got %q, want it to contain %q and nothing of south", arguments, got, want)
		}
	}
}
