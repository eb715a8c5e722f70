// Command 1 shows that a late second copy of a refusal is taken for the answer to the
// next attempt of the same call.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/review/rig"
)

const (
	// deployments run side by side, each with a store, a target and instances.
	deployments = 5
	instances   = 4
	// requestRate is the mean number of requests per second, which arrive at random. The
	// target can run 83 per second.
	requestRate = 70.0
	length      = 60 * time.Second
	// lateCopyShare is the share of the answers that the faulty target copies.
	lateCopyShare = 0.03
	// The target is faulty for faultTime, then sound for soundTime, by turns.
	faultTime = 5 * time.Second
	soundTime = time.Second
)

func main() {
	os.Exit(run())
}

// result is what a deployment counted.
type result struct {
	broken                    int
	answers, refusals, copies int
	statuses                  map[int]int
	err                       error
}

// run runs the case in several deployments side by side.
func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		return rig.NotRun(err)
	}
	results := make([]result, deployments)
	var wg sync.WaitGroup
	for n := range results {
		wg.Go(func() { results[n] = runDeployment(fmt.Sprintf("deployment-%d", n+1), record) })
	}
	wg.Wait()
	total := result{
		statuses: map[int]int{},
	}
	for _, x := range results {
		if x.err != nil {
			return rig.NotRun(x.err)
		}
		total.broken += x.broken
		total.answers += x.answers
		total.refusals += x.refusals
		total.copies += x.copies
		for status, n := range x.statuses {
			total.statuses[status] += n
		}
	}
	return record.Verdict(total.broken, fmt.Sprintf("statuses %v; targets: %d answers, %d refusals, %d late copies",
		total.statuses, total.answers, total.refusals, total.copies))
}

// runDeployment runs the case in one deployment.
func runDeployment(name string, record *rig.Record) result {
	r, err := rig.New(name, record)
	if err != nil {
		return result{
			err: err,
		}
	}
	defer r.Close()
	faulty := newTarget("i-1")
	faulty.LateCopyShare = lateCopyShare
	for service, t := range map[string]*rig.Target{
		"desk": faulty,
		"docs": newTarget("i-2"),
	} {
		if err := r.StartTarget(t); err != nil {
			return result{
				err: err,
			}
		}
		r.PutTarget(t.ID, service, t.Address, "ready", t.Slots)
	}
	route := func(name, prefix, service string) rig.Route {
		return rig.Route{
			Name:        name,
			Prefix:      prefix,
			Kind:        "non_idempotent",
			Service:     service,
			Timeout:     2 * time.Second,
			MaxAttempts: 2,
		}
	}
	r.PutConfiguration(7, 240, route("r-book", "/book/", "desk"), route("r-docs", "/docs/", "docs"))
	if err := r.AddInstances(instances); err != nil {
		return result{
			err: err,
		}
	}
	go alternate(r, faulty)
	statuses := sendAll(r)
	// Runs that follow a broken promise may begin late.
	time.Sleep(time.Second)
	return verdict(r, faulty, statuses)
}

func newTarget(id string) *rig.Target {
	return &rig.Target{
		ID:    id,
		Slots: 5,
		Queue: 1,
		Work:  60 * time.Millisecond,
	}
}

// alternate makes the target faulty and sound by turns.
func alternate(r *rig.Rig, t *rig.Target) {
	for r.Context().Err() == nil {
		t.SetFaulty(r.Trouble)
		time.Sleep(faultTime)
		t.SetFaulty(false)
		time.Sleep(soundTime)
	}
}

// sendAll sends the requests and returns their statuses by ID.
func sendAll(r *rig.Rig) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		id := fmt.Sprintf("a%06d", n)
		i := r.Instances[rand.N(len(r.Instances))]
		wg.Go(func() {
			status := send(i.Callers, id)
			r.Logf("client: %s to %s gets %d", id, i.Name, status)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / requestRate * float64(time.Second)))
	}
	wg.Wait()
	return statuses
}

// send sends a request on a new connection and returns the status, or 0 for none.
func send(address, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/book/"+id, strings.NewReader("load 7"))
	if err != nil {
		return 0
	}
	request.Host = rig.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// verdict checks the rules REFUSED and TWICE.
func verdict(r *rig.Rig, t *rig.Target, statuses map[string]int) result {
	out := result{
		statuses: map[int]int{},
	}
	for id, status := range statuses {
		out.statuses[status]++
		runs := t.Runs(id)
		if runs > 1 {
			out.broken++
			r.Logf("TWICE: %s ran %d times", id, runs)
		}
		promise := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if promise && runs > 0 {
			out.broken++
			r.Logf("REFUSED: %s was answered %d and ran", id, status)
		}
	}
	out.answers, out.refusals, out.copies = t.Counts()
	return out
}
