package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/command"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/platform"
)

func runCommand(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = command.Run(args, &o, &e)
	return status, o.String(), e.String()
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func revisionOf(i *fleet.Instance) uint64 {
	s, err := i.Status()
	if err != nil {
		return 0
	}
	return s.GetRulesRevision()
}

// TestRulesEditsAreAcceptedOrRefused holds what operators see of accepted and refused edits.
func TestRulesEditsAreAcceptedOrRefused(t *testing.T) {
	f := startFleet(t, 20, 3)
	i := f.Instances[0]
	edited := strings.Replace(trustRules(t), "deadline: 800ms", "deadline: 700ms", 1)
	edited = strings.Replace(edited, "Wiremu Parata, drivers\n", "Rangi Moana, night desk\n", 1)
	accepted := f.Platform.Publish([]byte(edited))
	for _, x := range f.Instances {
		eventually(t, "the edit is in force", func() bool { return revisionOf(x) == accepted })
	}
	_, out, _ := runCommand("explain", "--from", i.OperatorAddress(), "GET", "/loads/7")
	for _, want := range []string{"asked for by: Rangi Moana, night desk", "deadline: 700ms", "line 5,"} {
		if !strings.Contains(out, want) {
			t.Errorf("explain: got %q, want %q in it", out, want)
		}
	}

	refused := f.Platform.Publish([]byte(edited + "- {kind: {name: x}}  # Ana\n"))
	eventually(t, "the refusal shows", func() bool {
		s, err := i.Status()
		return err == nil && s.GetRefusedRevision() == refused
	})
	if got, want := revisionOf(i), accepted; got != want {
		t.Errorf("in force: got revision %d, want %d", got, want)
	}
	_, out, _ = runCommand("status", "--from", i.OperatorAddress())
	if want := "rules:15: kind.organisation: is missing"; !strings.Contains(out, want) {
		t.Errorf("status: got %q, want %q in it", out, want)
	}
	_, out, _ = runCommand("audit", "--from", i.OperatorAddress())
	for _, want := range []string{`"event":"rules-accepted"`, `"asked-by":"Rangi Moana, night desk"`, `"event":"rules-refused"`, `"learnt-from":"platform"`} {
		if !strings.Contains(out, want) {
			t.Errorf("audit: got %q, want %q in it", out, want)
		}
	}
	_, page := send(t, http.MethodGet, "http://"+i.OperatorAddress()+"/", nil, nil)
	for _, want := range []string{"Rangi Moana, night desk", "was refused", "rule-altered"} {
		if !strings.Contains(page, want) {
			t.Errorf("page: want %q in it", want)
		}
	}
	_, text := send(t, http.MethodGet, "http://"+i.OperatorAddress()+"/metrics", nil, nil)
	if want := "tarragonwell_rules_refused_total 1"; !strings.Contains(text, want) {
		t.Errorf("metrics: want %q in it", want)
	}
}

// TestConflictingRevisionConverges shows other bytes under the revision in force: all
// instances decide alike, whichever they saw first.
func TestConflictingRevisionConverges(t *testing.T) {
	f := startFleet(t, 21, 3)
	revision := f.Platform.HighestRevision()
	for n := range 3 {
		f.Platform.PublishRevision(revision, []byte(trustRules(t)+fmt.Sprintf("# edit %d\n", n)))
		// An outage makes readers look at the value anew.
		f.Platform.SetFaults(platformDown(true))
		time.Sleep(1200 * time.Millisecond)
		f.Platform.SetFaults(platformDown(false))
	}
	eventually(t, "all agree", func() bool {
		digests := map[string]bool{}
		for _, i := range f.Instances {
			s, err := i.Status()
			if err != nil {
				return false
			}
			digests[s.GetRulesDigest()] = true
		}
		return len(digests) == 1
	})
}

// TestRestartWithStalePlatformLoadsRulesFromPeers starts an instance while the platform is down, and
// another while it is stale: both learn the rules in force from peers.
func TestRestartWithStalePlatformLoadsRulesFromPeers(t *testing.T) {
	f := startFleet(t, 22, 3)
	last := f.Platform.Publish([]byte(trustRules(t) + "# edited\n"))
	for _, x := range f.Instances {
		eventually(t, "the edit is in force", func() bool { return revisionOf(x) == last })
	}
	stale := platform.Faults{
		RulesLag: 1,
	}
	f.Platform.SetFaults(stale)
	i := f.Instances[0]
	i.Process().Kill()
	if err := f.Launch(i); err != nil {
		t.Fatal(err)
	}
	if err := i.WaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	if got, want := revisionOf(i), last; got != want {
		t.Errorf("started beside a stale platform: got revision %d, want %d", got, want)
	}
}

func platformDown(down bool) platform.Faults {
	return platform.Faults{
		Down: down,
	}
}

// TestServeReportsStartupErrors holds what an operator is told when an instance can't start.
func TestServeReportsStartupErrors(t *testing.T) {
	folder := t.TempDir()
	write := func(name, content string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	f := startFleet(t, 23, 1)
	taken := write("taken.yaml", fmt.Sprintf(`instance: {name: x, data-center: a}
listen: {callers: "%s", peers: "127.60.23.99:1", operators: "127.60.23.99:2"}
platform: {address: "127.60.23.99:3"}
`, f.Instances[0].CallerAddress()))
	tests := []struct {
		name   string
		file   string
		status int
		want   string
	}{
		{
			name:   "no such file",
			file:   filepath.Join(folder, "none.yaml"),
			status: command.ExitUsage,
			want:   "none.yaml",
		},
		{
			name:   "bad settings",
			file:   write("bad.yaml", "instance: {nam: x}\n"),
			status: command.ExitUsage,
			want:   "bad.yaml:1: instance.nam: unknown field",
		},
		{
			name:   "port in use",
			file:   taken,
			status: command.ExitFailed,
			want:   "address already in use",
		},
	}
	for _, x := range tests {
		status, _, errOut := runCommand("serve", "--settings", x.file)
		if got, want := status, x.status; got != want {
			t.Errorf("%s: got status %d, want %d", x.name, got, want)
		}
		if !strings.Contains(errOut, x.want) {
			t.Errorf("%s: got %q, want %q in it", x.name, errOut, x.want)
		}
	}
}

// TestCommandExitStatuses holds the exit statuses that scripts rely on.
func TestCommandExitStatuses(t *testing.T) {
	folder := t.TempDir()
	bad := filepath.Join(folder, "bad.yaml")
	if err := os.WriteFile(bad, []byte("- {fleet: {}}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := "../../examples/trust/rules.yaml"
	tests := []struct {
		args []string
		want int
	}{
		{
			args: []string{"check", "--rules", good, "--settings", "../../examples/glowbox/settings.yaml"},
			want: command.ExitOK,
		},
		{
			args: []string{"check", "--rules", good, "--rules", bad},
			want: command.ExitFailed,
		},
		{
			args: []string{"check", "--rules", filepath.Join(folder, "none")},
			want: command.ExitUsage,
		},
		{
			args: []string{"check"},
			want: command.ExitUsage,
		},
		{
			args: []string{"explain", "--rules", good, "GET", "/none"},
			want: command.ExitFailed,
		},
		{
			args: []string{"nonsense"},
			want: command.ExitUsage,
		},
		{
			args: []string{"--help"},
			want: command.ExitOK,
		},
		{
			args: []string{"version"},
			want: command.ExitOK,
		},
	}
	for _, x := range tests {
		if got, _, errOut := runCommand(x.args...); got != x.want {
			t.Errorf("%v: got %d (%s), want %d", x.args, got, errOut, x.want)
		}
	}
}
