package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/test/standin/balancer"
	"github.com/tarragonwell/tarragonwell/test/standin/platform"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// Ports of an instance on its own loopback address.
const (
	callerPort   = 8080
	peerPort     = 8081
	operatorPort = 8082
	// relayPort is the advertised peer port: a relay that forwards to peerPort.
	relayPort = 8083
)

// Options configures a fleet.
type Options struct {
	// Program is the path of the tarragonwell binary.
	Program string
	// Folder is where the settings files are written.
	Folder string
	// Subnet holds the second and third octet of the fleet's loopback addresses,
	// which have to be unique among the fleets of a machine.
	Subnet [2]byte
	// Instances is the number of instances.
	Instances int
	// DataCenters is the number of data centres; 0 means 1. Instances and targets
	// are assigned to them in turn.
	DataCenters int
	// Rules is the content of the first rules file.
	Rules string
	// Targets is the number of targets of each service.
	Targets map[string]int
	// Behaviour is the initial behaviour of all targets.
	Behaviour target.Behaviour
	// Environment holds additional environment variables of the instances, each
	// as NAME=VALUE.
	Environment []string
	// Settings is text appended to each instance's settings file.
	Settings string
	// Seed is the base of the targets' random seeds.
	Seed uint64
	// BalancerLag is the delay before the balancer follows a change of the list.
	BalancerLag time.Duration
}

// Fleet is a set of instances, each a process of its own, with a stand-in
// platform, balancer and targets that run in this process.
type Fleet struct {
	Options   Options
	Platform  *platform.Platform
	Balancer  *balancer.Balancer
	Instances []*Instance
	// Targets holds the targets of each service.
	Targets map[string][]*target.Target
	cancel  context.CancelFunc
	ctx     context.Context

	mu sync.Mutex
	// leaving holds the hosts of instances that are listed as leaving.
	leaving map[string]bool
	// removed holds the addresses of targets that are no longer listed.
	removed map[string]bool
}

// Instance is one load balancer instance and the relay through which its peers
// reach it.
type Instance struct {
	Index        int
	Host         string
	DataCenter   string
	Relay        *Relay
	settingsPath string

	mu      sync.Mutex
	process *Process
}

// Start starts the stand-ins and the instances, and waits until all instances
// are ready.
func Start(o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Options: o,
		Targets: map[string][]*target.Target{},
		cancel:  cancel,
		ctx:     ctx,
		leaving: map[string]bool{},
		removed: map[string]bool{},
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.Platform = platform.New(f.host(250) + ":8500")
	f.Balancer = balancer.New(f.host(251) + ":8080")
	if err := errors.Join(f.Platform.Start(f.ctx), f.Balancer.Start(f.ctx)); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	f.Platform.Publish([]byte(f.Options.Rules))
	for n := range f.Options.Instances {
		i, err := f.newInstance(n)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, i)
	}
	f.PublishList()
	for _, i := range f.Instances {
		if err := f.Launch(i); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := i.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// BalancerLag applies to later changes only: the balancer starts up to date.
	f.Balancer.SetInstances(f.CallerAddresses())
	return nil
}

func (f *Fleet) host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.Options.Subnet[0], f.Options.Subnet[1], n)
}

func (f *Fleet) dataCenter(n int) string {
	return fmt.Sprintf("dc-%d", n%max(1, f.Options.DataCenters)+1)
}

func (f *Fleet) startTargets() error {
	number := 0
	for service, count := range f.Options.Targets {
		for range count {
			number++
			t := target.New(fmt.Sprintf("%s:%d", f.host(252), 9000+number), f.Options.Behaviour, f.Options.Seed+uint64(number))
			if err := t.Start(f.ctx); err != nil {
				return err
			}
			f.Targets[service] = append(f.Targets[service], t)
		}
	}
	return nil
}

func (f *Fleet) newInstance(n int) (*Instance, error) {
	i := &Instance{
		Index:      n,
		Host:       f.host(n + 1),
		DataCenter: f.dataCenter(n),
	}
	i.Relay = NewRelay(i.address(relayPort), i.address(peerPort))
	if err := i.Relay.Start(f.ctx); err != nil {
		return nil, err
	}
	i.settingsPath = filepath.Join(f.Options.Folder, fmt.Sprintf("instance-%d.yaml", n+1))
	content := fmt.Sprintf(`instance: {name: instance-%d, data-center: %s}
listen: {callers: "%s", peers: "%s", operators: "%s", peers-advertised: "%s"}
platform: {address: "%s"}
%s
`, n+1, i.DataCenter, i.address(callerPort), i.address(peerPort), i.address(operatorPort), i.address(relayPort), f.Platform.Address, f.Options.Settings)
	return i, os.WriteFile(i.settingsPath, []byte(content), 0o600)
}

