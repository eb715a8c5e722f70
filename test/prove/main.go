// Command prove runs fleets under seeded faults and checks the promises against
// the recorded history. It prints the first violations, and tables of the checks
// and outcomes. It exits with 1 if a promise is broken or a run fails.
package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/fleet"
	"github.com/tarragonwell/tarragonwell/test/history"
)

type options struct {
	Seeds    int           `default:"10" help:"Number of seeds."`
	First    uint64        `default:"1" help:"First seed."`
	Duration time.Duration `default:"6s" help:"Time of the workload in each run."`
	Faults   int           `default:"12" help:"Faults in each run."`
	Only     []string      `help:"Draw only these faults."`
	Parallel int           `default:"2" help:"Runs at a time."`
	Callers  int           `default:"24" help:"Callers in each run."`
	Print    int           `default:"3" help:"Violations to print."`
}

// totals accumulates the results of all runs.
type totals struct {
	mu         sync.Mutex
	runs       int
	operations int
	// ticketed is the number of operations sent with a ticket, and unknown the
	// number of those that ended with an unknown outcome.
	ticketed            int
	unknown             int
	faults              int
	maxRulesConvergence time.Duration
	// violations counts violations by promise.
	violations map[string]int
	// coverage holds the extent of the checks by promise.
	coverage          map[string]*coverage
	violationsPrinted int
	// errors is the number of runs that failed.
	errors int
	// outcomes counts calls by kind and outcome.
	outcomes map[string]map[tarragonwell.Outcome]int
}

// coverage is the extent to which one promise was checked.
type coverage struct {
	runs       int
	operations int
	faults     int
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("prove"), kong.Description("Run seeded faults against the whole system and check its history."))
	folder, err := os.MkdirTemp("", "prove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer os.RemoveAll(folder)
	program, err := fleet.Build(folder, "tarragonwell", ".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	t := &totals{
		violations: map[string]int{},
		coverage:   map[string]*coverage{},
		outcomes:   map[string]map[tarragonwell.Outcome]int{},
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for n := range o.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				t.runSeed(o, program, seed, byte(n))
			}
		})
	}
	for n := range o.Seeds {
		seeds <- o.First + uint64(n)
	}
	close(seeds)
	workers.Wait()
	t.print()
	if len(t.violations) > 0 || t.errors > 0 {
		os.Exit(1)
	}
}

// runSeed executes the plan of one seed and adds its result.
func (t *totals) runSeed(o options, program string, seed uint64, worker byte) {
	folder, err := os.MkdirTemp("", "prove")
	if err != nil {
		t.addError(seed, err)
		return
	}
	defer os.RemoveAll(folder)
	var kinds []history.FaultKind
	for _, k := range o.Only {
		kinds = append(kinds, history.FaultKind(k))
	}
	plan := history.SeededPlan(program, folder, [2]byte{70 + worker, byte(seed)}, seed, kinds, o.Faults, o.Duration)
	plan.Callers = o.Callers
	r, err := history.Execute(plan)
	if err != nil {
		t.addError(seed, err)
		return
	}
	t.add(o, seed, plan, r)
}

func (t *totals) addError(seed uint64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errors++
	fmt.Printf("seed %d: %v\n", seed, err)
}

func (t *totals) add(o options, seed uint64, plan history.Plan, r *history.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.faults += len(plan.Faults)
	t.maxRulesConvergence = max(t.maxRulesConvergence, r.RulesConvergence)
	t.addCoverage(plan, r)
	for _, c := range r.Calls {
		t.operations++
		if c.Final {
			t.ticketed++
			if c.Outcome == tarragonwell.OutcomeUnknown {
				t.unknown++
			}
		}
		if t.outcomes[c.Kind] == nil {
			t.outcomes[c.Kind] = map[tarragonwell.Outcome]int{}
		}
		t.outcomes[c.Kind][c.Outcome]++
	}
	for _, v := range r.Violations {
		t.violations[v.Promise]++
		if t.violationsPrinted < o.Print {
			t.violationsPrinted++
			fmt.Printf("seed %d breaks %s: %s\n", seed, v.Promise, v.Detail)
			for _, f := range plan.Faults {
				fmt.Println("    fault", f)
			}
		}
	}
}

func (t *totals) addCoverage(plan history.Plan, r *history.Report) {
	for _, p := range history.Promises {
		c := t.coverage[p]
		if c == nil {
			c = &coverage{}
			t.coverage[p] = c
		}
		if plan.Checks(p) {
			c.runs++
			c.operations += len(r.Calls)
			c.faults += len(plan.Faults)
		}
	}
}

func (t *totals) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROMISE\tRUNS\tOPERATIONS\tFAULTS\tVIOLATIONS")
	for _, p := range history.Promises {
		c := t.coverage[p]
		if c == nil {
			c = &coverage{}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", p, c.runs, c.operations, c.faults, t.violations[p])
	}
	fmt.Fprintln(w, "\nKIND\tCOMPLETE\tNOT-RUN\tUNKNOWN")
	var kinds []string
	for k := range t.outcomes {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		c := t.outcomes[k]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", k, c[tarragonwell.OutcomeComplete], c[tarragonwell.OutcomeNotRun], c[tarragonwell.OutcomeUnknown])
	}
	_ = w.Flush()
	share := 0.0
	if t.ticketed > 0 {
		share = 100 * float64(t.unknown) / float64(t.ticketed)
	}
	fmt.Printf("\nticketed operations that ended unknown: %d of %d (%.2f%%)\n", t.unknown, t.ticketed, share)
	fmt.Printf("longest wait for the last rules after the faults: %v\n", t.maxRulesConvergence.Round(time.Millisecond))
	fmt.Printf("runs %d, operations %d, faults %d, runs that failed to start %d\n", t.runs, t.operations, t.faults, t.errors)
}
