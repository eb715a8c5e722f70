// Command demo runs a small fleet on loopback: a platform, a balancer, targets
// and three instances, each a process of its own, with the example rules of
// both organisations. It sends traffic, edits the rules, stops one instance and
// prints what came of it.
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
	longBytes    = 200_000
	trafficTime  = 12 * time.Second
	editAfter    = 3 * time.Second
	stopAfter    = 5 * time.Second
	callers      = 20
	callerPause  = 15 * time.Millisecond
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
	folder, err := os.MkdirTemp("", "tarragonwell-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	d := &demo{
		folder: folder,
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
	return d.play(ctx)
}

// play sends traffic, edits the rules and stops an instance meanwhile.
func (d *demo) play(ctx context.Context) error {
	recorder := &history.Recorder{}
	traffic, cancel := context.WithTimeout(ctx, trafficTime)
	defer cancel()
	time.AfterFunc(editAfter, d.editRules)
	time.AfterFunc(stopAfter, d.stopInstance)
	fmt.Printf("sending traffic for %v; the rules are edited after %v, an instance stops after %v\n", trafficTime, editAfter, stopAfter)
	w := &history.Workload{
		RequestTypes: append(slices.Clone(history.TrustRequests), history.GlowboxRequests...),
		Addresses:    []string{balancerAddress},
		Callers:      callers,
		MeanPause:    callerPause,
		LongBytes:    longBytes,
		Seed:         1,
		Recorder:     recorder,
		Name:         "demo",
	}
	w.Run(traffic)
	runs, err := d.runs()
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

// editRules gives a kind another deadline, as an operator would.
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

// stopInstance is a planned stop of the last instance.
func (d *demo) stopInstance() {
	p := d.instances[len(d.instances)-1]
	fmt.Println("stopping", p.Name)
	p.Terminate()
	_ = d.publishList(len(d.instances) - 1)
}

func (d *demo) rulesFile() string {
	return filepath.Join(d.folder, "rules.yaml")
}

func (d *demo) close() {
	for _, p := range slices.Backward(d.processes) {
		p.Kill()
	}
}