func (i *Instance) address(port int) string {
	return fmt.Sprintf("%s:%d", i.Host, port)
}

// CallerAddress returns the address that serves callers.
func (i *Instance) CallerAddress() string {
	return i.address(callerPort)
}

// OperatorAddress returns the address that serves operators.
func (i *Instance) OperatorAddress() string {
	return i.address(operatorPort)
}

// Process returns the instance's current process.
func (i *Instance) Process() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// Launch starts the instance's process, also after an earlier one has exited.
func (f *Fleet) Launch(i *Instance) error {
	p, err := StartProcess(fmt.Sprintf("instance-%d", i.Index+1), f.Options.Program, f.Options.Environment, "serve", "--settings", i.settingsPath)
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.process = p
	i.mu.Unlock()
	return nil
}

// WaitReady waits until the instance's /readyz returns 200. It returns an error
// with the process's output if this takes longer than limit.
func (i *Instance) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{
		Timeout: time.Second,
	}
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + i.OperatorAddress() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("instance %d is not ready:\n%s", i.Index+1, i.Process().Output())
}

// Status queries the instance's status.
func (i *Instance) Status() (*pb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := operator.NewClient(i.OperatorAddress()).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// SetLeaving sets whether the platform lists an instance as leaving, and
// publishes the list.
func (f *Fleet) SetLeaving(i *Instance, leaving bool) {
	f.mu.Lock()
	f.leaving[i.Host] = leaving
	f.mu.Unlock()
	f.PublishList()
}

// RemoveTarget removes a target from the platform's list.
func (f *Fleet) RemoveTarget(t *target.Target) {
	f.mu.Lock()
	f.removed[t.Address] = true
	f.mu.Unlock()
	f.PublishList()
}

// IsLeaving reports whether the platform lists an instance as leaving.
func (f *Fleet) IsLeaving(i *Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[i.Host]
}

// BalancerBackends returns the caller addresses that the balancer routes to.
func (f *Fleet) BalancerBackends() []string {
	return f.Balancer.Instances()
}

// PublishList publishes the instances and targets to the platform's list, and
// updates the balancer after Options.BalancerLag.
func (f *Fleet) PublishList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*pb.ListedInstance
	var live []string
	for _, i := range f.Instances {
		state := "live"
		if f.leaving[i.Host] {
			state = "leaving"
		} else {
			live = append(live, i.CallerAddress())
		}
		list = append(list, &pb.ListedInstance{
			Service:     "tarragonwell",
			Address:     i.CallerAddress(),
			PeerAddress: i.address(relayPort),
			DataCenter:  i.DataCenter,
			State:       state,
		})
	}
	n := 0
	for service, targets := range f.Targets {
		for _, t := range targets {
			n++
			if f.removed[t.Address] {
				continue
			}
			list = append(list, &pb.ListedInstance{
				Service:    service,
				Address:    t.Address,
				DataCenter: f.dataCenter(n),
				State:      "live",
			})
		}
	}
	f.Platform.SetInstances(list)
	time.AfterFunc(f.Options.BalancerLag, func() { f.Balancer.SetInstances(live) })
}

// SetBlocked blocks or unblocks the traffic of connections that from opens to to.
func (f *Fleet) SetBlocked(from, to *Instance, block bool) {
	to.Relay.SetBlocked(from.Host, block)
}

// CallerAddresses returns the caller addresses of all instances.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, i := range f.Instances {
		out = append(out, i.CallerAddress())
	}
	return out
}

// AllTargets returns the targets of all services.
func (f *Fleet) AllTargets() []*target.Target {
	var out []*target.Target
	for _, ts := range f.Targets {
		out = append(out, ts...)
	}
	return out
}

// Close kills the instances and stops the stand-ins.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		if p := i.Process(); p != nil {
			p.Kill()
		}
	}
	f.cancel()
}

// LogLines returns the instances' output lines that contain text.
func (f *Fleet) LogLines(text string) []string {
	var out []string
	for _, i := range f.Instances {
		for line := range strings.SplitSeq(i.Process().Output(), "\n") {
			if strings.Contains(line, text) {
				out = append(out, line)
			}
		}
	}
	return out
}
