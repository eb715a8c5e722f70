package command

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run(o *Output) error {
	fmt.Fprintln(o.Stdout, version())
	return nil
}

// version is the module's, with the commit it was built from where that is known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}
