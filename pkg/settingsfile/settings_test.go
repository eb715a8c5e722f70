package settingsfile

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const valid = `instance: {name: one, data-center: a}
listen:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  operators: 127.0.0.1:3
platform: {address: 127.0.0.1:4, watch-wait: 2s}
`

func TestParse(t *testing.T) {
	s, err := Parse("f", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.WatchWait, 2*time.Second; got != want {
		t.Errorf("watch wait: got %v, want %v", got, want)
	}
	if got, want := s.PeerAddress, "127.0.0.1:2"; got != want {
		t.Errorf("peer address: got %v, want %v", got, want)
	}
	if got, want := s.MaxRequestBodyBytes, int64(defaultRequestBodyBytes); got != want {
		t.Errorf("default: got %v, want %v", got, want)
	}
}

func TestParseInvalid(t *testing.T) {
	tests := []struct {
		name, content, want string
	}{
		{
			name:    "unknown field",
			content: valid + "lissten: {}\n",
			want:    "f:7: lissten: unknown field",
		},
		{
			name:    "wrong unit",
			content: strings.Replace(valid, "2s", "2 seconds", 1),
			want:    "f:6: platform.watch-wait: want a time with its unit",
		},
		{
			name:    "host name",
			content: strings.Replace(valid, "127.0.0.1:1", "localhost:1", 1),
			want:    "f:3: listen.callers: want an IP number",
		},
		{
			name:    "used twice",
			content: strings.Replace(valid, "127.0.0.1:2", "127.0.0.1:1", 1),
			want:    "f:3: listen.callers: is used twice",
		},
		{
			name:    "missing",
			content: "instance: {name: one}\n",
			want:    "f:1: instance.data-center: is missing",
		},
		{
			name:    "level",
			content: valid + "log: {level: loud}\n",
			want:    "f:7: log.level: want one of",
		},
		{
			name:    "seeds",
			content: valid + "peers: {seeds: 3}\n",
			want:    "f:7: peers.seeds: want a list",
		},
		{
			name:    "empty",
			content: "",
			want:    "f:1: instance.name: is missing",
		},
		{
			name:    "tab",
			content: "instance:\n\tname: x\n",
			want:    "f:2: not valid YAML",
		},
	}
	for _, x := range tests {
		_, err := Parse("f", []byte(x.content))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: got %v, want %q", x.name, err, x.want)
		}
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("no/such/file.yaml")
	if err == nil || !strings.Contains(err.Error(), "no/such/file.yaml") {
		t.Errorf("got %v, want the name of the file", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: [1, {b: c}]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse("f", content)
		if (s == nil) == (err == nil) {
			t.Errorf("got %v and %v", s, err)
		}
	})
}
