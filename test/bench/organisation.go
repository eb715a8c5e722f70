package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// organisation is one of the user organisations, at its present size.
type organisation struct {
	name        string
	dataCenters int
	// net is the second and third octet of the fleet's loopback addresses.
	net [2]byte
	// delayMs is the one-way network delay to the targets.
	delayMs float64
	// connections is the maximum of connections to a target.
	connections int
	// services holds the number of targets by service.
	services map[string]int
	kinds    []kind
}

// kind is one request kind of the load.
type kind struct {
	name    string
	service string
	method  string
	path    string
	// weight is in proportion to the kind's share of the demand, so that each kind
	// keeps its share of the slots under overload.
	weight int
	// share is the share of the service's slots that the kind takes at load 1.
	share      float64
	repeatable bool
	long       bool
	deadline   time.Duration
	hedge      bool
}

const (
	slots = 5
	// serviceMs is scaled up so that fifteen instances, the targets and the load
	// generator fit on a machine with six cores.
	serviceMs = 80
	longMs    = 800
	longBytes = 64 << 10
	probeMs   = 5
	// targetQueue is the number of calls that may wait at a target; it sheds those
	// above.
	targetQueue = 10
	probeBudget = 4
)

var organisations = []organisation{
	{
		name:        "trust",
		dataCenters: 3,
		net:         [2]byte{90, 1},
		delayMs:     1,
		connections: 250,
		services: map[string]int{
			"booking-tracking": 25,
			"stock-documents":  5,
		},
		kinds: []kind{
			{
				name:       "load-lookup",
				service:    "booking-tracking",
				method:     "GET",
				path:       "/loads/x",
				share:      0.6,
				repeatable: true,
				deadline:   800 * time.Millisecond,
				weight:     12,
				hedge:      true,
			},
			{
				name:     "booking",
				service:  "booking-tracking",
				method:   "POST",
				path:     "/bookings",
				share:    0.25,
				deadline: 2 * time.Second,
				weight:   5,
			},
			{
				name:     "winch-release",
				service:  "booking-tracking",
				method:   "POST",
				path:     "/releases",
				share:    0.15,
				deadline: 2 * time.Second,
				weight:   3,
			},
			{
				name:       "stock-check",
				service:    "stock-documents",
				method:     "GET",
				path:       "/stock/x",
				share:      0.6,
				repeatable: true,
				deadline:   time.Second,
				weight:     2,
			},
			{
				name:       "manual-download",
				service:    "stock-documents",
				method:     "GET",
				path:       "/manuals/x",
				share:      0.2,
				repeatable: true,
				long:       true,
				deadline:   3 * time.Second,
				weight:     1,
			},
		},
	},
	{
		name:        "glowbox",
		dataCenters: 4,
		net:         [2]byte{90, 2},
		delayMs:     1.5,
		connections: 200,
		services: map[string]int{
			"subscriber-accounts": 25,
			"store-content":       10,
		},
		kinds: []kind{
			{
				name:       "box-check",
				service:    "subscriber-accounts",
				method:     "GET",
				path:       "/boxes/x",
				share:      0.5,
				repeatable: true,
				deadline:   600 * time.Millisecond,
				weight:     4,
				hedge:      true,
			},
			{
				name:     "renewal",
				service:  "subscriber-accounts",
				method:   "POST",
				path:     "/renewals",
				share:    0.15,
				deadline: 2 * time.Second,
				weight:   6,
			},
			{
				name:     "pause",
				service:  "subscriber-accounts",
				method:   "POST",
				path:     "/pauses",
				share:    0.1,
				deadline: 2 * time.Second,
				weight:   6,
			},
			{
				name:       "store-read",
				service:    "store-content",
				method:     "GET",
				path:       "/store/x",
				share:      0.4,
				repeatable: true,
				deadline:   800 * time.Millisecond,
				weight:     4,
			},
			{
				name:       "download",
				service:    "store-content",
				method:     "GET",
				path:       "/catalogs/x",
				share:      0,
				repeatable: true,
				long:       true,
				deadline:   3 * time.Second,
				weight:     1,
			},
		},
	},
}

func (g organisation) behaviour() target.Behaviour {
	return target.Behaviour{
		Slots:       slots,
		Queue:       targetQueue,
		Connections: g.connections,
		ServiceMs:   serviceMs,
		LongBytes:   longBytes,
		LongMs:      longMs,
		ProbeMs:     probeMs,
		DelayMs:     g.delayMs,
	}
}

func (g organisation) fleetOptions(o options, program, dir string) fleet.Options {
	return fleet.Options{
		Program:     program,
		Folder:      dir,
		Subnet:      g.net,
		Instances:   o.Instances,
		DataCenters: g.dataCenters,
		Rules:       g.rules("tarragonwell", 0),
		Targets:     g.services,
		Behaviour:   g.behaviour(),
		Settings:    "shutdown: {balancer-wait: 1s}\nlog: {level: error}",
		Seed:        o.Seed,
		BalancerLag: time.Second,
	}
}

// withoutHedges is the default policy with hedging disabled, to measure the
// effect of hedging.
const withoutHedges = "no-hedges"

// rules returns the rules file for a policy; edit makes the content of each
// edit unique. The baseline policies run without hedging and slot shares, as in
// their publications.
func (g organisation) rules(name string, edit int) string {
	var b strings.Builder
	slotShares := name == policy.Default || name == withoutHedges
	hedging := name == policy.Default
	if name == withoutHedges {
		name = policy.Default
	}
	fmt.Fprintf(&b, "- {fleet: {instances-at-most: 16}}  # edit %d\n", edit)
	for s := range g.services {
		fmt.Fprintf(&b, "- {service: {name: %s, organisation: %s, slots: %d, connections: %d, probe-budget: %d, policy: %s}}  # bench\n",
			s, g.name, slots, g.connections, probeBudget, name)
	}
	for _, k := range g.kinds {
		length := "short"
		share := 1.0
		if k.long {
			length = "long"
			if slotShares {
				share = 0.4
			}
		}
		fmt.Fprintf(&b, "- {kind: {name: %s, organisation: %s, repeatable: %v, length: %s, deadline: %v, weight: %d, hedge: %v, slot-share: %v}}  # bench\n",
			k.name, g.name, k.repeatable, length, k.deadline, k.weight, k.hedge && hedging, share)
		fmt.Fprintf(&b, "- {route: {method: %s, path: %s, service: %s, kind: %s}}  # bench\n", k.method, k.path, k.service, k.name)
	}
	return b.String()
}

// rate returns the arrivals per second of a kind at load 1, at which kinds whose
// shares add up to 1 take exactly all slots of their service.
func (g organisation) rate(k kind) float64 {
	ms := serviceMs + g.delayMs
	if k.long {
		ms = longMs
	}
	return k.share * float64(g.services[k.service]*slots) / ms * 1000
}
