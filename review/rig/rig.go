// Package rig starts a small deployment for the cases of this review: instances as
// separate processes with the settings template of the deploy file, the project's
// stand-in for the platform's store, and targets whose bytes a case controls.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

// Exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

const (
	program  = "target/tarragonwell"
	template = "deploy/settings.yaml.template"
	// Host is the host of all routes.
	Host = "h.example"
	// readyTimeout bounds the wait for an instance to be ready.
	readyTimeout = 20 * time.Second
)

// Rig is a running deployment.
type Rig struct {
	Store     *prepared.Store
	Instances []*Instance
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	name   string
	folder string
	// ip is the address on which the instances listen.
	ip     string
	ctx    context.Context
	cancel context.CancelFunc
	record *Record
	start  time.Time
}

// Record is the file in which a case notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		file:  file,
		start: time.Now(),
	}, nil
}

// Logf adds a line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Verdict records and prints the result and returns the exit status. broken is the number
// of times that a rule was broken.
func (r *Record) Verdict(broken int, summary string) int {
	line := fmt.Sprintf("%s; rules broken %d times", summary, broken)
	r.Logf("%s", line)
	fmt.Println(line)
	if broken > 0 {
		return ExitBroken
	}
	return ExitHeld
}

// Instance is one instance of the load balancer.
type Instance struct {
	Name      string
	Callers   string
	Readiness string
	Peers     string
	Operators string
	// Store is the proxy through which the instance reads the store.
	Store *Proxy

	rig      *Rig
	settings string
	mu       sync.Mutex
	process  *Process
}

// New starts the store. The name stands before the lines of the deployment in the
// record.
func New(name string, record *Record) (*Rig, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rig{
		Store:   prepared.NewStore("127.0.0.1:0"),
		Trouble: os.Getenv("TROUBLE") != "0",
		name:    name,
		folder:  folder,
		ip:      ip,
		ctx:     ctx,
		cancel:  cancel,
		record:  record,
		start:   time.Now(),
	}
	r.Logf("trouble: %v", r.Trouble)
	return r, r.Store.Start(ctx)
}

// firstPort is the port on which the first instance serves callers. It is below the ports
// that the kernel gives to clients.
const firstPort = 8144

// freeIP draws a loopback address on which no instance listens yet.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.N(128), rand.N(256), 1+rand.N(254))
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort))
		if err == nil {
			return ip, l.Close()
		}
	}
	return "", errors.New("no free loopback address")
}

// Logf adds a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.record.Logf("%s %s", r.name, fmt.Sprintf(format, args...))
}

// Context ends when the rig is closed.
func (r *Rig) Context() context.Context {
	return r.ctx
}

// Close ends all processes that the rig started.
func (r *Rig) Close() {
	for _, i := range r.Instances {
		i.Kill()
	}
	r.cancel()
	_ = os.RemoveAll(r.folder)
}

// AddInstances prepares n instances and starts them. It returns when all are ready.
func (r *Rig) AddInstances(n int) error {
	for k := range n {
		i := &Instance{
			Name: fmt.Sprintf("front-%d", k+1),
			rig:  r,
		}
		addresses := []*string{&i.Callers, &i.Readiness, &i.Peers, &i.Operators}
		for m, a := range addresses {
			*a = fmt.Sprintf("%s:%d", r.ip, firstPort+k*len(addresses)+m)
		}
		store, err := r.StartProxy(r.Store.Address)
		if err != nil {
			return err
		}
		i.Store = store
		r.Instances = append(r.Instances, i)
	}
	for _, i := range r.Instances {
		if err := i.writeSettings(); err != nil {
			return err
		}
		if err := i.Start(); err != nil {
			return err
		}
	}
	for _, i := range r.Instances {
		if err := i.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the settings template as the platform does.
func (i *Instance) writeSettings() error {
	content, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	var seeds []string
	for _, x := range i.rig.Instances[:min(3, len(i.rig.Instances))] {
		seeds = append(seeds, x.Peers)
	}
	// Encoding strings can't fail.
	encode := func(v any) string {
		text, _ := json.Marshal(v)
		return string(text)
	}
	ip, port, err := net.SplitHostPort(i.Operators)
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{nodeName|json}}", encode(i.Name),
		"{{zone|json}}", encode("zone-a"),
		"{{bind.front|json}}", encode(i.Callers),
		"{{bind.readiness|json}}", encode(i.Readiness),
		"{{bind.control|json}}", encode(i.Peers),
		"{{ip}}", ip,
		"{{portRange.0}}", port,
		"{{platform.address|json}}", encode(i.Store.Address),
		"{{seedNodes|json}}", encode(seeds),
		"{{contractBounds.grace}}", "6s",
		"{{contractBounds.retryBudgetRatio}}", "0.2",
		"{{contractBounds.retrySlack}}", "60",
		"{{contractBounds.probesPerS}}", "60",
	).Replace(string(content))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("a placeholder of the settings template is not known:\n%s", text)
	}
	i.settings = filepath.Join(i.rig.folder, i.Name+".yaml")
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// Start starts the process of the instance.
func (i *Instance) Start() error {
	p, err := startProcess(i.settings+".log", program, "serve", "--settings", i.settings)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = p
	i.rig.Logf("%s starts", i.Name)
	return nil
}

// Process returns the process of the instance.
func (i *Instance) Process() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// Kill ends the process with SIGKILL, waits until it has exited and returns when the
// signal had been sent.
func (i *Instance) Kill() time.Time {
	if p := i.Process(); p != nil {
		return p.Kill()
	}
	return time.Now()
}

// Ready reports whether the readiness address responds with 200.
func (i *Instance) Ready() bool {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Get("http://" + i.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (i *Instance) AwaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if i.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready:\n%s", i.Name, i.Process().Output())
}

// Route describes a route of the configuration.
type Route struct {
	Name    string
	Prefix  string
	Kind    string
	Service string
	Timeout time.Duration
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts int
}

// PutConfiguration publishes a configuration.
func (r *Rig) PutConfiguration(version int, maxConns int, routes ...Route) {
	table := map[string]any{}
	services := map[string]any{}
	for _, x := range routes {
		table[x.Name] = map[string]any{
			"host":          Host,
			"pathPrefix":    x.Prefix,
			"kind":          x.Kind,
			"timeout":       fmt.Sprintf("%dms", x.Timeout.Milliseconds()),
			"targetLatency": "500ms",
			"priority":      1,
			"service":       x.Service,
			"maxAttempts":   x.MaxAttempts,
		}
		services[x.Service] = map[string]any{
			"healthPath": "/health",
			"maxConns":   maxConns,
			"protocol":   "h1",
			"tls":        false,
		}
	}
	r.Store.PutJSON("op/config", map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   table,
		"services": services,
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     67108864,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	})
	r.Logf("configuration %d is published", version)
}

// PutTarget publishes a target's entry.
func (r *Rig) PutTarget(id, service, address, state string, slots int) {
	r.Store.PutJSON("servers/"+id, map[string]any{
		"address": address,
		"info": map[string]any{
			"service":  service,
			"version":  "v1",
			"zone":     "zone-a",
			"capacity": slots,
		},
		"status": map[string]any{
			"state":    state,
			"sequence": 1,
			"coldLeft": "0ms",
		},
		"born": r.start.UnixMilli(),
	})
	r.Logf("target %s of %s at %s is published as %s", id, service, address, state)
}

// NotRun reports why a case can't run and returns its exit status.
func NotRun(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return ExitNotRun
}
