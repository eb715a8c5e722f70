// Command soak runs whole fleets of the real program as separate processes on
// the prepared platform's protocol, injects faults from outside, and checks the
// promises from what callers and targets see.
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

// healTime is how long after the last fault the fleet has to be whole again.
const healTime = 4 * time.Second

// options are the command line's.
type options struct {
	First     uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"10" help:"Number of seeds."`
	Parallel  int           `default:"3" help:"Seeds that run at a time."`
	Instances int           `default:"6" help:"Instances of a fleet."`
	Targets   int           `default:"9" help:"Targets of a fleet."`
	Clients   int           `default:"12" help:"Clients of a fleet."`
	Length    time.Duration `default:"10s" help:"Time with faults."`
	Logs      string        `help:"Folder for the output of instances of seeds that fail." type:"path"`
}

// result is how one seed ended.
type result struct {
	seed     uint64
	requests int
	served   int
	faults   int
	broken   []string
	err      error
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("soak"))
	if !run(o, os.Stdout) {
		os.Exit(1)
	}
}

// run plays all seeds and reports whether every promise held.
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
				results <- play(o, program, folder, seed)
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
	good := true
	for r := range results {
		fmt.Fprintf(out, "seed %d: %d requests, %d served, %d faults, %d broken\n", r.seed, r.requests, r.served, r.faults, len(r.broken))
		if r.err != nil {
			fmt.Fprintln(out, "  ", r.err)
		}
		for _, b := range r.broken[:min(len(r.broken), 5)] {
			fmt.Fprintln(out, "  ", b)
		}
		good = good && r.err == nil && len(r.broken) == 0
	}
	return good
}

// play runs one seed.
func play(o options, program, folder string, seed uint64) result {
	w, err := newWorld(program, folder, seed, o.Instances, o.Targets)
	if err != nil {
		return result{
			seed: seed,
			err:  err,
		}
	}
	defer w.close()
	f := &faults{
		world:  w,
		random: rand.New(rand.NewPCG(seed, 99)),
	}
	c := &clients{
		world: w,
	}
	sending, stopSending := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.run(sending, seed, o.Clients)
		close(done)
	}()
	injecting, stopInjecting := context.WithTimeout(context.Background(), o.Length)
	f.run(injecting)
	stopInjecting()
	time.Sleep(healTime)
	healed := time.Now()
	time.Sleep(healTime / 2)
	stopSending()
	<-done
	out := result{
		seed:     seed,
		requests: len(c.requests),
		faults:   len(f.done),
		broken:   check(w, f, c.requests, healed),
	}
	for _, r := range c.requests {
		if r.whole {
			out.served++
		}
	}
	keepLogs(o, w, f, out)
	return out
}

// keepLogs writes what a seed that failed has left.
func keepLogs(o options, w *world, f *faults, r result) {
	if o.Logs == "" || len(r.broken) == 0 {
		return
	}
	text := strings.Join(r.broken, "\n") + "\n\n" + strings.Join(f.done, "\n") + "\n\n"
	for _, n := range w.nodes {
		text += n.current().Output()
	}
	name := fmt.Sprintf("%s/seed-%d.log", o.Logs, r.seed)
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
}
