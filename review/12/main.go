// Command 12 plays a drill of the store before a zone is evacuated, and checks that requests
// stop reaching the backends of the zone.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tarragonwell/tarragonwell/review/standins3"
)

const (
	folder = "review/12"
	// copyAge is how old the copy is from which the store comes back, and awayFor how long
	// it is away: "some seconds" and "a moment" on the page.
	copyAge = 5 * time.Second
	awayFor = time.Second
	// watchFor is how long the evacuated zone is watched once it has to be empty.
	watchFor = 20 * time.Second
)

// services are those of the deployment.
var services = []string{"storefront"}

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

func configuration(timeout time.Duration) standins3.Configuration {
	return standins3.Configuration{
		Routes: []standins3.Route{
			{
				Prefix:  "/reads/",
				Kind:    "idempotent",
				Service: "storefront",
			},
			{
				Prefix:  "/orders/",
				Kind:    "non_idempotent",
				Service: "storefront",
			},
		},
		Services: services,
		Timeout:  timeout,
	}
}

func play(d *standins3.Deployment) (int, error) {
	if err := d.Start(configuration(1500*time.Millisecond), services, 3, 20*time.Millisecond); err != nil {
		return standins3.ExitNotRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.Run(ctx, standins3.Load{
		Name:  "read",
		Path:  "/reads/1",
		Every: 50 * time.Millisecond,
	})
	d.Run(ctx, standins3.Load{
		Name:  "order",
		Path:  "/orders/1",
		Body:  "one bouquet",
		Every: 50 * time.Millisecond,
	})
	time.Sleep(6 * time.Second)
	// Three ordinary changes, a second apart: other timeouts.
	var latest standins3.Configuration
	for n := range 3 {
		latest = configuration(time.Duration(1600+100*n) * time.Millisecond)
		d.Publish(latest)
		time.Sleep(time.Second)
	}
	returned := d.Drill(copyAge, awayFor, latest)
	time.Sleep(2 * time.Second)
	zone := standins3.Zones[1]
	revision := d.Store.Put("op/evacuate/"+zone, map[string]any{})
	confirmed := time.Now()
	d.Record.Note("the store confirms the evacuation of %s at revision %d", zone, revision)
	judged := confirmed.Add(standins3.Evacuate + standins3.MaxStretch)
	if calm := returned.Add(standins3.Contact + standins3.MaxStretch); calm.After(judged) {
		judged = calm
	}
	time.Sleep(time.Until(judged.Add(watchFor)))
	cancel()
	d.Wait()
	return judge(d, zone, judged), nil
}

// judge counts the requests sent after judged that were run in the zone.
func judge(d *standins3.Deployment, zone string, judged time.Time) int {
	runs := d.Record.Runs()
	sent, inZone := 0, map[string]int{}
	for _, x := range d.Record.Requests() {
		if x.Sent.Before(judged) {
			continue
		}
		sent++
		for _, n := range runs[x.ID] {
			if n.Zone == zone {
				inZone[x.Instance]++
			}
		}
	}
	d.Record.Note("of %d requests sent once the evacuation had to be in force, backends in %s ran, by instance: %v", sent, zone, inZone)
	if sent == 0 {
		return standins3.ExitNotRun
	}
	if len(inZone) > 0 {
		d.Record.Note("EVAC is broken")
		return standins3.ExitBroken
	}
	d.Record.Note("EVAC held")
	return standins3.ExitHeld
}
