package rig2

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program  = "target/tarragonwell"
	template = "deploy/settings.yaml.template"
)

// Bounds of a small site, as its settings state them.
const (
	Contact     = 3 * time.Second
	Drain       = 2 * time.Second
	ConfigApply = 2 * time.Second
	Grace       = 6 * time.Second
)

// Instance is one instance of the system, started as the deploy file says.
type Instance struct {
	Name      string
	Zone      string
	Front     string
	Readiness string
	Control   string
	// Store is the relay through which the instance reaches the store.
	Store *Relay

	operators string
	settings  string
	command   *exec.Cmd
	done      chan struct{}
}

// instanceIP returns the loopback address of the kth instance. It is one that outgoing
// connections do not use, so that a port that was free stays free.
func instanceIP(k int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, k+1)
}

// freeAddress returns an address of an IP address that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartInstances starts n instances with three zones and waits until they are ready.
func StartInstances(ctx context.Context, s *Store, folder string, n int) ([]*Instance, error) {
	return StartThinInstances(ctx, s, folder, n, 0)
}

// StartThinInstances is StartInstances with a bound on the link over which each instance gets the
// answers of the store; 0 for no bound.
func StartThinInstances(ctx context.Context, s *Store, folder string, n int, bytesPerSecond float64) ([]*Instance, error) {
	var list []*Instance
	var seeds []string
	for k := range n {
		i := &Instance{
			Name: fmt.Sprintf("front-%d", k+1),
			Zone: Zone(k),
		}
		for _, address := range []*string{&i.Front, &i.Readiness, &i.Control, &i.operators} {
			var err error
			if *address, err = freeAddress(instanceIP(k)); err != nil {
				return nil, err
			}
		}
		var err error
		if i.Store, err = StartRelay(ctx, s.Address); err != nil {
			return nil, err
		}
		if bytesPerSecond > 0 {
			i.Store.Link = &Link{
				BytesPerSecond: bytesPerSecond,
			}
		}
		seeds = append(seeds, i.Control)
		list = append(list, i)
	}
	for _, i := range list {
		if err := i.writeSettings(folder, seeds[:min(3, len(seeds))]); err != nil {
			return list, err
		}
		if err := i.Start(ctx); err != nil {
			return list, err
		}
	}
	for _, i := range list {
		if err := i.AwaitReady(15 * time.Second); err != nil {
			return list, err
		}
	}
	return list, nil
}

// Zone returns the zone of the kth machine.
func Zone(k int) string {
	return fmt.Sprintf("zone-%c", 'a'+k%3)
}

// writeSettings fills in the template of the deploy file.
func (i *Instance) writeSettings(folder string, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	quote := func(x any) string {
		content, _ := json.Marshal(x)
		return string(content)
	}
	filled := strings.NewReplacer(
		"{{nodeName|json}}", quote(i.Name),
		"{{zone|json}}", quote(i.Zone),
		"{{bind.front|json}}", quote(i.Front),
		"{{bind.readiness|json}}", quote(i.Readiness),
		"{{bind.control|json}}", quote(i.Control),
		"{{ip}}:{{portRange.0}}", i.operators,
		"{{platform.address|json}}", quote(i.Store.Address),
		"{{seedNodes|json}}", quote(seeds),
		"{{contractBounds.grace}}", "6s",
		"{{contractBounds.retryBudgetRatio}}", "0.2",
		"{{contractBounds.retrySlack}}", "60",
		"{{contractBounds.probesPerS}}", "60",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("the template has a placeholder that the rig does not know:\n%s", filled)
	}
	i.settings = filepath.Join(folder, i.Name+".yaml")
	return os.WriteFile(i.settings, []byte(filled), 0o600)
}

// Start starts the process.
func (i *Instance) Start(ctx context.Context) error {
	out, err := os.OpenFile(strings.TrimSuffix(i.settings, ".yaml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	i.command = exec.CommandContext(ctx, program, "serve", "--settings", i.settings,
		"--set", "limits.memory-megabytes=284", "--set", "limits.descriptors=4100",
		"--set", "budgets.warm-up-overshoot=", "--set", "budgets.warm-up-slack=")
	i.command.Stdout = out
	i.command.Stderr = out
	i.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(i.command, i.done)
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	_ = i.command.Process.Signal(s)
}

// Running reports whether the process runs.
func (i *Instance) Running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// End kills the process and waits for its end.
func (i *Instance) End() {
	if i.command == nil || i.done == nil {
		return
	}
	_ = i.command.Process.Kill()
	<-i.done
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	client := &http.Client{
		Timeout: time.Second,
	}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + i.Readiness + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.Name, limit)
}
