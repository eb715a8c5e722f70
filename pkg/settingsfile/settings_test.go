package settingsfile

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validSettings = `instance: {name: one, data-center: a}
listen:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  operators: 127.0.0.1:3
platform: {address: 127.0.0.1:4, watch-wait: 2s}
`

func TestParse(t *testing.T) {
	s, err := Parse("f", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.WatchWait, 2*time.Second; got != want {
		t.Errorf("watch wait: got %v, want %v", got, want)
	}
	if got, want := s.PeerAddress, "127.0.0.1:2"; got != want {
		t.Errorf("peer address: got %v, want %v", got, want)
	}
	if got, want := s.MaxRequestBodyBytes, int64(defaultMaxRequestBodyBytes); got != want {
		t.Errorf("default: got %v, want %v", got, want)
	}
}

func TestParseInvalid(t *testing.T) {
	tests := []struct {
		name, content, want string
	}{
		{
			name:    "unknown field",
			content: validSettings + "lissten: {}\n",
			want:    "f:7: lissten: unknown field",
		},
		{
			name:    "wrong unit",
			content: strings.Replace(validSettings, "2s", "2 seconds", 1),
			want:    "f:6: platform.watch-wait: want a duration with a unit",
		},
		{
			name:    "host name",
			content: strings.Replace(validSettings, "127.0.0.1:1", "localhost:1", 1),
			want:    "f:3: listen.callers: want an IP address",
		},
		{
			name:    "duplicate address",
			content: strings.Replace(validSettings, "127.0.0.1:2", "127.0.0.1:1", 1),
			want:    "f:3: listen.callers: duplicates another listen address",
		},
		{
			name:    "missing field",
			content: "instance: {name: one}\n",
			want:    "f:1: instance.data-center: is missing",
		},
		{
			name:    "level",
			content: validSettings + "log: {level: loud}\n",
			want:    "f:7: log.level: want one of",
		},
		{
			name:    "memory for heads",
			content: validSettings + "limits: {held-head-bytes: 1000}\n",
			want:    "f:7: limits.held-head-bytes: want 4194304 or more",
		},
		{
			name:    "memory for connections",
			content: validSettings + "limits: {held-connection-bytes: 18446744073709551615}\n",
			want:    "f:7: limits.held-connection-bytes: want 1048576 or more",
		},
		{
			name:    "descriptors",
			content: validSettings + "limits: {descriptors: 100}\n",
			want:    "f:7: limits.descriptors: want 128 or more",
		},
		{
			name:    "seeds",
			content: validSettings + "peers: {seeds: 3}\n",
			want:    "f:7: peers.seeds: want a list",
		},
		{
			name:    "memory below the least",
			content: validSettings + "limits: {memory-megabytes: 60}\n",
			want:    "f:7: limits.memory-megabytes: want 0 for no bound, or 67108864 to",
		},
		{
			name:    "memory out of range",
			content: validSettings + "limits: {memory-bytes: 18446744073709551615}\n",
			want:    "f:7: limits.memory-bytes: want 0 for no bound",
		},
		{
			name:    "memory in two units",
			content: validSettings + "limits: {memory-megabytes: 184, memory-bytes: 184000000}\n",
			want:    "f:7: limits.memory-megabytes: limits.memory-bytes is set too",
		},
		{
			name:    "body larger than the memory for bodies",
			content: validSettings + "limits: {memory-megabytes: 184, request-body-bytes: 100000000}\n",
			want:    "f:7: limits: a body of request-body-bytes (100000000) does not fit into the memory",
		},
		{
			name:    "negative warm-up bound",
			content: validSettings + "budgets: {warm-up-overshoot: -1}\n",
			want:    "f:7: budgets.warm-up-overshoot: must be a number of at least 0",
		},
		{
			name:    "empty file",
			content: "",
			want:    "f:1: instance.name: is missing",
		},
		{
			name:    "tab indentation",
			content: "instance:\n\tname: x\n",
			want:    "f:2: not valid YAML",
		},
	}
	for _, tt := range tests {
		_, err := Parse("f", []byte(tt.content))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("no/such/file.yaml")
	if err == nil || !strings.Contains(err.Error(), "no/such/file.yaml") {
		t.Errorf("got %v, want an error with the path of the file", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: [1, {b: c}]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse("f", content)
		if (s == nil) == (err == nil) {
			t.Errorf("got settings %v and error %v, want exactly one of them", s, err)
		}
	})
}

// TestParseOverrides guards against an override that replaces more than its own setting, or
// whose error is not reported.
func TestParseOverrides(t *testing.T) {
	s, err := Parse("f", []byte(validSettings), "platform.watch-wait=3s", "limits.operations=7", "budgets.warm-up-overshoot=1.5", "budgets.warm-up-slack=")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.WatchWait, 3*time.Second; got != want {
		t.Errorf("watch wait: got %v, want %v", got, want)
	}
	if got, want := s.MaxTickets, 7; got != want {
		t.Errorf("operations: got %v, want %v", got, want)
	}
	if got, want := s.PlatformAddress, "127.0.0.1:4"; got != want {
		t.Errorf("setting beside an override: got %v, want %v", got, want)
	}
	if got, want := s.Budgets.WarmUpOvershoot, 1.5; got != want {
		t.Errorf("warm-up overshoot: got %v, want %v", got, want)
	}
	if got, want := s.Budgets.WarmUpSlack, 0.0; got != want {
		t.Errorf("override without a value: got %v, want %v", got, want)
	}
	withSeeds := validSettings + "peers: {seeds: [\"127.0.0.1:5\"]}\nlimits: {memory-megabytes: 184}\n"
	s, err = Parse("f", []byte(withSeeds), `peers.seeds=["127.0.0.1:6"]`, "limits.memory-megabytes=0")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Join(s.Seeds, " "), "127.0.0.1:6"; got != want {
		t.Errorf("seeds: got %v, want %v", got, want)
	}
	if got, want := s.MemoryBytes, int64(0); got != want {
		t.Errorf("memory: got %v, want %v", got, want)
	}
	for override, want := range map[string]string{
		"limits": "want KEY=VALUE",
		"limits.operations=7}, log: {level: debug": "single setting",
		"limits.operation=7":                       "unknown field",
		"limits.operations=x":                      "limits.operations",
		"limits=}{":                                "override",
	} {
		_, err := Parse("f", []byte(validSettings), override)
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want an error with %q", override, err, want)
		}
	}
}
