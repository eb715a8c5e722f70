// Command slopes measures how the cost of each component grows with its size: targets,
// rules, operations, instances and peers.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// options are the command-line flags.
type options struct {
	Peers  []int         `default:"4,16,64,256" help:"Numbers of instances per fleet."`
	Window time.Duration `default:"8s" help:"Time over which an idle fleet is measured."`
	Edits  int           `default:"5" help:"Rules edits per fleet."`
	Only   string        `help:"Measure only targets, rules, operations, instances or peers."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("slopes"))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// run runs the selected measurements in order.
func run(o options) error {
	for _, part := range []struct {
		name string
		run  func(options) error
	}{
		{
			name: "targets",
			run:  measureTargets,
		},
		{
			name: "rules",
			run:  measureRules,
		},
		{
			name: "operations",
			run:  measureOperations,
		},
		{
			name: "instances",
			run:  measureInstances,
		},
		{
			name: "peers",
			run:  measurePeers,
		},
	} {
		if o.Only != "" && o.Only != part.name {
			continue
		}
		if err := part.run(o); err != nil {
			return err
		}
		fmt.Println()
	}
	return nil
}
