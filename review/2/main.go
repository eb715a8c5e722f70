// Command 2 shows that the instances stay with an old configuration if the instance that
// reads the store loses power right after a change.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/review/rig"
)

const (
	// deployments run side by side, each with a store, targets and instances.
	deployments = 8
	instances   = 2
	length      = 75 * time.Second
	// powerLossWithin is the time after a change within which the reader loses power. The
	// delay is drawn from a shorter time, as timers are late; a change after which the
	// signal was sent too late doesn't count.
	powerLossWithin = 4 * time.Millisecond
	maxDelay        = 3500 * time.Microsecond
	// darkTime is how long the reader stays off, at most 3 s with what the restart takes.
	darkTime = 2900 * time.Millisecond
	// settleTime is the time from the reader's return to the next change. Together with
	// checkAfter it is longer than the contact of 3 s.
	settleTime = 2 * time.Second
	// configApply is the bound of the rule; requests are sent checkMargin later.
	configApply = 2 * time.Second
	checkMargin = 100 * time.Millisecond
	checkPeriod = 100 * time.Millisecond

	serviceA = "desk-a"
	serviceB = "desk-b"
)

func main() {
	os.Exit(run())
}

// result is what a deployment counted.
type result struct {
	changes int
	// broken is the number of changes after which the rule was broken.
	broken int
	err    error
}

// run runs the case in several deployments.
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
	changes, broken := 0, 0
	for _, x := range results {
		if x.err != nil {
			return rig.NotRun(x.err)
		}
		changes += x.changes
		broken += x.broken
	}
	return record.Verdict(broken, fmt.Sprintf("%d changes", changes))
}

// deployment is one deployment and the configuration that was published last.
type deployment struct {
	*rig.Rig
	targets map[string]*rig.Target
	version int
	// service is that of the route that each change moves.
	service string
}

func runDeployment(name string, record *rig.Record) result {
	r, err := rig.New(name, record)
	if err != nil {
		return result{
			err: err,
		}
	}
	defer r.Close()
	d := &deployment{
		Rig:     r,
		targets: map[string]*rig.Target{},
		version: 1,
		service: serviceA,
	}
	return d.run()
}

func (d *deployment) run() result {
	var out result
	for _, service := range []string{serviceA, serviceB} {
		t := &rig.Target{
			ID:    "i-" + service,
			Slots: 6,
			Queue: 12,
			Work:  20 * time.Millisecond,
		}
		if out.err = d.StartTarget(t); out.err != nil {
			return out
		}
		d.targets[service] = t
		d.PutTarget(t.ID, service, t.Address, "ready", t.Slots)
	}
	d.publish()
	if out.err = d.AddInstances(instances); out.err != nil {
		return out
	}
	time.Sleep(darkTime + settleTime)
	for begin := time.Now(); time.Since(begin) < length && out.err == nil; {
		var stale int
		stale, out.err = d.change()
		out.changes++
		if stale > 0 {
			out.broken++
		}
		time.Sleep(settleTime)
	}
	return out
}

// publish publishes the configuration: /read/ goes to the current service.
func (d *deployment) publish() {
	route := func(name, prefix, service string) rig.Route {
		return rig.Route{
			Name:        name,
			Prefix:      prefix,
			Kind:        "idempotent",
			Service:     service,
			Timeout:     2 * time.Second,
			MaxAttempts: 2,
		}
	}
	d.PutConfiguration(d.version, 240,
		route("r-read", "/read/", d.service),
		route("r-a", "/a/", serviceA),
		route("r-b", "/b/", serviceB))
}

// reader returns the instance that sent the store the latest request.
func (d *deployment) reader() *rig.Instance {
	reader := d.Instances[0]
	for _, i := range d.Instances {
		if i.Store.Requested().After(reader.Store.Requested()) {
			reader = i
		}
	}
	return reader
}

// change moves the route to the other service, cuts the power of the reader and checks
// the others. It returns the number of requests that the old service ran too late.
func (d *deployment) change() (stale int, err error) {
	reader := d.reader()
	old := d.service
	d.service = map[string]string{
		serviceA: serviceB,
		serviceB: serviceA,
	}[old]
	d.version += 2
	d.publish()
	confirmed := time.Now()
	killed := time.Duration(0)
	if d.Trouble {
		time.Sleep(time.Duration(rand.Float64() * float64(maxDelay)))
		killed = reader.Kill().Sub(confirmed)
		d.Logf("%s, which reads the store, loses power %v after the confirmation of version %d", reader.Name, killed, d.version)
	}
	time.Sleep(time.Until(confirmed.Add(configApply + checkMargin)))
	for n := 0; time.Since(confirmed) < darkTime; n++ {
		for _, i := range d.Instances {
			if i == reader {
				continue
			}
			id := fmt.Sprintf("v%d-%s-%d", d.version, i.Name, n)
			sent := time.Since(confirmed)
			status := send(i.Callers, id)
			d.Logf("client: %s to %s, sent %v after the confirmation of version %d, gets %d", id, i.Name, sent, d.version, status)
			if d.targets[old].Runs(id) > 0 {
				stale++
				d.Logf("CONFIG: %s was run by %s, the service before version %d", id, old, d.version)
			}
		}
		time.Sleep(min(checkPeriod, time.Until(confirmed.Add(darkTime))))
	}
	if !d.Trouble {
		return stale, nil
	}
	if killed > powerLossWithin {
		d.Logf("version %d doesn't count: the power was lost too late", d.version)
		stale = 0
	}
	if err := reader.Start(); err != nil {
		return stale, err
	}
	return stale, reader.AwaitReady()
}

// send sends a request on a new connection and returns the status, or 0 for none.
func send(address, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/read/"+id, nil)
	if err != nil {
		return 0
	}
	request.Host = rig.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
