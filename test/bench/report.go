package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// result is what one policy did in one scenario.
type result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Round    int           `json:"round"`
	Seconds  float64       `json:"seconds"`
	Kinds    []*kindResult `json:"kinds"`
	// ProbeBreaches counts the targets probed above their budget.
	ProbeBreaches int `json:"probe-breaches"`

	mu sync.Mutex
}

func newResult(b *bench) *result {
	return &result{
		Scenario: b.scenario.name,
		Policy:   b.policy,
		Seconds:  b.options.Duration.Seconds(),
	}
}

func (r *result) kind(k kind) *kindResult {
	for _, x := range r.Kinds {
		if x.Kind == k.name {
			return x
		}
	}
	x := &kindResult{
		Kind:      k.name,
		Long:      k.long,
		Outcomes:  map[string]int{},
		histogram: newHistogram(),
	}
	r.Kinds = append(r.Kinds, x)
	return x
}

// finish computes the figures out of the histograms.
func (r *result) finish() {
	slices.SortFunc(r.Kinds, func(a, b *kindResult) int { return cmp.Compare(a.Kind, b.Kind) })
	for _, k := range r.Kinds {
		k.Goodput = float64(k.Outcomes["complete"]) / r.Seconds
		k.P50 = millis(k.histogram.ValueAtQuantile(50))
		k.P99 = millis(k.histogram.ValueAtQuantile(99))
		k.P999 = millis(k.histogram.ValueAtQuantile(99.9))
		k.GoodputOverTime = nil
		k.P99OverTime = nil
		for _, h := range k.buckets {
			k.GoodputOverTime = append(k.GoodputOverTime, float64(h.TotalCount())/bucketTime.Seconds())
			k.P99OverTime = append(k.P99OverTime, millis(h.ValueAtQuantile(99)))
		}
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

// line sums a result up while the bench goes on.
func (r *result) line() string {
	r.finish()
	var parts []string
	for _, k := range r.Kinds {
		parts = append(parts, fmt.Sprintf("%s %.0f/s p99 %.1f", k.Kind, k.Goodput, k.P99))
	}
	return fmt.Sprintf("%-16s %-14s %s", r.Scenario, r.Policy, strings.Join(parts, ", "))
}

func printResults(results []*result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nSCENARIO\tKIND\tPOLICY\tSENT\tGOOD/S\tP50 MS\tP99 MS\tP99.9 MS\tNOT-RUN\tUNKNOWN\tERROR\tBROKEN")
	slices.SortStableFunc(results, func(a, b *result) int { return cmp.Compare(a.Scenario, b.Scenario) })
	for i := 0; i < len(results); {
		j := i
		for j < len(results) && results[j].Scenario == results[i].Scenario {
			j++
		}
		for n := range results[i].Kinds {
			for _, r := range results[i:j] {
				k := r.Kinds[n]
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\n", r.Scenario, k.Kind, r.Policy, k.Sent, k.Goodput,
					k.P50, k.P99, k.P999, k.Outcomes["not-run"], k.Outcomes["unknown"], k.Outcomes["error"], k.Outcomes["broken"])
			}
		}
		i = j
	}
	_ = w.Flush()
}

func writeResults(folder string, results []*result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "results.json"), content, 0o644); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.Scenario] {
			continue
		}
		seen[r.Scenario] = true
		if err := plotScenario(folder, r.Scenario, results); err != nil {
			return err
		}
	}
	return nil
}

// plotScenario draws the measures of short kinds over time, a line per policy.
func plotScenario(folder, scenario string, results []*result) error {
	good, p99 := plot.New(), plot.New()
	good.Title.Text = scenario + ": whole answers a second, short kinds"
	p99.Title.Text = scenario + ": p99 in ms, short kinds, worst kind"
	var goodLines, p99Lines []any
	for _, r := range results {
		if r.Scenario != scenario || r.Round > 0 {
			continue
		}
		var g, p plotter.XYs
		for n := range r.buckets() {
			x := float64(n) * bucketTime.Seconds()
			g = append(g, plotter.XY{
				X: x,
				Y: r.sum(n),
			})
			p = append(p, plotter.XY{
				X: x,
				Y: r.worst(n),
			})
		}
		if len(g) > 0 {
			goodLines = append(goodLines, r.Policy, g)
			p99Lines = append(p99Lines, r.Policy, p)
		}
	}
	for _, x := range []struct {
		plot  *plot.Plot
		lines []any
		name  string
	}{
		{
			plot:  good,
			lines: goodLines,
			name:  "goodput",
		},
		{
			plot:  p99,
			lines: p99Lines,
			name:  "p99",
		},
	} {
		x.plot.X.Label.Text = "s"
		x.plot.Legend.Top = true
		if err := plotutil.AddLines(x.plot, x.lines...); err != nil {
			return err
		}
		file := filepath.Join(folder, scenario+"-"+x.name+".png")
		if err := x.plot.Save(18*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
			return err
		}
	}
	return nil
}

func (r *result) buckets() int {
	n := int(time.Duration(r.Seconds*float64(time.Second)) / bucketTime)
	for _, k := range r.Kinds {
		if !k.Long {
			n = min(n, len(k.GoodputOverTime))
		}
	}
	return n
}

func (r *result) sum(n int) float64 {
	total := 0.0
	for _, k := range r.Kinds {
		if !k.Long {
			total += k.GoodputOverTime[n]
		}
	}
	return total
}

func (r *result) worst(n int) float64 {
	worst := 0.0
	for _, k := range r.Kinds {
		if !k.Long {
			worst = max(worst, k.P99OverTime[n])
		}
	}
	return worst
}
