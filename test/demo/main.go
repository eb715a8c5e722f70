// Command demo runs a small fleet on loopback addresses: a platform, a balancer,
// targets and three instances, in separate processes, with the example rules of
// both organisations. It sends traffic, edits the rules and stops one instance
// meanwhile, and prints the outcomes per kind, the audit trail and the violations
// that the history shows.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/test/history"
)

type options struct {
	Stay bool `help:"Leave everything running until interrupted."`
}

const (
	longBytes       = 200_000
	trafficDuration = 12 * time.Second
	editDelay       = 3 * time.Second
	stopDelay       = 5 * time.Second
	callers         = 20
	// thinkTime is the mean pause of a caller between two calls.
	thinkTime    = 15 * time.Millisecond
	balancerWait = 2 * time.Second
)

func main() {
	var o options
	kong.Parse(&o, kong.Name("demo"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "tarragonwell-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := &demo{
		dir: dir,
	}
	defer d.close()
	if err := d.start(); err != nil {
		return err
	}
	if o.Stay {
		d.printHints()
		<-ctx.Done()
		return nil
	}
	return d.runScenario(ctx)
}

// runScenario sends traffic, during which it edits the rules and stops an
// instance, and checks the recorded history.
func (d *demo) runScenario(ctx context.Context) error {
	recorder := &history.Recorder{}
	traffic, cancel := context.WithTimeout(ctx, trafficDuration)
	defer cancel()
	time.AfterFunc(editDelay, d.editRules)
	time.AfterFunc(stopDelay, d.stopInstance)
	fmt.Printf("sending traffic for %v; the rules are edited after %v, an instance stops after %v\n", trafficDuration, editDelay, stopDelay)
	w := &history.Workload{
		RequestTypes: append(slices.Clone(history.TrustRequests), history.GlowboxRequests...),
		Addresses:    []string{balancerAddress},
		Callers:      callers,
		MeanPause:    thinkTime,
		LongBytes:    longBytes,
		Seed:         1,
		Recorder:     recorder,
		Name:         "demo",
	}
	w.Run(traffic)
	runs, err := d.fetchRuns()
	if err != nil {
		return err
	}
	calls := recorder.Calls()
	printTable(calls, runs)
	d.printAudit()
	violations := history.Check(calls, runs)
	fmt.Printf("\nviolations of the promises: %d\n", len(violations))
	for _, v := range violations {
		fmt.Println(v.Promise, v.Detail)
	}
	if len(violations) > 0 {
		return fmt.Errorf("the promises were broken")
	}
	return nil
}

// editRules changes the deadline of a kind, as an operator would.
func (d *demo) editRules() {
	content, err := os.ReadFile(d.rulesFile())
	if err != nil {
		return
	}
	edited := strings.Replace(string(content), "deadline: 800ms, weight: 4, hedge: true}}  # Wiremu Parata, drivers",
		"deadline: 700ms, weight: 4, hedge: true}}  # Wiremu Parata, drivers, after the ridge road call", 1)
	_ = os.WriteFile(d.rulesFile(), []byte(edited), 0o600)
	fmt.Println("edited the rules: load-lookup now has a deadline of 700ms")
}

// stopInstance stops the last instance gracefully and lists it as leaving.
func (d *demo) stopInstance() {
	p := d.instances[len(d.instances)-1]
	fmt.Println("stopping", p.Name)
	p.Terminate()
	_ = d.publishList(len(d.instances) - 1)
}

func (d *demo) rulesFile() string {
	return filepath.Join(d.dir, "rules.yaml")
}

// close kills the processes in the reverse order of their start.
func (d *demo) close() {
	for _, p := range slices.Backward(d.processes) {
		p.Kill()
	}
}
