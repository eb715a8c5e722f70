package internal

import (
	"os/exec"
	"strings"
	"testing"
)

// TestDecisionPackagesImportNoInputOutput holds the decisions free of sockets, encodings and
// generated code, so that another front end can use them.
func TestDecisionPackagesImportNoInputOutput(t *testing.T) {
	const root = "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", root+"/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		name, imports, _ := strings.Cut(strings.TrimSpace(line), ": ")
		for _, i := range strings.Fields(imports) {
			for _, banned := range []string{"net", "os", "encoding/json", "connectrpc.com", "google.golang.org/protobuf", "github.com/gorilla", "github.com/tarragonwell/tarragonwell/internal", "github.com/tarragonwell/tarragonwell/pkg/api"} {
				if i == banned || strings.HasPrefix(i, banned+"/") {
					t.Errorf("%s imports %s", name, i)
				}
			}
		}
	}
}
