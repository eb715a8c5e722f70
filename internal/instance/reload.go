package instance

import (
	"reflect"
	"slices"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

// reloadable holds the names of the settings that can change while the instance runs.
var reloadable = []string{"Seeds", "MemoryBytes", "MaxTotalRequestBytes", "MaxTotalResponseBytes"}

// Reload applies the settings that can change while the instance runs: the seeds and the
// sizes of the memory account and its parts. It returns the Go field names of the other
// settings that differ. They take effect after a restart.
func (i *Instance) Reload(s *settingsfile.Settings) []string {
	i.peers.SetSeeds(s.Seeds)
	i.common.SetBudgets(s)
	return changedSettings(i.common.Settings, s)
}

// changedSettings returns the names of the fields that differ, except those in reloadable.
func changedSettings(before, after *settingsfile.Settings) []string {
	var names []string
	a, b := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for n := range a.NumField() {
		name := a.Type().Field(n).Name
		if !slices.Contains(reloadable, name) && !reflect.DeepEqual(a.Field(n).Interface(), b.Field(n).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
