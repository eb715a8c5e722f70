package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// systemSize is the size of the system behind the load balancer.
type systemSize struct {
	services int
	targets  int
}

var systemSizes = []systemSize{
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
	// fleetSize is the assumed number of instances that share the probe budget.
	fleetSize = 48
	// idleTime is the time over which an idle instance is measured.
	idleTime = 10 * time.Second
	// probeBudget is the number of probes per second that a target accepts from the
	// whole fleet.
	probeBudget = 4
	// probeWarmup is the time within which an instance probes every target at least
	// once: two probe intervals.
	probeWarmup = 2 * fleetSize / probeBudget * time.Second
)

// measureInstances measures the process of one idle instance, by the number of targets
// that it stores and probes.
func measureInstances(options) error {
	folder, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		return err
	}
	fmt.Println("SERVICES   TARGETS       CPU % when idle  resident MiB   probes/s   goroutines")
	for n, size := range systemSizes {
		if err := measureIdleInstance(program, folder, size, byte(n)); err != nil {
			return err
		}
	}
	return nil
}

// measureIdleInstance starts one instance with targets and prints its resource use. n
// selects the loopback network of the fleet.
func measureIdleInstance(program, folder string, size systemSize, n byte) error {
	counts := map[string]int{}
	for s := range size.services {
		counts[fmt.Sprintf("service-%d", s)] = size.targets / size.services
	}
	f, err := fleet.Start(fleet.Options{
		Program:   program,
		Folder:    folder,
		Subnet:    [2]byte{120, n},
		Instances: 1,
		// The number of data centres in the systems to be served.
		DataCenters: 5,
		Rules:       systemRules(size),
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
	time.Sleep(probeWarmup)
	before, err := fleet.ReadMetrics(f.Instances[0].OperatorAddress())
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := fleet.ReadMetrics(f.Instances[0].OperatorAddress())
	if err != nil {
		return err
	}
	seconds := idleTime.Seconds()
	fmt.Printf("%8d %9d %21.2f %13.1f %10.1f %12.0f\n", size.services, size.targets,
		(after["process_cpu_seconds_total"]-before["process_cpu_seconds_total"])/seconds*100,
		after["process_resident_memory_bytes"]/(1<<20),
		(after["tarragonwell_probes_total"]-before["tarragonwell_probes_total"])/seconds,
		after["go_goroutines"])
	return nil
}

// systemRules returns a rules file with one route per service.
func systemRules(size systemSize) string {
	var b strings.Builder
	fmt.Fprintf(&b, "- {fleet: {instances-at-most: %d}}  # slopes\n", fleetSize)
	b.WriteString("- {kind: {name: k, organisation: o, repeatable: true}}  # slopes\n")
	for s := range size.services {
		fmt.Fprintf(&b, "- {service: {name: service-%d, organisation: o, slots: 5, connections: 250, probe-budget: %d}}  # slopes\n", s, probeBudget)
		fmt.Fprintf(&b, "- {route: {path: /s%d, service: service-%d, kind: k}}  # slopes\n", s, s)
	}
	return b.String()
}
