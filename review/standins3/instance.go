package standins3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program      = "target/tarragonwell"
	template     = "deploy/settings.yaml.template"
	readyTimeout = 20 * time.Second
)

// Instance is a process of the system under test, started as the deploy file says.
type Instance struct {
	Name      string
	Zone      string
	Callers   string
	Readiness string
	Peers     string
	operators string

	command *exec.Cmd
	exited  chan struct{}
}

// NewInstance returns an instance with free ports that is not started yet.
func NewInstance(name, zone string) (*Instance, error) {
	i := &Instance{
		Name: name,
		Zone: zone,
	}
	ip := loopbackAddress()
	for _, address := range []*string{&i.Callers, &i.Readiness, &i.Peers, &i.operators} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// The ports stay taken until all are drawn.
		defer l.Close()
		*address = l.Addr().String()
	}
	return i, nil
}

// lastInstance counts the instances of this process.
var lastInstance atomic.Int64

// loopbackAddress returns a loopback address of its own for each instance, so that no connection
// of another process takes a port that was found free.
func loopbackAddress() string {
	n := lastInstance.Add(1)
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+process/250%100, process%250, n)
}

// placeholder is one of the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)(\|json)?\}\}`)

// settings fills in the template with the figures of the site pannonvirag-gw-grown.
func (i *Instance) settings(store string, seeds []string) (string, error) {
	content, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	host, port, err := net.SplitHostPort(i.operators)
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"nodeName":                        i.Name,
		"zone":                            i.Zone,
		"bind.front":                      i.Callers,
		"bind.readiness":                  i.Readiness,
		"bind.control":                    i.Peers,
		"ip":                              host,
		"portRange.0":                     port,
		"platform.address":                store,
		"seedNodes":                       seeds,
		"contractBounds.grace":            "6s",
		"contractBounds.retryBudgetRatio": 0.2,
		"contractBounds.retrySlack":       156,
		"contractBounds.probesPerS":       42,
	}
	var missing []string
	out := placeholder.ReplaceAllStringFunc(string(content), func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		value, ok := values[match[1]]
		if !ok {
			missing = append(missing, match[1])
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no value for %s", strings.Join(missing, ", "))
	}
	return out, nil
}

// Start starts the process. Its output goes to a file in the folder.
func (i *Instance) Start(folder, store string, seeds []string) error {
	settings, err := i.settings(store, seeds)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, i.Name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, i.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	i.command = exec.Command(program, "serve", "--settings", path,
		"--set", "limits.memory-megabytes=284", "--set", "limits.descriptors=4100",
		"--set", "budgets.warm-up-overshoot=1.5", "--set", "budgets.warm-up-slack=8")
	i.command.Stdout = output
	i.command.Stderr = output
	// The kernel ends the process with this one.
	i.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		close(i.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	_ = i.command.Process.Signal(s)
}

// Exited returns a channel that is closed when the process has ended.
func (i *Instance) Exited() <-chan struct{} {
	return i.exited
}

// Kill ends the process and waits for its end.
func (i *Instance) Kill() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	_ = i.command.Process.Kill()
	<-i.exited
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady() error {
	client := &http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + i.Readiness + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.Name)
}
