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
	decisions "github.com/tarragonwell/tarragonwell/pkg/tarragonwell/rules"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// targets measures one decision, a grant with its release, by the number of
// targets of the service.
func targets(options) error {
	fmt.Println("TARGETS OF A SERVICE   ns a call (acquire and release)   bytes a target")
	kind := &tarragonwell.Kind{
		Name:      "k",
		Weight:    1,
		SlotShare: 1,
	}
	for _, n := range []int{10, 30, 100, 300} {
		var many []*scheduling.Scheduler
		size := heap(func() {
			for range copies {
				many = append(many, newScheduler(n))
			}
		}) / copies
		s := many[0]
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

// copies of a small structure are measured at a time.
const copies = 50

func newScheduler(n int) *scheduling.Scheduler {
	s := scheduling.New(scheduling.Options{
		ServiceRule: &tarragonwell.Service{
			Name:  "s",
			Slots: 5,
		},
		Chooser: policy.New(policy.Default, rand.New(rand.NewPCG(1, 1))),
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

// rules measures reading and matching, by the number of routes.
func rules(options) error {
	fmt.Println("ROUTES   file bytes   ms to check the file   ns a match   bytes held a route")
	for _, n := range []int{20, 200, 2000} {
		content := rulesOf(n)
		var set *tarragonwell.RuleSet
		var err error
		size := heap(func() { set, err = rulesfile.Parse("slopes", 1, content) })
		if err != nil {
			return err
		}
		parse := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				_, _ = rulesfile.Parse("slopes", 1, content)
			}
		})
		m := decisions.NewMatcher(set.Routes)
		match := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				m.Match("GET", "/path-7/a/b/c")
			}
		})
		fmt.Printf("%6d %12d %22.2f %12d %20d\n", n, len(content), float64(parse.NsPerOp())/1e6, match.NsPerOp(), size/n)
	}
	return nil
}

func rulesOf(n int) []byte {
	var b strings.Builder
	b.WriteString("- {service: {name: s, organisation: o, slots: 5, connections: 250}}  # slopes\n")
	b.WriteString("- {kind: {name: k, organisation: o, repeatable: true}}  # slopes\n")
	for k := range n {
		fmt.Fprintf(&b, "- {route: {method: GET, path: /path-%d, service: s, kind: k}}  # slopes\n", k)
	}
	return []byte(b.String())
}

// operationAnswer is the size of an operation's answer, in bytes.
const operationAnswer = 200

// operations measures the table of operations, by the operations remembered.
func operations(options) error {
	fmt.Println("OPERATIONS   bytes each (answer of 200 bytes)   ns to run one   ms to hand all over")
	for _, n := range []int{1_000, 10_000, 100_000} {
		now := time.Now()
		t := newTable(now)
		size := heap(func() { fill(t, now, n) })
		r := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				one(t, now)
			}
		})
		fmt.Printf("%10d %34d %15d %21.2f\n", n, size/n, r.NsPerOp(), handOverTime(now, n))
	}
	return nil
}

// handOverTime is the time to close a table of n operations, in milliseconds.
func handOverTime(now time.Time, n int) float64 {
	t := newTable(now)
	fill(t, now, n)
	begin := time.Now()
	t.Close(now)
	return float64(time.Since(begin).Microseconds()) / 1000
}

func newTable(now time.Time) *operation.Table {
	t := &operation.Table{
		MaxTickets: 10_000_000,
		MaxBytes:   1 << 30,
	}
	t.Open(now, tarragonwell.Incarnation{1}, []byte("key"))
	return t
}

func fill(t *operation.Table, now time.Time, n int) {
	for range n {
		one(t, now)
	}
}

func one(t *operation.Table, now time.Time) {
	tickets, err := t.Mint(now, 1, time.Minute)
	if err != nil {
		return
	}
	t.Begin(now, tickets[0], operation.Fingerprint("POST", "/x", nil))
	t.Finish(tickets[0], tarragonwell.StoredResult{
		Outcome: tarragonwell.OutcomeComplete,
		Status:  200,
		Body:    make([]byte, operationAnswer),
	})
}

// heap returns how many bytes build leaves on the heap.
func heap(build func()) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}
