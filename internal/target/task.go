// Package target speaks HTTP to targets. One task per target owns its transport
// and connections, sends its probes and closes both when the target goes.
package target

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is below what targets usually allow, so that few connections
	// are closed under a call.
	idleTimeout      = 30 * time.Second
	probeTimeout     = 500 * time.Millisecond
	keepAlive        = 15 * time.Second
	maxHeaderBytes   = 64 << 10
	minConnections   = 2
	mailboxSize      = 16
	probePath        = "/load"
	maxProbeBodySize = 4 << 10
)

// ErrProbe is the root of the errors of probes.
var ErrProbe = eris.New("the probe failed")

// Options configures a Target.
type Options struct {
	Common  *common.Common
	Address string
	// Connections is the instance's own share.
	Connections int
	// Report takes in the answers to probes; it must not block for long.
	Report func(ProbeReport)
}

// ProbeReport is the answer to a probe.
type ProbeReport struct {
	Address string
	Load    tarragonwell.LoadReport
	Leaving bool
	Latency time.Duration
	// Err is set where the probe failed; it is an ErrProbe.
	Err error
}

// Target is the task of one target. Make it with New and run it.
type Target struct {
	options   Options
	transport *http.Transport
	mailbox   *task.Mailbox[any]
}

// configureMessage changes the interval between probes.
type configureMessage struct {
	probeInterval time.Duration
}

// probeMessage asks for one probe besides the budgeted ones.
type probeMessage struct{}

// New returns a target that isn't running yet.
func New(o Options) *Target {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlive,
	}
	return &Target{
		options: o,
		mailbox: task.NewMailbox[any](mailboxSize),
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &trackedConn{
					Conn: conn,
				}, nil
			},
			MaxConnsPerHost:        max(minConnections, o.Connections),
			MaxIdleConnsPerHost:    max(minConnections, o.Connections),
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Configure sets the interval between probes; 0, as at the start, is for none.
func (t *Target) Configure(probeInterval time.Duration) {
	t.mailbox.Post(configureMessage{
		probeInterval: probeInterval,
	})
}

// Probe asks for one probe besides the budgeted ones; only baselines do so.
func (t *Target) Probe() {
	t.mailbox.TryPost(probeMessage{})
}

// Run owns the transport until ctx ends. Calls in flight then go on to their
// end.
func (t *Target) Run(ctx context.Context) {
	defer t.mailbox.Stop()
	defer t.transport.CloseIdleConnections()
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
				go t.probe(ctx)
			}
		case <-timer.C:
			if interval > 0 {
				t.probe(ctx)
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

// probe asks the target for its load.
func (t *Target) probe(ctx context.Context) {
	begin := t.options.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, leaving, err := t.readLoad(ctx)
	t.options.Report(ProbeReport{
		Address: t.options.Address,
		Load:    load,
		Leaving: leaving,
		Latency: t.options.Common.Clock.Now().Sub(begin),
		Err:     err,
	})
}

// loadDocument is the answer of a target's load endpoint.
type loadDocument struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

func (t *Target) readLoad(ctx context.Context) (tarragonwell.LoadReport, bool, error) {
	var none tarragonwell.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.options.Address+probePath, nil)
	if err != nil {
		return none, false, eris.Wrap(ErrProbe, err.Error())
	}
	// The transport must not repeat a probe by itself: probes have a budget.
	setSingleBody(request, nil)
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return none, false, eris.Wrap(ErrProbe, err.Error())
	}
	defer response.Body.Close()
	var d loadDocument
	body := http.MaxBytesReader(nil, response.Body, maxProbeBodySize)
	if err := json.NewDecoder(body).Decode(&d); err != nil {
		return none, false, eris.Wrap(ErrProbe, err.Error())
	}
	return tarragonwell.LoadReport{
		Running: max(0, d.Running),
		Waiting: max(0, d.Waiting),
		Slots:   max(0, d.Slots),
	}, d.State == stateDraining, nil
}
