// Command 13 lets clients that send several requests before the first is answered leave early,
// and checks that the work for them ends and that none begins.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/review/standins3"
)

const (
	folder = "review/13"
	path   = "/archive/1"
	// work is how long a backend works on a request. The objective of these requests is 1.5 s
	// and the clients' deadline 6 s, as for archive-reads of the site.
	work     = 1200 * time.Millisecond
	deadline = 6 * time.Second
	// leaveAfter is within half the objective.
	leaveAfter = 300 * time.Millisecond
	// pipelined is the number of requests that a client sends before the first is answered.
	pipelined = 4
	// clients is the number of clients of each instance; a fifth of them leave early.
	clients      = 10
	leavingShare = 5
	rounds       = 4
	// grace is the time after the close in which work may go on or arrive.
	grace = 500 * time.Millisecond
	// few is the number of late arrivals that breaks no rule: "more than a few" do.
	few = 5
)

// left is a client that has left: its requests and when it closed the connection.
type left struct {
	ids    []string
	closed time.Time
}

func main() {
	d := &standins3.Deployment{
		Record: standins3.NewRecord(),
	}
	status, err := play(d)
	if closeErr := d.Close(folder); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Println("not run:", err)
		status = standins3.ExitNotRun
	}
	os.Exit(status)
}

func play(d *standins3.Deployment) (int, error) {
	configuration := standins3.Configuration{
		Routes: []standins3.Route{
			{
				Prefix:  "/archive/",
				Kind:    "idempotent",
				Service: "backoffice",
			},
		},
		Services: []string{"backoffice"},
		Timeout:  3 * time.Second,
	}
	if err := d.Start(configuration, configuration.Services, 3, work); err != nil {
		return standins3.ExitNotRun, err
	}
	var (
		mu      sync.Mutex
		leavers []left
		wg      sync.WaitGroup
	)
	for round := range rounds {
		for _, i := range d.Instances {
			for n := range clients {
				wg.Go(func() {
					p := &standins3.Pipeline{
						Instance: i,
						Record:   d.Record,
						Deadline: deadline,
					}
					var ids []string
					for k := range pipelined {
						ids = append(ids, fmt.Sprintf("%s-%d-%d-%d", i.Name, round, n, k))
					}
					after := time.Duration(0)
					if n%leavingShare == 0 && standins3.Trouble() {
						after = leaveAfter
					}
					closed, err := p.Send(ids, path, after)
					if err != nil {
						d.Record.Note("client %s: %v", ids[0], err)
						return
					}
					if after > 0 {
						mu.Lock()
						defer mu.Unlock()
						leavers = append(leavers, left{
							ids:    ids,
							closed: closed,
						})
					}
				})
			}
		}
		wg.Wait()
		// The work for those that have left would be over by now.
		time.Sleep(time.Second)
	}
	return judge(d, leavers), nil
}

// judge looks at the work for the clients that have left.
func judge(d *standins3.Deployment, leavers []left) int {
	runs := d.Record.Runs()
	late, wouldLast, workedOn := 0, 0, 0
	for _, l := range leavers {
		for _, id := range l.ids {
			for _, r := range runs[id] {
				switch {
				case r.At.Sub(l.closed) > grace:
					late++
					d.Record.Note("%s reached %s %d ms after its client had closed the connection", id, r.Backend, r.At.Sub(l.closed).Milliseconds())
				case r.At.Add(work).Sub(l.closed) > grace:
					wouldLast++
					if r.Ended.IsZero() || r.Ended.Sub(l.closed) > grace {
						workedOn++
					}
				}
			}
		}
	}
	answered := 0
	for _, x := range d.Record.Requests() {
		if x.Intact {
			answered++
		}
	}
	d.Record.Note("%d clients left, %d answers were whole", len(leavers), answered)
	d.Record.Note("%d requests reached a backend later than %v after the close", late, grace)
	d.Record.Note("of %d requests that would have lasted so long, backends were still at work on %d", wouldLast, workedOn)
	if answered == 0 || standins3.Trouble() && wouldLast == 0 {
		return standins3.ExitNotRun
	}
	if late > few || 4*workedOn > wouldLast {
		d.Record.Note("GONE is broken")
		return standins3.ExitBroken
	}
	d.Record.Note("GONE held")
	return standins3.ExitHeld
}
