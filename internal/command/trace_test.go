package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traced = `12.1 node-1 {"time":"2026-01-01T00:00:01.000Z","level":"info","msg":"rules-accepted","instance":"node-1","revision":7}
{"time":"2026-01-01T00:00:02.000Z","level":"info","msg":"target-joined","instance":"node-1","detail":"s i-1"}
{"time":"2026-01-01T00:00:02.100Z","level":"info","msg":"target-joined","instance":"node-1","detail":"s i-2"}
not a line of JSON
{"time":"2026-01-01T00:00:04.000Z","level":"warn","msg":"attempt-failed","instance":"node-1","call":"c-1","target":"i-1","stage":"sent"}
{"time":"2026-01-01T00:00:03.000Z","level":"info","msg":"call-placed","instance":"node-1","call":"c-1","target":"i-1"}
{"time":"2026-01-01T00:00:03.500Z","level":"info","msg":"call-placed","instance":"node-2","call":"c-2","target":"i-1"}
`

func traceOf(t *testing.T, call string) (string, string, int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "lines")
	if err := os.WriteFile(path, []byte(traced), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	status := Run([]string{"trace", call, "--log", path}, &out, &errOut)
	return out.String(), errOut.String(), status
}

func TestTracePrintsContextAndCall(t *testing.T) {
	out, _, status := traceOf(t, "c-1")
	if status != ExitOK {
		t.Fatalf("got status %d, want %d", status, ExitOK)
	}
	last := -1
	for _, want := range []string{"rules-accepted", "s i-1", "the call:", "call-placed", "attempt-failed"} {
		at := strings.Index(out, want)
		if at <= last {
			t.Errorf("%q is missing or out of order in\n%s", want, out)
		}
		last = at
	}
	for _, other := range []string{"c-2", "s i-2"} {
		if strings.Contains(out, other) {
			t.Errorf("%q has nothing to do with the call:\n%s", other, out)
		}
	}
}

func TestTraceUnknownCall(t *testing.T) {
	_, errOut, status := traceOf(t, "c-9")
	if status != ExitFailed || !strings.Contains(errOut, "c-9") {
		t.Errorf("got status %d and %q, want %d and the id", status, errOut, ExitFailed)
	}
}
