package instance

import (
	"slices"
	"testing"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

func TestChangedSettingsIgnoresSeeds(t *testing.T) {
	before := &settingsfile.Settings{
		Name:  "a",
		Seeds: []string{"127.0.0.1:1"},
	}
	after := &settingsfile.Settings{
		Name:     "a",
		Seeds:    []string{"127.0.0.1:2"},
		LogLevel: "debug",
	}
	if got, want := changedSettings(before, after), []string{"LogLevel"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
