package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/command"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/history"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

// kindSummary holds the figures of one kind.
type kindSummary struct {
	outcomes  map[tarragonwell.Outcome]int
	latencies []time.Duration
	// operations is the set of distinct operations.
	operations map[string]bool
	// runs counts the runs at all targets.
	runs int
}

// printTable prints the outcomes, the latencies and the runs per operation of
// each kind.
func printTable(calls []history.Call, runs []target.Run) {
	rows := map[string]*kindSummary{}
	kindOf := map[string]string{}
	for _, c := range calls {
		r := rows[c.Kind]
		if r == nil {
			r = &kindSummary{
				outcomes:   map[tarragonwell.Outcome]int{},
				operations: map[string]bool{},
			}
			rows[c.Kind] = r
		}
		r.outcomes[c.Outcome]++
		r.latencies = append(r.latencies, c.End.Sub(c.Begin))
		r.operations[c.Operation] = true
		kindOf[c.Operation] = c.Kind
	}
	for _, x := range runs {
		if r := rows[kindOf[x.Operation]]; r != nil {
			r.runs++
		}
	}
	var kinds []string
	for k := range rows {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nKIND\tSENT\tCOMPLETE\tNOT-RUN\tUNKNOWN\tP50\tP99\tRUNS PER OPERATION")
	for _, k := range kinds {
		r := rows[k]
		slices.Sort(r.latencies)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%.2f\n", k, len(r.latencies), r.outcomes[tarragonwell.OutcomeComplete],
			r.outcomes[tarragonwell.OutcomeNotRun], r.outcomes[tarragonwell.OutcomeUnknown],
			quantile(r.latencies, 0.5), quantile(r.latencies, 0.99), float64(r.runs)/float64(len(r.operations)))
	}
	_ = w.Flush()
}

// quantile returns the q-quantile of sorted durations, rounded to 10 µs.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}

func (d *demo) printAudit() {
	fmt.Println("\naudit trail of instance-1:")
	command.Run([]string{"audit", "--from", host(0) + ":8082"}, os.Stdout, os.Stderr)
}

func (d *demo) printHints() {
	fmt.Printf(`running until interrupted; try:
  curl -i http://%[1]s/loads/7
  curl -i -X POST -H 'Idempotency-Key: k1' http://%[1]s/releases/7    # responds with 428 and a ticket
  curl -i -X POST -H 'Tarragonwell-Ticket: TICKET' http://%[1]s/releases/7
  curl http://%[2]s/                                                    # the operators' page
  curl http://%[2]s/metrics
  bin/tarragonwell status --from %[2]s
  bin/tarragonwell audit --follow --from %[2]s
  bin/tarragonwell explain --from %[2]s POST /releases/7
  edit %[3]s and see the change in the trail
`, balancerAddress, host(0)+":8082", d.rulesFile())
}
