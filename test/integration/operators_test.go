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

// runCommand runs the command line in this process and returns its exit status and
// output.
func runCommand(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = command.Run(args, &o, &e)
	return status, o.String(), e.String()
}

// eventually fails the test if condition does not become true within 10 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 10 s: %s", description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// rulesRevision returns the revision of the rules in force, or 0 if the instance does
// not respond.
func rulesRevision(i *fleet.Instance) uint64 {
	s, err := i.Status()
	if err != nil {
		return 0
	}
	return s.GetRulesRevision()
}

// TestRulesEditsAreAcceptedOrRefused checks that a valid edit takes effect at all
// instances, that an invalid one leaves the rules in force, and that the commands, the
// page and the metrics show both.
func TestRulesEditsAreAcceptedOrRefused(t *testing.T) {
	f := startFleet(t, 20, 3)
	i := f.Instances[0]
	edited := strings.Replace(trustRules(t), "deadline: 800ms", "deadline: 700ms", 1)
	edited = strings.Replace(edited, "Wiremu Parata, drivers\n", "Rangi Moana, night desk\n", 1)
	accepted := f.Platform.Publish([]byte(edited))
	for _, x := range f.Instances {
		eventually(t, "the edit takes effect", func() bool { return rulesRevision(x) == accepted })
	}
	_, out, _ := runCommand("explain", "--from", i.OperatorAddress(), "GET", "/loads/7")
	for _, want := range []string{"asked for by: Rangi Moana, night desk", "deadline: 700ms", "line 5,"} {
		if !strings.Contains(out, want) {
			t.Errorf("explain: got %q, want %q in it", out, want)
		}
	}

	refused := f.Platform.Publish([]byte(edited + "- {kind: {name: x}}  # Ana\n"))
	eventually(t, "the status shows the refused revision", func() bool {
		s, err := i.Status()
		return err == nil && s.GetRefusedRevision() == refused
	})
	if got, want := rulesRevision(i), accepted; got != want {
		t.Errorf("rules in force: got revision %d, want %d", got, want)
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

// TestConflictingRevisionConverges guards against instances that keep different rules
// when the platform publishes different contents under one revision: all of them must
// choose the same content, whichever they received first.
func TestConflictingRevisionConverges(t *testing.T) {
	f := startFleet(t, 21, 3)
	revision := f.Platform.HighestRevision()
	for n := range 3 {
		f.Platform.PublishRevision(revision, []byte(trustRules(t)+fmt.Sprintf("# edit %d\n", n)))
		// An outage makes instances read the rules again.
		f.Platform.SetFaults(platformDown(true))
		time.Sleep(1200 * time.Millisecond)
		f.Platform.SetFaults(platformDown(false))
	}
	eventually(t, "all instances have the same rules digest", func() bool {
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

// TestRestartWithStalePlatformLoadsRulesFromPeers guards against outdated rules after a
// restart: the platform serves an older revision, and the instance has to load the rules
// in force from its peers.
func TestRestartWithStalePlatformLoadsRulesFromPeers(t *testing.T) {
	f := startFleet(t, 22, 3)
	last := f.Platform.Publish([]byte(trustRules(t) + "# edited\n"))
	for _, x := range f.Instances {
		eventually(t, "the edit takes effect", func() bool { return rulesRevision(x) == last })
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
	if got, want := rulesRevision(i), last; got != want {
		t.Errorf("rules in force after a start with a stale platform: got revision %d, want %d", got, want)
	}
}

// platformDown returns the faults of a platform that is down or up.
func platformDown(down bool) platform.Faults {
	return platform.Faults{
		Down: down,
	}
}

// TestServeReportsStartupErrors checks the exit status and error message of instances
// that can't start.
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
	portInUse := write("taken.yaml", fmt.Sprintf(`instance: {name: x, data-center: a}
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
			name:   "invalid settings",
			file:   write("bad.yaml", "instance: {nam: x}\n"),
			status: command.ExitUsage,
			want:   "bad.yaml:1: instance.nam: unknown field",
		},
		{
			name:   "port in use",
			file:   portInUse,
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

// TestCommandExitStatuses checks the exit statuses that scripts rely on.
func TestCommandExitStatuses(t *testing.T) {
	folder := t.TempDir()
	invalid := filepath.Join(folder, "bad.yaml")
	if err := os.WriteFile(invalid, []byte("- {fleet: {}}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := "../../examples/trust/rules.yaml"
	tests := []struct {
		args []string
		want int
	}{
		{
			args: []string{"check", "--rules", valid, "--settings", "../../examples/glowbox/settings.yaml"},
			want: command.ExitOK,
		},
		{
			args: []string{"check", "--rules", valid, "--rules", invalid},
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
			args: []string{"explain", "--rules", valid, "GET", "/none"},
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
			t.Errorf("%v: got status %d (%s), want %d", x.args, got, errOut, x.want)
		}
	}
}
