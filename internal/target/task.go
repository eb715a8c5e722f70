// Package target sends calls and load probes to targets over HTTP. One task per target
// owns its transports and connections, sends its probes, and closes idle connections
// when the target is removed.
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

// ErrProbe is wrapped by the errors of failed probes.
var ErrProbe = eris.New("load probe failed")

// Options configures a Target.
type Options struct {
	Common *common.Dependencies
	// Dialect defaults to Dialect{} if nil.
	Dialect tarragonwell.TargetDialect
	// ServiceRule is the target's service. It may be nil with the default dialect.
	ServiceRule *tarragonwell.Service
	Listed      tarragonwell.ListedTarget
	// Connections is this instance's share of the target's connections. The transports
	// use at least minConnections each.
	Connections int
	// Report is called with the result of each probe. It must not block for long.
	Report func(ProbeReport)
}

// ProbeReport is the result of a probe.
type ProbeReport struct {
	// ID is the target's ID.
	ID       string
	Response tarragonwell.ProbeResponse
	Latency  time.Duration
	// ForPlacement is set if it was a placement probe.
	ForPlacement bool
	// Err is set if the probe failed. It wraps ErrProbe.
	Err error
}

// Client is the task of one target. It is created by New and started by Run.
type Client struct {
	options Options
	dialect tarragonwell.TargetDialect
	// transport sends probes and repeatable calls, singleSend calls that must not be
	// repeated.
	transport  *http.Transport
	singleSend *http.Transport
	mailbox    *task.Mailbox[any]
}

// configureMessage changes the interval between probes.
type configureMessage struct {
	probeInterval time.Duration
}

// probeMessage requests one probe outside the probe budget.
type probeMessage struct{}

// New returns a target whose task has not been started.
func New(o Options) *Client {
	if o.Dialect == nil {
		o.Dialect = Dialect{}
	}
	return &Client{
		options:    o,
		dialect:    o.Dialect,
		mailbox:    task.NewMailbox[any](mailboxSize),
		transport:  newTransport(o.Connections, idleTimeout),
		singleSend: newTransport(o.Connections, singleSendIdleTimeout),
	}
}

// SetProbeInterval sets the interval between probes. The initial interval of 0 disables them.
func (t *Client) SetProbeInterval(probeInterval time.Duration) {
	t.mailbox.Post(configureMessage{
		probeInterval: probeInterval,
	})
}

// RequestProbe requests one probe outside the probe budget, and drops the request if
// the mailbox is full. Only baseline policies use it.
func (t *Client) RequestProbe() {
	t.mailbox.TryPost(probeMessage{})
}

// Run runs the task, which owns the transports, until ctx is done. It then closes idle
// connections; calls in flight are completed.
func (t *Client) Run(ctx context.Context) {
	defer t.mailbox.MarkStopped()
	defer t.closeIdleConnections()
	interval := time.Duration(0)
	timer := time.NewTimer(firstProbeWait(interval))
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
					timer.Reset(firstProbeWait(interval))
				}
			case probeMessage:
				go t.probe(ctx, false)
			}
		case <-timer.C:
			if interval > 0 {
				t.probe(ctx, false)
			}
			timer.Reset(probeWait(interval))
		}
	}
}

// disabledProbeWait is the timer interval while probes are disabled.
const disabledProbeWait = time.Hour

// probeWait returns the time until the next probe.
func probeWait(interval time.Duration) time.Duration {
	if interval <= 0 {
		return disabledProbeWait
	}
	return interval
}

// firstProbeWait returns the time until the first probe: a random time between one and
// two intervals. It is at least a full interval, because an instance that this one
// replaces may already have sent the probe of the current interval.
func firstProbeWait(interval time.Duration) time.Duration {
	wait := probeWait(interval)
	return wait + rand.N(wait)
}

// ProbeForPlacement sends a placement probe: it queries the load of the target before a
// call is placed. It reports the result before it returns.
func (t *Client) ProbeForPlacement(ctx context.Context) {
	t.probe(ctx, true)
}

// probe sends a load probe and reports the result.
func (t *Client) probe(ctx context.Context, forPlacement bool) {
	start := t.options.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := t.fetchLoad(ctx)
	t.options.Report(ProbeReport{
		ID:           t.options.Listed.ID,
		Response:     response,
		Latency:      t.options.Common.Clock.Now().Sub(start),
		ForPlacement: forPlacement,
		Err:          err,
	})
}

func (t *Client) fetchLoad(ctx context.Context) (tarragonwell.ProbeResponse, error) {
	var none tarragonwell.ProbeResponse
	url := "http://" + t.options.Listed.Address + t.dialect.ProbePath(t.options.ServiceRule)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	// Retries by the transport would exceed the probe budget.
	setSingleSendBody(request, nil)
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
