package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

const (
	platformAddress = "127.50.0.250:8500"
	balancerAddress = "127.50.0.251:8080"
	readyTimeout    = 10 * time.Second
	instanceCount   = 3
)

// services are the services of both organisations, with their number of targets.
var services = []struct {
	name  string
	count int
}{
	{
		name:  "booking-tracking",
		count: 4,
	},
	{
		name:  "stock-documents",
		count: 3,
	},
	{
		name:  "subscriber-accounts",
		count: 4,
	},
	{
		name:  "store-content",
		count: 3,
	},
}

// demo is a running fleet.
type demo struct {
	// dir is a temporary folder for programs, rules and settings.
	dir string
	// processes holds all processes in the order of their start.
	processes []*fleet.Process
	instances []*fleet.Process
	// targets holds the targets' addresses by service.
	targets map[string][]string
}

func (d *demo) start() error {
	fmt.Println("building")
	standin, err := fleet.Build(d.dir, "standin", "./test/standin")
	if err != nil {
		return err
	}
	program, err := fleet.Build(d.dir, "tarragonwell", ".")
	if err != nil {
		return err
	}
	if err := d.writeRules(); err != nil {
		return err
	}
	if err := d.startStandins(standin); err != nil {
		return err
	}
	return d.startInstances(program)
}

// writeRules concatenates the rules of both organisations. The fleet rule may
// occur only once, so that of the second file is omitted.
func (d *demo) writeRules() error {
	var joined strings.Builder
	for n, f := range []string{"examples/trust/rules.yaml", "examples/glowbox/rules.yaml"} {
		content, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("the demo has to run in the root folder of the repository: %w", err)
		}
		for line := range strings.Lines(string(content)) {
			if n > 0 && strings.HasPrefix(line, "- {fleet") {
				continue
			}
			joined.WriteString(line)
		}
	}
	return os.WriteFile(d.rulesFile(), []byte(joined.String()), 0o600)
}

// launch starts a process, which close kills.
func (d *demo) launch(name, program string, args ...string) (*fleet.Process, error) {
	p, err := fleet.StartProcess(name, program, nil, args...)
	if err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, nil
}

func (d *demo) startStandins(standin string) error {
	if _, err := d.launch("platform", standin, "platform", "--listen", platformAddress, "--rules", d.rulesFile()); err != nil {
		return err
	}
	d.targets = map[string][]string{}
	for n, s := range services {
		args := []string{"target", "--long-bytes", fmt.Sprint(longBytes)}
		for k := range s.count {
			a := fmt.Sprintf("127.50.0.252:%d", 9000+100*n+k)
			d.targets[s.name] = append(d.targets[s.name], a)
			args = append(args, "--listen", a)
		}
		if _, err := d.launch("targets of "+s.name, standin, args...); err != nil {
			return err
		}
	}
	if err := retryUntilReady(func() error { return d.publishList(-1) }); err != nil {
		return err
	}
	_, err := d.launch("balancer", standin, "balancer", "--listen", balancerAddress, "--platform", platformAddress)
	return err
}

// host returns the loopback address of the instance with index n.
func host(n int) string {
	return fmt.Sprintf("127.50.0.%d", n+1)
}

func (d *demo) startInstances(program string) error {
	for n := range instanceCount {
		file := filepath.Join(d.dir, fmt.Sprintf("instance-%d.yaml", n+1))
		content := fmt.Sprintf(`instance: {name: instance-%d, data-center: dc-%d}
listen: {callers: "%s:8080", peers: "%s:8081", operators: "%s:8082"}
platform: {address: "%s"}
shutdown: {balancer-wait: %v}
`, n+1, n+1, host(n), host(n), host(n), platformAddress, balancerWait)
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			return err
		}
		p, err := d.launch(fmt.Sprintf("instance-%d", n+1), program, "serve", "--settings", file)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, p)
	}
	for n := range d.instances {
		if err := retryUntilReady(func() error { return checkReady(host(n) + ":8082") }); err != nil {
			return fmt.Errorf("%s: %w\n%s", d.instances[n].Name, err, d.instances[n].Output())
		}
	}
	// The balancer's list of instances lags by one second.
	time.Sleep(time.Second)
	return nil
}

// checkReady returns an error unless the instance with the given operators'
// address is ready.
func checkReady(operatorsAddress string) error {
	response, err := http.Get("http://" + operatorsAddress + "/readyz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("not ready: %s", response.Status)
	}
	return nil
}

// retryUntilReady calls attempt until it succeeds. After readyTimeout it returns
// the last error.
func retryUntilReady(attempt func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// publishList publishes the list of instances and targets on the platform, with
// the instance of index leaving listed as leaving, or none if it is negative.
func (d *demo) publishList(leaving int) error {
	list := &pb.InstanceList{}
	for n := range instanceCount {
		state := "live"
		if n == leaving {
			state = "leaving"
		}
		list.Instances = append(list.Instances, &pb.ListedInstance{
			Service:     "tarragonwell",
			Address:     host(n) + ":8080",
			PeerAddress: host(n) + ":8081",
			DataCenter:  fmt.Sprintf("dc-%d", n+1),
			State:       state,
		})
	}
	for service, addresses := range d.targets {
		for k, a := range addresses {
			list.Instances = append(list.Instances, &pb.ListedInstance{
				Service:    service,
				Address:    a,
				DataCenter: fmt.Sprintf("dc-%d", k%instanceCount+1),
				State:      "live",
			})
		}
	}
	content, err := protojson.Marshal(list)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+platformAddress+"/standin/instances", "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// fetchRuns fetches the recorded runs of all targets.
func (d *demo) fetchRuns() ([]target.Run, error) {
	var all []target.Run
	for _, addresses := range d.targets {
		for _, a := range addresses {
			response, err := http.Get("http://" + a + "/standin/runs")
			if err != nil {
				return nil, err
			}
			var runs []target.Run
			err = json.NewDecoder(response.Body).Decode(&runs)
			_ = response.Body.Close()
			if err != nil {
				return nil, err
			}
			all = append(all, runs...)
		}
	}
	return all, nil
}
