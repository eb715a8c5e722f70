// Command soak runs fleets of instances as separate processes against stand-ins of the
// prepared platform, injects faults from outside the processes, and checks the
// promises to callers and targets from the requests that both sides record.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/test/fleet"
)

// recoveryTime is the time after the last fault within which a fleet must recover.
const recoveryTime = 4 * time.Second

// options are the command-line flags.
type options struct {
	First     uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"10" help:"Number of seeds."`
	Parallel  int           `default:"3" help:"Seeds that run concurrently."`
	Instances int           `default:"6" help:"Instances per fleet."`
	Targets   int           `default:"9" help:"Targets per fleet."`
	Clients   int           `default:"12" help:"Clients per fleet."`
	Length    time.Duration `default:"10s" help:"Time during which faults are injected."`
	Logs      string        `help:"Folder for the logs of failed seeds." type:"path"`
}

// result is the result of one seed.
type result struct {
	seed     uint64
	requests int
	// served is the number of requests with an intact response.
	served int
	faults int
	// violations describes the violated promises.
	violations []string
	// err is set if the fleet could not be started.
	err error
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("soak"))
	if !run(o, os.Stdout) {
		os.Exit(1)
	}
}

// run runs all seeds and reports whether none of them failed.
func run(o options, out *os.File) bool {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(out, "soak:", err)
		return false
	}
	defer os.RemoveAll(folder)
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		fmt.Fprintln(out, "soak:", err)
		return false
	}
	seeds := make(chan uint64)
	results := make(chan result)
	var workers sync.WaitGroup
	for range o.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				results <- runSeed(o, program, folder, seed)
			}
		})
	}
	go func() {
		for n := range o.Seeds {
			seeds <- o.First + uint64(n)
		}
		close(seeds)
		workers.Wait()
		close(results)
	}()
	passed := true
	for r := range results {
		fmt.Fprintf(out, "seed %d: %d requests, %d served, %d faults, %d broken\n", r.seed, r.requests, r.served, r.faults, len(r.violations))
		if r.err != nil {
			fmt.Fprintln(out, "  ", r.err)
		}
		for _, v := range r.violations[:min(len(r.violations), 5)] {
			fmt.Fprintln(out, "  ", v)
		}
		passed = passed && r.err == nil && len(r.violations) == 0
	}
	return passed
}

// runSeed starts a fleet, injects faults under load for o.Length, and checks the
// requests recorded until half of recoveryTime after the fleet must have recovered.
func runSeed(o options, program, folder string, seed uint64) result {
	e, err := newEnvironment(program, folder, seed, o.Instances, o.Targets)
	if err != nil {
		return result{
			seed: seed,
			err:  err,
		}
	}
	defer e.close()
	in := &injector{
		environment: e,
		random:      rand.New(rand.NewPCG(seed, 99)),
	}
	c := &clients{
		environment: e,
	}
	sending, stopSending := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.run(sending, seed, o.Clients)
		close(done)
	}()
	injecting, stopInjecting := context.WithTimeout(context.Background(), o.Length)
	in.run(injecting)
	stopInjecting()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(recoveryTime / 2)
	stopSending()
	<-done
	out := result{
		seed:       seed,
		requests:   len(c.requests),
		faults:     len(in.injected),
		violations: check(e, in, c.requests, recovered),
	}
	for _, r := range c.requests {
		if r.intact {
			out.served++
		}
	}
	writeLogs(o, e, in, out)
	return out
}

// writeLogs writes the violations, the faults and the output of the instances of a
// failed seed to a file in o.Logs.
func writeLogs(o options, e *environment, in *injector, r result) {
	if o.Logs == "" || len(r.violations) == 0 {
		return
	}
	text := strings.Join(r.violations, "\n") + "\n\n" + strings.Join(in.injected, "\n") + "\n\n"
	for _, i := range e.instances {
		text += i.currentProcess().Output()
	}
	name := fmt.Sprintf("%s/seed-%d.log", o.Logs, r.seed)
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
}
