// Command bench compares the default policy with the baseline policies. It runs
// each policy on real instances with an open-loop load per kind of request, in
// several scenarios.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/test/fleet"
)

type options struct {
	Scenario  []string      `help:"Scenarios to run; all if none is named."`
	Policy    []string      `help:"Policies to compare; all if none is named."`
	Duration  time.Duration `default:"3s" help:"Time measured in each run."`
	Rounds    int           `default:"1" help:"Rounds, each with all policies."`
	Instances int           `default:"15" help:"Instances in the fleet."`
	Seed      uint64        `default:"1" help:"Seed of the load."`
	Out       string        `type:"path" help:"Folder for results.json and plots."`
	List      bool          `help:"List the scenarios."`
	Program   string        `type:"path" help:"Use this program instead of building one."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("bench"))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.List {
		for _, s := range scenarios {
			fmt.Printf("%-18s %s\n", s.name, s.description)
		}
		return nil
	}
	dir, err := os.MkdirTemp("", "tarragonwell-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := o.Program
	if program == "" {
		if program, err = fleet.Build(dir, "tarragonwell", "."); err != nil {
			return err
		}
	}
	if len(o.Policy) == 0 {
		o.Policy = append(policy.Names(), withoutHedges)
	}
	selected := slices.DeleteFunc(slices.Clone(scenarios), func(s scenario) bool {
		return len(o.Scenario) > 0 && !slices.Contains(o.Scenario, s.name)
	})
	if len(selected) == 0 {
		return fmt.Errorf("unknown scenario; --list prints all scenarios")
	}
	fmt.Println("bench", strings.Join(os.Args[1:], " "))
	var results []*result
	for _, org := range organisations {
		r, err := runOrganisation(o, program, dir, org, selected)
		if err != nil {
			return err
		}
		results = append(results, r...)
	}
	printResults(results)
	if o.Out == "" {
		return nil
	}
	return writeResults(o.Out, results)
}

// runOrganisation runs the scenarios of one organisation on one fleet. It
// switches between the policies by publishing new rules.
func runOrganisation(o options, program, dir string, org organisation, selected []scenario) ([]*result, error) {
	selected = slices.DeleteFunc(slices.Clone(selected), func(s scenario) bool { return s.organisation != org.name })
	if len(selected) == 0 {
		return nil, nil
	}
	f, err := fleet.Start(org.fleetOptions(o, program, dir))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var results []*result
	for _, s := range selected {
		for round := range o.Rounds {
			for _, p := range o.Policy {
				b := &bench{
					options:      o,
					fleet:        f,
					organisation: org,
					scenario:     s,
					policy:       p,
					seed:         o.Seed + uint64(round),
				}
				r, err := b.run()
				if err != nil {
					return nil, err
				}
				r.Round = round
				results = append(results, r)
				fmt.Println(r.summary())
			}
		}
	}
	return results, nil
}
