package standins3

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site pannonvirag-gw-grown, whose parts of the rules are in force.
const (
	Contact     = 3 * time.Second
	ConfigApply = 2500 * time.Millisecond
	MaxStretch  = 5 * time.Second
	Evacuate    = 5 * time.Second
	Drain       = 2500 * time.Millisecond
	Grace       = 6 * time.Second
)

// Exit statuses of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Zones of the deployment.
var Zones = []string{"hu-central-a", "hu-central-b", "hu-central-c"}

// Trouble reports whether the disruption is to be played.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Deployment is a small installation: a store, backends and three instances. The zero value
// is empty; Close ends all that was started.
type Deployment struct {
	Record    *Record
	Store     *Store
	Backends  []*Backend
	Instances []*Instance

	folder string
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// version is that of the latest configuration.
	version int
}

// Start starts the store and the instances, and publishes the first configuration. The
// backends are those of the given services, perZone in each zone.
func (d *Deployment) Start(first Configuration, services []string, perZone int, work time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	d.folder = folder
	if d.Store, err = StartStore(); err != nil {
		return err
	}
	for _, service := range services {
		for n := range perZone * len(Zones) {
			b, err := StartBackend(fmt.Sprintf("i-%s-%d", service, n), service, Zones[n%len(Zones)], work, d.Record)
			if err != nil {
				return err
			}
			d.Backends = append(d.Backends, b)
			d.Store.Put(b.Key(), b.Entry(1))
		}
	}
	if err := d.startInstances(first); err != nil {
		return err
	}
	if os.Getenv("BEATS") == "1" {
		d.tasks.Go(func() { d.beat(ctx) })
	}
	return nil
}

func (d *Deployment) startInstances(first Configuration) error {
	d.Publish(first)
	var seeds []string
	for n, zone := range Zones {
		i, err := NewInstance("front-"+strconv.Itoa(n+1), zone)
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, i)
		seeds = append(seeds, i.Peers)
	}
	for _, i := range d.Instances {
		if err := i.Start(d.folder, d.Store.Address, seeds); err != nil {
			return err
		}
	}
	for _, i := range d.Instances {
		if err := i.AwaitReady(); err != nil {
			return err
		}
	}
	d.Record.Note("all instances are ready; %v", d.Store)
	return nil
}

// beat writes the entry of each backend at every heartbeat, as a change of its own. The
// pages can also be read so that a heartbeat which changes nothing but the sequence is no
// change of the entry; without BEATS=1 that is how the backends behave.
func (d *Deployment) beat(ctx context.Context) {
	for sequence := 2; ; sequence++ {
		for _, b := range d.Backends {
			select {
			case <-time.After(Heartbeat / time.Duration(len(d.Backends))):
			case <-ctx.Done():
				return
			}
			if !d.Store.isAway() {
				d.Store.Put(b.Key(), b.Entry(sequence))
			}
		}
	}
}

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// Route is a route of a configuration.
type Route struct {
	Prefix  string
	Kind    string
	Service string
}

// Configuration is what the operator writes.
type Configuration struct {
	Routes   []Route
	Services []string
	Timeout  time.Duration
}

// Publish writes a configuration with a version of its own, and returns when the store has
// confirmed it.
func (d *Deployment) Publish(c Configuration) time.Time {
	// Versions increase in uneven steps.
	d.version += 3 + d.version%4
	return d.Rewrite(c)
}

// Rewrite writes a configuration with the latest version.
func (d *Deployment) Rewrite(c Configuration) time.Time {
	routes, services := map[string]any{}, map[string]any{}
	for n, r := range c.Routes {
		routes["r"+strconv.Itoa(n)] = map[string]any{
			"host":          Host,
			"pathPrefix":    r.Prefix,
			"kind":          r.Kind,
			"service":       r.Service,
			"timeout":       c.Timeout.String(),
			"targetLatency": "400ms",
			"priority":      1,
			"maxAttempts":   2,
		}
	}
	for _, s := range c.Services {
		services[s] = map[string]any{
			"healthPath": healthPath,
			"maxConns":   820,
		}
	}
	revision := d.Store.Put("op/config", map[string]any{
		"version":  fmt.Sprintf("%08x", d.version),
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     1 << 20,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	})
	d.Record.Note("the store confirms configuration %08x at revision %d", d.version, revision)
	return time.Now()
}

// Drill lets the store go away and come back from a copy of the given age. What the operator
// and the backends wrote since is written again at once; latest is the operator's newest
// configuration. Without trouble it only waits. It returns when the store was back.
func (d *Deployment) Drill(copyAge, awayFor time.Duration, latest Configuration) time.Time {
	if !Trouble() {
		time.Sleep(awayFor)
		return time.Now()
	}
	copied := time.Now().Add(-copyAge)
	d.Store.Leave()
	d.Record.Note("the store is away")
	time.Sleep(awayFor)
	before, after, lost := d.Store.Return(copied)
	returned := time.Now()
	d.Record.Note("the store is back from a copy of %v before: revision %d instead of %d, lost changes of %v", copyAge, after, before, lost)
	for _, b := range d.Backends {
		if slices.Contains(lost, b.Key()) {
			d.Store.Put(b.Key(), b.Entry(1))
		}
	}
	d.Rewrite(latest)
	return returned
}

// Load is a steady load on a path. Each client sends to one instance.
type Load struct {
	// Name begins the ids of the requests.
	Name string
	Path string
	// Body is that of the requests; empty for GET.
	Body string
	// Every is the pause between two requests of a client.
	Every time.Duration
}

// Run sends the load to all instances until ctx ends.
func (d *Deployment) Run(ctx context.Context, l Load) {
	for _, i := range d.Instances {
		c := &Client{
			Instance: i,
			Record:   d.Record,
			Deadline: 3 * time.Second,
		}
		d.tasks.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.Send(context.WithoutCancel(ctx), fmt.Sprintf("%s-%s-%d", l.Name, i.Name, n), l.Path, l.Body)
				time.Sleep(l.Every)
			}
		})
	}
}

// Wait waits until all clients have ended.
func (d *Deployment) Wait() {
	d.cancel()
	d.tasks.Wait()
}

// Close ends all processes and stand-ins, and writes the record to the folder of the case.
func (d *Deployment) Close(caseFolder string) error {
	if d.cancel != nil {
		d.cancel()
	}
	for _, i := range d.Instances {
		i.Signal(syscall.SIGCONT)
		i.Kill()
	}
	for _, b := range d.Backends {
		b.Close()
	}
	if d.Store != nil {
		d.Store.Close()
	}
	err := d.Record.Write(caseFolder + "/record.txt")
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs in", d.folder)
		return err
	}
	return errors.Join(err, os.RemoveAll(d.folder))
}
