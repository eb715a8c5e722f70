package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	host        = "h.example"
	serviceDesk = "desk"
	serviceDocs = "docs"
	// meanServiceTime is the mean service time of a request at a target.
	meanServiceTime = 20 * time.Millisecond
	readyTimeout    = 15 * time.Second
	portCallers     = 8080
	portPeers       = 8081
	portOperators   = 8082
	portReadiness   = 8083
	// portPeerProxy is the port that an instance advertises to its peers: that of the
	// proxy in front of portPeers.
	portPeerProxy = 8084
)

// instance is an instance process with the proxies on its connections.
type instance struct {
	name string
	// settings is the path of the settings file.
	settings         string
	callersAddress   string
	readinessAddress string
	// storeProxy relays its connections to the store.
	storeProxy *proxy
	// peerProxy relays the connections from its peers.
	peerProxy *proxy

	mu      sync.Mutex
	process *fleet.Process
	// lastFault is when a fault last began or ended, other than a cut from the store;
	// zero if there was none.
	lastFault time.Time
	// faultTimes are the times at which faults began or ended, including cuts from the
	// store.
	faultTimes []time.Time
	// processFaults are the times at which the process was killed, started, frozen or
	// thawed.
	processFaults []time.Time
}

// recordProcessFault records that a fault of the process itself begins or ends.
func (i *instance) recordProcessFault() {
	i.recordFault()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.processFaults = append(i.processFaults, i.lastFault)
}

// ranThrough reports whether the process ran from one time to another, without a restart
// or a freeze.
func (i *instance) ranThrough(from, to time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !slices.ContainsFunc(i.processFaults, func(t time.Time) bool {
		return t.After(from.Add(-gracePeriod)) && t.Before(to)
	})
}

func (i *instance) currentProcess() *fleet.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// recordFault records that a fault begins or ends.
func (i *instance) recordFault() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastFault = time.Now()
	i.faultTimes = append(i.faultTimes, i.lastFault)
}

// recordStoreCut records that a cut from the store begins or ends.
func (i *instance) recordStoreCut() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faultTimes = append(i.faultTimes, time.Now())
}

// undisturbed reports whether the instance had no fault during gracePeriod before at.
// It is enough to compare the times at which faults began and ended, because a fault
// is shorter than gracePeriod.
func (i *instance) undisturbed(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, t := range i.faultTimes {
		if age := at.Sub(t); age >= 0 && age < gracePeriod {
			return false
		}
	}
	return true
}

// backend is a target with the proxy in front of it.
type backend struct {
	target  *prepared.Target
	service string
	proxy   *proxy
	zone    string
	// leavingSince is when the target began to leave; zero while it stays.
	leavingSince time.Time
	// starts counts the starts of the target under its ID.
	starts int

	mu sync.Mutex
	// cutTimes are the times at which faults of the path to the target began or ended.
	cutTimes []time.Time
}

// recordCut records that a fault of the path to the target begins or ends.
func (b *backend) recordCut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutTimes = append(b.cutTimes, time.Now())
}

// undisturbed reports whether the path to the target had no fault during gracePeriod
// before at.
func (b *backend) undisturbed(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(b.cutTimes, func(t time.Time) bool {
		return !t.After(at) && at.Sub(t) < gracePeriod
	})
}

// environment is the store, the targets and the fleet of one seed.
type environment struct {
	program string
	// folder holds the settings files.
	folder    string
	store     *prepared.Store
	instances []*instance
	backends  []*backend
	// journal records the requests that the targets ran.
	journal *prepared.RunLog
	cancel  context.CancelFunc
}

