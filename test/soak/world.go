package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	host        = "h.example"
	serviceDesk = "desk"
	serviceDocs = "docs"
	// workTime is the mean time of a request at a target.
	workTime    = 20 * time.Millisecond
	readyLimit  = 15 * time.Second
	portCallers = 8080
	portPeers   = 8081
	portAdmin   = 8082
	portReady   = 8083
	// portProxy is where peers reach an instance.
	portProxy = 8084
)

// node is one instance with what stands between it and the rest.
type node struct {
	name     string
	settings string
	callers  string
	ready    string
	// store and peers are its paths to the store and from its peers.
	store *proxy
	peers *proxy

	mu      sync.Mutex
	process *fleet.Process
	// disturbed is when the node was last under a fault.
	disturbed time.Time
	// faults are the times at which it was under one, cuts from the store among
	// them.
	faults []time.Time
}

func (n *node) current() *fleet.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *node) disturb() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = time.Now()
	n.faults = append(n.faults, n.disturbed)
}

// cut notes that the node is cut off from the store.
func (n *node) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, time.Now())
}

// inTouch reports whether no fault was at the node for the usual time before a
// moment. Faults are noted when they begin and when they end, and are shorter than
// that time.
func (n *node) inTouch(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range n.faults {
		if age := at.Sub(x); age >= 0 && age < contact {
			return false
		}
	}
	return true
}

// backend is one target with the path to it.
type backend struct {
	target  *prepared.Target
	service string
	path    *proxy
	zone    string
	// draining is when the store was told that it leaves; zero before.
	draining time.Time
}

// world is everything that one seed runs.
type world struct {
	program  string
	folder   string
	store    *prepared.Store
	nodes    []*node
	backends []*backend
	journal  *prepared.RunLog
	cancel   context.CancelFunc
}

// newWorld starts the store, targets and instances. seed keeps the addresses of
// worlds apart that run at a time.
func newWorld(program, folder string, seed uint64, instances, targets int) (*world, error) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		program: program,
		folder:  folder,
		store:   prepared.NewStore("127.0.0.1:0"),
		journal: &prepared.RunLog{},
		cancel:  cancel,
	}
	if err := w.start(ctx, seed, instances, targets); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start(ctx context.Context, seed uint64, instances, targets int) error {
	if err := w.store.Start(ctx); err != nil {
		return err
	}
	for n := range targets {
		service := serviceDesk
		if n%3 == 2 {
			service = serviceDocs
		}
		if err := w.addBackend(ctx, n, service); err != nil {
			return err
		}
	}
	w.store.PutJSON("op/config", configuration(1, serviceDesk))
	for n := range instances {
		if err := w.addNode(ctx, seed, n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := waitReady(n, readyLimit); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addBackend(ctx context.Context, n int, service string) error {
	t := prepared.NewTarget(fmt.Sprintf("i-%03d", n), "127.0.0.1:0", workTime, w.journal)
	if err := t.Start(ctx); err != nil {
		return err
	}
	path, err := startProxy(ctx, "127.0.0.1:0", t.Address)
	if err != nil {
		return err
	}
	b := &backend{
		target:  t,
		service: service,
		path:    path,
		zone:    zone(n),
	}
	w.backends = append(w.backends, b)
	w.announce(b, "ready")
	return nil
}

func zone(n int) string {
	return fmt.Sprintf("zone-%d", n%2+1)
}

// announce writes a target's entry.
func (w *world) announce(b *backend, state string) {
	w.store.PutJSON("servers/"+b.target.ID, map[string]any{
		"address": b.path.address,
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
	})
}

// configuration routes reads to a service that changes, and operations to one
// that does not.
func configuration(version int, reads string) map[string]any {
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

func (w *world) addNode(ctx context.Context, seed uint64, n int) error {
	address := func(port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 60+seed%120, n/200, n%200+1, port)
	}
	store, err := startProxy(ctx, "127.0.0.1:0", w.store.Address)
	if err != nil {
		return err
	}
	peers, err := startProxy(ctx, address(portProxy), address(portPeers))
	if err != nil {
		return err
	}
	x := &node{
		name:     fmt.Sprintf("node-%d", n),
		settings: filepath.Join(w.folder, fmt.Sprintf("seed-%d-node-%d.yaml", seed, n)),
		callers:  address(portCallers),
		ready:    address(portReady),
		store:    store,
		peers:    peers,
	}
	content := fmt.Sprintf(`instance: {name: %s, data-center: %s}
listen: {callers: "%s", readiness: "%s", peers: "%s", operators: "%s", peers-advertised: "%s"}
platform: {kind: prepared, address: "%s", watch-wait: 600ms, pace: 100ms, contact-limit: 1200ms, backoff-limit: 1s, readers: 2}
peers: {interval: 500ms, seeds: ["127.%d.0.1:%d", "127.%d.0.2:%d"]}
shutdown: {balancer-wait: 1s, drain-limit: 5s}
budgets: {retry-ratio: 0.2, retry-slack: 60, probes: 60, survey: 3, instances-at-most: 16}
`, x.name, zone(n), x.callers, x.ready, address(portPeers), address(portAdmin), peers.address, store.address,
		60+seed%120, portProxy, 60+seed%120, portProxy)
	if err := os.WriteFile(x.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.nodes = append(w.nodes, x)
	return w.launch(x)
}

// launch starts an instance, anew after its end.
func (w *world) launch(n *node) error {
	p, err := fleet.StartProcess(n.name, w.program, nil, "serve", "--settings", n.settings)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	return nil
}

func isReady(n *node) bool {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitReady(n *node, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if isReady(n) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready:\n%s", n.name, n.current().Output())
}

func (w *world) close() {
	for _, n := range w.nodes {
		if p := n.current(); p != nil {
			p.Thaw()
			p.Kill()
		}
	}
	w.cancel()
}
