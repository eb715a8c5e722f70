package instance

import (
	"context"
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// recordingDispatcher records the path prefix of the route of each call.
type recordingDispatcher struct {
	routes []string
}

func (d *recordingDispatcher) Dispatch(_ context.Context, c *tarragonwell.Call) tarragonwell.Result {
	d.routes = append(d.routes, c.Route.PathPrefix)
	return tarragonwell.Result{
		Outcome: tarragonwell.OutcomeNotRun,
	}
}

// TestOperationMatchesLikeACall checks that an operation is routed by its decoded path
// and its host, like every other call.
func TestOperationMatchesLikeACall(t *testing.T) {
	l, err := common.NewLogger(io.Discard, "error", "test")
	if err != nil {
		t.Fatal(err)
	}
	c := &common.Dependencies{
		Settings: &settingsfile.Settings{},
		Log:      l,
		Metrics:  metrics.NewSet(),
	}
	service := &tarragonwell.Service{
		Name: "s",
	}
	kind := &tarragonwell.Kind{
		Name: "k",
	}
	set := &tarragonwell.RuleSet{
		Services: map[string]*tarragonwell.Service{
			"s": service,
		},
		Kinds: map[string]*tarragonwell.Kind{
			"k": kind,
		},
		Routes: []*tarragonwell.Route{
			{
				PathPrefix: "/bookings",
				Kind:       kind,
				Service:    service,
			},
			{
				Host:       "a.example",
				PathPrefix: "/releases/",
				Kind:       kind,
				Service:    service,
			},
		},
	}
	d := &recordingDispatcher{}
	rc := newReconciler(c)
	rc.snapshot.Store(&snapshot{
		routing: caller.NewRouting(set, map[string]tarragonwell.Dispatcher{
			"s": d,
		}, c.Metrics),
	})
	o := &operationDispatcher{
		common:     c,
		reconciler: rc,
	}
	for _, op := range []*tarragonwell.Operation{
		{
			Method:     "POST",
			RequestURI: "/book%69ngs/7?x=1",
		},
		{
			Method:     "POST",
			RequestURI: "/releases/7",
			Header: map[string][]string{
				"Host": {"a.example"},
			},
		},
	} {
		o.DispatchOperation(context.Background(), op)
	}
	if got, want := len(d.routes), 2; got != want || d.routes[0] != "/bookings" || d.routes[1] != "/releases/" {
		t.Errorf("got %v, want the routes of /bookings and /releases/", d.routes)
	}
}
