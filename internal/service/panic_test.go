package service

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// panickingDialect panics when a response is parsed, and in no other method.
type panickingDialect struct {
	tarragonwell.TargetDialect
}

func (panickingDialect) ParseResponseHeader(*tarragonwell.Call, int, map[string][]string) tarragonwell.ResponseInfo {
	panic("odd response")
}

func (panickingDialect) SetCallHeader(*tarragonwell.Call, *tarragonwell.ListedTarget, time.Duration, map[string][]string) {
}

// TestPanicInAttempt checks that an attempt that panics returns its slot, that the call
// counts as possibly run, and that the service goes on.
func TestPanicInAttempt(t *testing.T) {
	s := startScriptedTarget(t, respond)
	f := startServiceWith(t, func(o *Options) {
		o.Dialect = panickingDialect{}
	}, s.address)
	if got, want := f.call(http.MethodGet, false).Outcome, tarragonwell.OutcomeUnknown; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	status, err := f.Status(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := status.InFlight, 0; got != want {
		t.Errorf("slots in use: got %d, want %d", got, want)
	}
}

// TestPanicOfTask checks that a service whose task panics reports it, ends the tasks of
// its targets and rejects calls from then on.
func TestPanicOfTask(t *testing.T) {
	c := newCommon(t, common.SystemClock{})
	failures := make(chan error, 1)
	c.OnTaskFailure = func(err error) { failures <- err }
	s := New(Options{
		Common:      c,
		ServiceRule: newRule("s"),
		Targets: []tarragonwell.ListedTarget{
			{
				Address: "127.0.0.1:1",
			},
		},
	})
	var running sync.WaitGroup
	running.Go(func() {
		c.RunTask("service", func() { s.Run(context.Background()) })
	})
	// A request without a kind panics in the scheduler.
	_, rejection := s.acquire(context.Background(), scheduling.AcquireRequest{
		Deadline: time.Now().Add(time.Second),
	})
	if rejection == nil {
		t.Error("got a lease, want a rejection")
	}
	if err := <-failures; err == nil {
		t.Error("got no error, want the panic")
	}
	running.Wait()
}