// newEnvironment starts the store, targets and instances, and waits until the instances
// are ready. The addresses depend on seed, so that environments can run concurrently.
func newEnvironment(program, folder string, seed uint64, instances, targets int) (*environment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &environment{
		program: program,
		folder:  folder,
		store:   prepared.NewStore("127.0.0.1:0"),
		journal: &prepared.RunLog{},
		cancel:  cancel,
	}
	if err := e.start(ctx, seed, instances, targets); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *environment) start(ctx context.Context, seed uint64, instances, targets int) error {
	if err := e.store.Start(ctx); err != nil {
		return err
	}
	for n := range targets {
		service := serviceDesk
		if n%3 == 2 {
			service = serviceDocs
		}
		if err := e.addBackend(ctx, n, service); err != nil {
			return err
		}
	}
	e.store.PutJSON("op/config", newConfiguration(1, serviceDesk))
	for n := range instances {
		if err := e.addInstance(ctx, seed, n); err != nil {
			return err
		}
	}
	for _, i := range e.instances {
		if err := waitReady(i, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// addBackend starts the nth target with its proxy and publishes it.
func (e *environment) addBackend(ctx context.Context, n int, service string) error {
	t := prepared.NewTarget(fmt.Sprintf("i-%03d", n), "127.0.0.1:0", meanServiceTime, e.journal)
	if err := t.Start(ctx); err != nil {
		return err
	}
	p, err := startProxy(ctx, "127.0.0.1:0", t.Address)
	if err != nil {
		return err
	}
	b := &backend{
		target:  t,
		service: service,
		proxy:   p,
		zone:    zone(n),
	}
	e.backends = append(e.backends, b)
	e.publishTarget(b, "ready")
	return nil
}

// zone returns the zone of the nth instance or target.
func zone(n int) string {
	return fmt.Sprintf("zone-%d", n%2+1)
}

// publishTarget writes the target's entry to the store.
func (e *environment) publishTarget(b *backend, state string) {
	e.store.PutJSON("servers/"+b.target.ID, map[string]any{
		"address": b.proxy.listenAddress,
		"info": map[string]any{
			"service":  b.service,
			"version":  "v1",
			"zone":     b.zone,
			"capacity": 6,
		},
		"status": map[string]any{
			"state":    state,
			"sequence": 1,
			"coldLeft": "0ms",
		},
		"born": 1_000_000 + b.starts,
	})
}

// newConfiguration returns a configuration that routes reads to the given service, and
// operations always to serviceDesk.
func newConfiguration(version int, reads string) map[string]any {
	route := func(path, kind, service string) map[string]any {
		return map[string]any{
			"host":          host,
			"pathPrefix":    path,
			"kind":          kind,
			"timeout":       "1500ms",
			"targetLatency": "300ms",
			"priority":      1,
			"service":       service,
			"maxAttempts":   2,
		}
	}
	service := map[string]any{
		"healthPath": "/health",
		"maxConns":   200,
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"r-read": route("/read/", "idempotent", reads),
			"r-book": route("/book/", "non_idempotent", serviceDesk),
		},
		"services": map[string]any{
			serviceDesk: service,
			serviceDocs: service,
		},
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     1 << 20,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	}
}

// addInstance starts the nth instance with its proxies.
func (e *environment) addInstance(ctx context.Context, seed uint64, n int) error {
	address := func(port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 60+seed%120, n/200, n%200+1, port)
	}
	store, err := startProxy(ctx, "127.0.0.1:0", e.store.Address)
	if err != nil {
		return err
	}
	peers, err := startProxy(ctx, address(portPeerProxy), address(portPeers))
	if err != nil {
		return err
	}
	i := &instance{
		name:             fmt.Sprintf("node-%d", n),
		settings:         filepath.Join(e.folder, fmt.Sprintf("seed-%d-node-%d.yaml", seed, n)),
		callersAddress:   address(portCallers),
		readinessAddress: address(portReadiness),
		storeProxy:       store,
		peerProxy:        peers,
	}
	content := fmt.Sprintf(`instance: {name: %s, data-center: %s}
listen: {callers: "%s", readiness: "%s", peers: "%s", operators: "%s", peers-advertised: "%s"}
platform: {kind: prepared, address: "%s", watch-wait: 600ms, pace: 100ms, contact-limit: 1200ms, backoff-limit: 1s, readers: 2}
peers: {interval: 500ms, seeds: ["127.%d.0.1:%d", "127.%d.0.2:%d"]}
shutdown: {balancer-wait: 1s, drain-limit: 5s}
budgets: {retry-ratio: 0.2, retry-slack: 60, probes: 60, survey: 3, instances-at-most: 16}
`, i.name, zone(n), i.callersAddress, i.readinessAddress, address(portPeers), address(portOperators), peers.listenAddress, store.listenAddress,
		60+seed%120, portPeerProxy, 60+seed%120, portPeerProxy)
	if err := os.WriteFile(i.settings, []byte(content), 0o600); err != nil {
		return err
	}
	e.instances = append(e.instances, i)
	return e.launch(i)
}

// launch starts or restarts the process of an instance.
func (e *environment) launch(i *instance) error {
	p, err := fleet.StartProcess(i.name, e.program, nil, "serve", "--settings", i.settings)
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.process = p
	i.mu.Unlock()
	return nil
}

// isReady reports whether the readiness endpoint returns 200.
func isReady(i *instance) bool {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Get("http://" + i.readinessAddress + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady returns an error with the output of the process if the instance does not
// become ready in time.
func waitReady(i *instance, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if isReady(i) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready:\n%s", i.name, i.currentProcess().Output())
}

// close kills the instances and stops the store, targets and proxies.
func (e *environment) close() {
	for _, i := range e.instances {
		if p := i.currentProcess(); p != nil {
			p.Thaw()
			p.Kill()
		}
	}
	e.cancel()
}
