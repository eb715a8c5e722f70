// Package target speaks HTTP to targets. One task per target owns its transport
// and connections, sends its probes and closes both when the target goes.
package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	probeTimeout     = 500 * time.Millisecond
	minConnections   = 2
	mailboxSize      = 16
	maxProbeBodySize = 4 << 10
)

// ErrProbe is the root of the errors of probes.
var ErrProbe = eris.New("the probe failed")

// Options configures a Target.
type Options struct {
	Common *common.Dependencies
	// Dialect is nil for the system's own.
	Dialect tarragonwell.TargetDialect
	// ServiceRule is the target's; it may be nil for the system's own dialect.
	ServiceRule *tarragonwell.Service
	Listed      tarragonwell.ListedTarget
	// Connections is the instance's own share.
	Connections int
	// Report takes in the answers to probes; it must not block for long.
	Report func(ProbeReport)
}

// ProbeReport is the answer to a probe.
type ProbeReport struct {
	// ID names the target.
	ID       string
	Response tarragonwell.ProbeResponse
	Latency  time.Duration
	// ForPlacement says that the probe was made for a call that is to be placed.
	ForPlacement bool
	// Err is set where the probe failed; it is an ErrProbe.
	Err error
}

// Client is the task of one target. Make it with New and run it.
type Client struct {
	options Options
	dialect tarragonwell.TargetDialect
	// transport is for what may repeat, single for what must not.
	transport *http.Transport
	single    *http.Transport
	mailbox   *task.Mailbox[any]
}

// configureMessage changes the interval between probes.
type configureMessage struct {
	probeInterval time.Duration
}

// probeMessage asks for one probe besides the budgeted ones.
type probeMessage struct{}

// New returns a target that isn't running yet.
func New(o Options) *Client {
	if o.Dialect == nil {
		o.Dialect = Dialect{}
	}
	return &Client{
		options:   o,
		dialect:   o.Dialect,
		mailbox:   task.NewMailbox[any](mailboxSize),
		transport: newTransport(o.Connections, idleTimeout),
		single:    newTransport(o.Connections, singleIdleTimeout),
	}
}

// SetProbeInterval sets the interval between probes; 0, as at the start, is for none.
func (t *Client) SetProbeInterval(probeInterval time.Duration) {
	t.mailbox.Post(configureMessage{
		probeInterval: probeInterval,
	})
}

// RequestProbe asks for one probe besides the budgeted ones; only baselines do so.
func (t *Client) RequestProbe() {
	t.mailbox.TryPost(probeMessage{})
}

// Run owns the transport until ctx ends. Calls in flight then go on to their
// end.
func (t *Client) Run(ctx context.Context) {
	defer t.mailbox.MarkStopped()
	defer t.closeIdle()
	interval := time.Duration(0)
	timer := time.NewTimer(firstWait(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-t.mailbox.Receive():
			switch m := message.(type) {
			case configureMessage:
				if m.probeInterval != interval {
					interval = m.probeInterval
					timer.Reset(firstWait(interval))
				}
			case probeMessage:
				go t.probe(ctx, false)
			}
		case <-timer.C:
			if interval > 0 {
				t.probe(ctx, false)
			}
			timer.Reset(waitFor(interval))
		}
	}
}

const noProbes = time.Hour

// waitFor is the time to the next probe.
func waitFor(interval time.Duration) time.Duration {
	if interval <= 0 {
		return noProbes
	}
	return interval
}

// firstWait is a whole interval at least: an instance that was just replaced
// may have spent this interval's probe.
func firstWait(interval time.Duration) time.Duration {
	w := waitFor(interval)
	return w + rand.N(w)
}

// ProbeForPlacement asks the target for its load, for a call that is to be placed, and
// reports the answer before it returns.
func (t *Client) ProbeForPlacement(ctx context.Context) {
	t.probe(ctx, true)
}

// probe asks the target for its load.
func (t *Client) probe(ctx context.Context, asked bool) {
	begin := t.options.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := t.readLoad(ctx)
	t.options.Report(ProbeReport{
		ID:           t.options.Listed.ID,
		Response:     answer,
		Latency:      t.options.Common.Clock.Now().Sub(begin),
		ForPlacement: asked,
		Err:          err,
	})
}

func (t *Client) readLoad(ctx context.Context) (tarragonwell.ProbeResponse, error) {
	var none tarragonwell.ProbeResponse
	url := "http://" + t.options.Listed.Address + t.dialect.ProbePath(t.options.ServiceRule)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	// The transport must not repeat a probe by itself: probes have a budget.
	setSingleBody(request, nil)
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxProbeBodySize))
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	return t.dialect.ParseProbe(&t.options.Listed, response.StatusCode, response.Header, body)
}
