package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// growth is a size of the systems served.
type growth struct {
	services int
	targets  int
}

var growths = []growth{
	{
		services: 1,
		targets:  30,
	},
	{
		services: 9,
		targets:  275,
	},
	{
		services: 36,
		targets:  1100,
	},
}

const (
	// fleetAtSize is the number of instances that probes are divided by.
	fleetAtSize       = 48
	restTime          = 10 * time.Second
	growthProbeBudget = 4
	// probesBegin is when every target has had its first probe: two intervals.
	probesBegin = 2 * fleetAtSize / growthProbeBudget * time.Second
)

// instances measures one instance at rest, as a process, by the number of
// targets that it knows and probes.
func instances(options) error {
	folder, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		return err
	}
	fmt.Println("SERVICES   TARGETS   processor % at rest   resident MB   probes/s   goroutines")
	for n, g := range growths {
		if err := measureInstance(program, folder, g, byte(n)); err != nil {
			return err
		}
	}
	return nil
}

func measureInstance(program, folder string, g growth, n byte) error {
	counts := map[string]int{}
	for s := range g.services {
		counts[fmt.Sprintf("service-%d", s)] = g.targets / g.services
	}
	f, err := fleet.Start(fleet.Options{
		Program:   program,
		Folder:    folder,
		Subnet:    [2]byte{120, n},
		Instances: 1,
		// As many as the systems served will have.
		DataCenters: 5,
		Rules:       growthRules(g),
		Targets:     counts,
		Behaviour: target.Behaviour{
			Slots: 5,
		},
		Settings: "log: {level: error}",
	})
	if err != nil {
		return err
	}
	defer f.Close()
	time.Sleep(probesBegin)
	before, err := fleet.ReadMetrics(f.Instances[0].OperatorAddress())
	if err != nil {
		return err
	}
	time.Sleep(restTime)
	after, err := fleet.ReadMetrics(f.Instances[0].OperatorAddress())
	if err != nil {
		return err
	}
	seconds := restTime.Seconds()
	fmt.Printf("%8d %9d %21.2f %13.1f %10.1f %12.0f\n", g.services, g.targets,
		(after["process_cpu_seconds_total"]-before["process_cpu_seconds_total"])/seconds*100,
		after["process_resident_memory_bytes"]/(1<<20),
		(after["tarragonwell_probes_total"]-before["tarragonwell_probes_total"])/seconds,
		after["go_goroutines"])
	return nil
}

func growthRules(g growth) string {
	var b strings.Builder
	fmt.Fprintf(&b, "- {fleet: {instances-at-most: %d}}  # slopes\n", fleetAtSize)
	b.WriteString("- {kind: {name: k, organisation: o, repeatable: true}}  # slopes\n")
	for s := range g.services {
		fmt.Fprintf(&b, "- {service: {name: service-%d, organisation: o, slots: 5, connections: 250, probe-budget: %d}}  # slopes\n", s, growthProbeBudget)
		fmt.Fprintf(&b, "- {route: {path: /s%d, service: service-%d, kind: k}}  # slopes\n", s, s)
	}
	return b.String()
}
