package instance

import (
	"reflect"

	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
)

// Reload takes in what may change while the instance runs: the seeds. It returns
// the names of the other settings that differ, which wait for a restart.
func (i *Instance) Reload(s *settingsfile.Settings) []string {
	i.peers.SetSeeds(s.Seeds)
	return differences(i.common.Settings, s)
}

func differences(before, after *settingsfile.Settings) []string {
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
