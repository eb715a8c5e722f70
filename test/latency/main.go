// Command latency measures the overhead that an instance adds to a call. It sends
// interleaved pairs of a direct call to a target and the same call through one
// instance, and then measures processor time and allocations per call under load.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/history"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

type options struct {
	Pairs   int    `default:"8000" help:"Pairs of calls."`
	Load    int    `default:"40000" help:"Calls for the processor time."`
	Callers int    `default:"16" help:"Callers at a time for the processor time."`
	Program string `type:"path" help:"Use this program instead of building one."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("latency"))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "tarragonwell-latency")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if o.Program == "" {
		if o.Program, err = fleet.Build(dir, "tarragonwell", "."); err != nil {
			return err
		}
	}
	plan := history.StandardPlan(o.Program, dir, [2]byte{95, 1}, 1)
	plan.Fleet.Instances = 1
	plan.Fleet.Behaviour = target.Behaviour{
		Slots: 100,
		Queue: 100,
	}
	f, err := fleet.Start(plan.Fleet)
	if err != nil {
		return err
	}
	defer f.Close()
	direct := "http://" + f.Targets["stock-documents"][0].Address + "/stock/1"
	through := "http://" + f.Instances[0].CallerAddress() + "/stock/1"
	if err := measurePairs(o, direct, through); err != nil {
		return err
	}
	return measureLoad(o, f.Instances[0], through)
}

// measurePairs calls both URLs alternately, so that noise on the machine affects
// both alike, and prints the quantiles of the latencies. It discards the first
// tenth of the pairs as warm-up.
func measurePairs(o options, direct, through string) error {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	var times [2][]time.Duration
	for n := range o.Pairs {
		for k, url := range []string{direct, through} {
			begin := time.Now()
			if err := get(client, url); err != nil {
				return err
			}
			if n > o.Pairs/10 {
				times[k] = append(times[k], time.Since(begin))
			}
		}
	}
	slices.Sort(times[0])
	slices.Sort(times[1])
	fmt.Printf("%-6s %10s %10s %10s\n", "", "direct", "through", "added")
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
		d, t := quantile(times[0], q), quantile(times[1], q)
		fmt.Printf("p%-5v %10v %10v %10v\n", q*100, d, t, t-d)
	}
	return nil
}

// get sends a GET request and reads the response. Any status but 200 is an error.
func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: unexpected status %s", url, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// quantile returns the q-quantile of sorted durations, rounded to 1 µs.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Microsecond)
}

// measureLoad measures the instance's processor time and allocations per call
// under concurrent load.
func measureLoad(o options, i *fleet.Instance, url string) error {
	before, err := fleet.ReadMetrics(i.OperatorAddress())
	if err != nil {
		return err
	}
	begin := time.Now()
	var callers sync.WaitGroup
	for range o.Callers {
		callers.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{},
			}
			for range o.Load / o.Callers {
				_ = get(client, url)
			}
		})
	}
	callers.Wait()
	took := time.Since(begin)
	after, err := fleet.ReadMetrics(i.OperatorAddress())
	if err != nil {
		return err
	}
	calls := float64(o.Load)
	cpu := (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]) / calls
	fmt.Printf("\nunder load: %.0f calls/s in total\n", calls/took.Seconds())
	fmt.Printf("processor time of the instance: %.1f us per call, %.0f calls/s per core\n", cpu*1e6, 1/cpu)
	fmt.Printf("allocations: %.0f per call, %.0f bytes per call\n",
		(after["go_memstats_mallocs_total"]-before["go_memstats_mallocs_total"])/calls,
		(after["go_memstats_alloc_bytes_total"]-before["go_memstats_alloc_bytes_total"])/calls)
	fmt.Printf("resident memory: %.1f MB\n", after["process_resident_memory_bytes"]/(1<<20))
	return nil
}
