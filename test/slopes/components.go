package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/operation"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// measureTargets measures the time to acquire and release a target and the memory per
// target, by the number of targets of the service.
func measureTargets(options) error {
	fmt.Println(" TARGETS PER SERVICE        ns/op (acquire and release)      bytes/target")
	kind := &tarragonwell.Kind{
		Name:      "k",
		Weight:    1,
		SlotShare: 1,
	}
	for _, n := range []int{10, 30, 100, 300} {
		var schedulers []*scheduling.Scheduler
		size := heapGrowth(func() {
			for range schedulerCopies {
				schedulers = append(schedulers, newScheduler(n))
			}
		}) / schedulerCopies
		s := schedulers[0]
		now := time.Now()
		r := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				d := s.Acquire(now, scheduling.AcquireRequest{
					Kind:     kind,
					Deadline: now.Add(time.Second),
				})
				s.Release(now, scheduling.Release{
					TargetID:     d.Grant.TargetID,
					JoinSequence: d.Grant.JoinSequence,
					Kind:         kind,
					Latency:      time.Millisecond,
				})
			}
		})
		fmt.Printf("%20d %34d %17d\n", n, r.NsPerOp(), size/n)
	}
	return nil
}

// schedulerCopies is the number of schedulers built per memory measurement, because the
// heap growth of a single one is too small to measure.
const schedulerCopies = 50

// newScheduler returns a scheduler with n targets.
func newScheduler(n int) *scheduling.Scheduler {
	s := scheduling.New(scheduling.Options{
		ServiceRule: &tarragonwell.Service{
			Name:  "s",
			Slots: 5,
		},
		Policy: policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
	})
	var list []tarragonwell.ListedTarget
	for k := range n {
		list = append(list, tarragonwell.ListedTarget{
			Address: fmt.Sprintf("10.0.%d.%d:8080", k/250, k%250),
		})
	}
	s.SetTargets(time.Now(), list)
	return s
}

// measureRules measures the time to parse a rules file and to match a request, and the
// memory per route, by the number of routes.
func measureRules(options) error {
	fmt.Println("ROUTES   file bytes   ms to parse the file     ns/match     heap bytes/route")
	for _, n := range []int{20, 200, 2000} {
		content := generateRules(n)
		var set *tarragonwell.RuleSet
		var err error
		size := heapGrowth(func() { set, err = rulesfile.Parse("slopes", 1, content) })
		if err != nil {
			return err
		}
		parse := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				_, _ = rulesfile.Parse("slopes", 1, content)
			}
		})
		m := rules.NewMatcher(set.Routes)
		match := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				m.Match("GET", "/path-7/a/b/c")
			}
		})
		fmt.Printf("%6d %12d %22.2f %12d %20d\n", n, len(content), float64(parse.NsPerOp())/1e6, match.NsPerOp(), size/n)
	}
	return nil
}

// generateRules returns a rules file with n routes.
func generateRules(n int) []byte {
	var b strings.Builder
	b.WriteString("- {service: {name: s, organisation: o, slots: 5, connections: 250}}  # slopes\n")
	b.WriteString("- {kind: {name: k, organisation: o, repeatable: true}}  # slopes\n")
	for k := range n {
		fmt.Fprintf(&b, "- {route: {method: GET, path: /path-%d, service: s, kind: k}}  # slopes\n", k)
	}
	return []byte(b.String())
}

// operationResponseBytes is the size of the stored response of an operation.
const operationResponseBytes = 200

// measureOperations measures the operation table, by the number of operations that it
// stores: the memory and time per operation, and the time to hand over all of them.
func measureOperations(options) error {
	fmt.Println("OPERATIONS       bytes/op (200-byte response)           ns/op   ms to hand over all")
	for _, n := range []int{1_000, 10_000, 100_000} {
		now := time.Now()
		t := newTable(now)
		size := heapGrowth(func() { runOperations(t, now, n) })
		r := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				runOperation(t, now)
			}
		})
		fmt.Printf("%10d %34d %15d %21.2f\n", n, size/n, r.NsPerOp(), handOverMillis(now, n))
	}
	return nil
}

// handOverMillis returns the time in milliseconds to close a table of n operations.
func handOverMillis(now time.Time, n int) float64 {
	t := newTable(now)
	runOperations(t, now, n)
	start := time.Now()
	t.Close(now)
	return float64(time.Since(start).Microseconds()) / 1000
}

// newTable returns an open operation table.
func newTable(now time.Time) *operation.Table {
	t := &operation.Table{
		MaxTickets: 10_000_000,
		MaxBytes:   1 << 30,
	}
	t.Open(now, tarragonwell.Incarnation{1}, []byte("key"))
	return t
}

// runOperations runs n operations to completion.
func runOperations(t *operation.Table, now time.Time, n int) {
	for range n {
		runOperation(t, now)
	}
}

// runOperation mints a ticket and runs its operation to completion.
func runOperation(t *operation.Table, now time.Time) {
	tickets, err := t.Mint(now, 1, time.Minute)
	if err != nil {
		return
	}
	t.Begin(now, tickets[0], operation.Fingerprint("POST", "/x", nil))
	t.Finish(tickets[0], tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeComplete,
		Status:  200,
		Body:    make([]byte, operationResponseBytes),
	})
}

// heapGrowth returns the number of bytes by which build increases the live heap.
func heapGrowth(build func()) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}
