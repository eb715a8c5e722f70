package instance

import (
	"reflect"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

// Reload applies the settings that can change while the instance runs, which are the
// seeds. It returns the Go field names of the other settings that differ. They take
// effect after a restart.
func (i *Instance) Reload(s *settingsfile.Settings) []string {
	i.peers.SetSeeds(s.Seeds)
	return changedSettings(i.common.Settings, s)
}

// changedSettings returns the names of the fields that differ, except Seeds.
func changedSettings(before, after *settingsfile.Settings) []string {
	var names []string
	a, b := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for n := range a.NumField() {
		name := a.Type().Field(n).Name
		if name != "Seeds" && !reflect.DeepEqual(a.Field(n).Interface(), b.Field(n).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
