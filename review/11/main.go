// Command 11 plays a drill of the store between two changes of the configuration, and checks
// that the second change comes into force.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/tarragonwell/tarragonwell/review/standins3"
)

const (
	folder = "review/11"
	// copyAge is how old the copy is from which the store comes back, and awayFor how long
	// it is away: "some seconds" and "a moment" on the page.
	copyAge = 5 * time.Second
	awayFor = time.Second
	// watchFor is how long the last configuration is watched once it has to be in force.
	watchFor = 20 * time.Second
	// allowed is the number of requests under an older configuration that is no failure yet.
	allowed = 10
)

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

// configuration routes the orders to a service. The exports have a route from the last
// version on.
func configuration(orders string, timeout time.Duration, withExports bool) standins3.Configuration {
	c := standins3.Configuration{
		Routes: []standins3.Route{
			{
				Prefix:  "/reads/",
				Kind:    "idempotent",
				Service: "storefront",
			},
			{
				Prefix:  "/orders/",
				Kind:    "non_idempotent",
				Service: orders,
			},
		},
		Services: []string{"storefront", "backoffice"},
		Timeout:  timeout,
	}
	if withExports {
		c.Routes = append(c.Routes, standins3.Route{
			Prefix:  "/exports/",
			Kind:    "idempotent",
			Service: "backoffice",
		})
	}
	return c
}

func play(d *standins3.Deployment) (int, error) {
	err := d.Start(configuration("storefront", 1500*time.Millisecond, false), services, 2, 20*time.Millisecond)
	if err != nil {
		return standins3.ExitNotRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, l := range []standins3.Load{
		{
			Name:  "read",
			Path:  "/reads/1",
			Every: 50 * time.Millisecond,
		},
		{
			Name:  "order",
			Path:  "/orders/1",
			Body:  "one bouquet",
			Every: 50 * time.Millisecond,
		},
		{
			Name:  "export",
			Path:  "/exports/1",
			Every: 200 * time.Millisecond,
		},
	} {
		d.Run(ctx, l)
	}
	time.Sleep(6 * time.Second)
	// Three ordinary changes, a second apart: other timeouts.
	var latest standins3.Configuration
	for n := range 3 {
		latest = configuration("storefront", time.Duration(1600+100*n)*time.Millisecond, false)
		d.Publish(latest)
		time.Sleep(time.Second)
	}
	returned := d.Drill(copyAge, awayFor, latest)
	time.Sleep(2 * time.Second)
	confirmed := d.Publish(configuration("backoffice", 1800*time.Millisecond, true))
	d.Record.Note("from now on orders go to backoffice, and exports have a route")
	judged := confirmed.Add(standins3.ConfigApply + standins3.MaxStretch)
	if calm := returned.Add(standins3.Contact + standins3.MaxStretch); calm.After(judged) {
		judged = calm
	}
	time.Sleep(time.Until(judged.Add(watchFor)))
	cancel()
	d.Wait()
	return judge(d, judged), nil
}

// services are those of the deployment.
var services = []string{"storefront", "backoffice"}

// judge counts the requests sent after judged that were handled as only an older
// configuration allows.
func judge(d *standins3.Deployment, judged time.Time) int {
	runs := d.Record.Runs()
	orders, oldOrders, exports, oldExports := 0, 0, 0, 0
	for _, x := range d.Record.Requests() {
		if x.Sent.Before(judged) {
			continue
		}
		switch x.Path {
		case "/orders/1":
			orders++
			if len(runs[x.ID]) > 0 && runs[x.ID][0].Service == "storefront" {
				oldOrders++
			}
		case "/exports/1":
			exports++
			if x.Status == http.StatusNotFound {
				oldExports++
			}
		}
	}
	d.Record.Note("of %d orders sent once the last configuration had to be in force, %d were run by the old service", orders, oldOrders)
	d.Record.Note("of %d exports, %d were answered 404", exports, oldExports)
	if orders == 0 || exports == 0 {
		return standins3.ExitNotRun
	}
	if oldOrders+oldExports > allowed {
		d.Record.Note("CONFIG is broken")
		return standins3.ExitBroken
	}
	d.Record.Note("CONFIG held")
	return standins3.ExitHeld
}
