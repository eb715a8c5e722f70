// Package target sends calls and load probes to targets over HTTP. One task per target,
// that is, a goroutine that owns its state and receives messages through a mailbox, owns
// the transports and connections, sends the periodic probes, and closes idle connections
// when the target is removed.
package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/common"
	"github.com/tarragonwell/tarragonwell/internal/task"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	probeTimeout   = 500 * time.Millisecond
	minConnections = 2
	mailboxSize    = 16
	// maxSmallBodySize is the maximum size in bytes of a probe's response. It also
	// limits how much is read of the body of a refused call's response, so that the
	// connection can be reused.
	maxSmallBodySize = 4 << 10
)

// ErrProbe is wrapped by the errors of failed probes.
var ErrProbe = eris.New("load probe failed")

// Options configures a Client.
type Options struct {
	Common *common.Dependencies
	// Dialect defaults to Dialect{} if nil.
	Dialect tarragonwell.TargetDialect
	// Service is the target's service. It may be nil with the default dialect.
	Service *tarragonwell.Service
	Listed  tarragonwell.ListedTarget
	// Connections is this instance's share of the target's connections, which the client
	// may have open at the same time; at least minConnections in any case.
	Connections int
	// Report is called with the result of each probe. It must not block for long.
	Report func(ProbeReport)
	// ReportNotice is called with what the target states about itself in any response,
	// before the response is returned. It must not block for long.
	ReportNotice func(NoticeReport)
}

// NoticeReport is what a target stated about itself in a response.
type NoticeReport struct {
	// ID is the target's ID.
	ID string
	// Born is the target's ListedTarget.Born.
	Born   uint64
	Notice tarragonwell.TargetNotice
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

// Client sends calls and load probes to one target. Create it with New and start its
// task with Run.
type Client struct {
	options Options
	dialect tarragonwell.TargetDialect
	// repeatable is the transport for probes and repeatable calls.
	repeatable *http.Transport
	// nonRepeatable is the transport for calls that must not be repeated. It closes
	// idle connections early.
	nonRepeatable *http.Transport
	// ownConnection is the transport for calls with Call.OwnConnection. It uses each
	// connection for one call only.
	ownConnection *http.Transport
	limit         *connLimit
	mailbox       *task.Mailbox[any]
	// restriction is replaced as a whole, so that senders never block; nil for none.
	restriction atomic.Pointer[Restriction]
}

// probeIntervalMessage changes the interval between probes.
type probeIntervalMessage struct {
	probeInterval time.Duration
}

// probeMessage requests one probe outside the probe budget.
type probeMessage struct{}

// New returns a client whose task has not been started.
func New(o Options) *Client {
	if o.Dialect == nil {
		o.Dialect = Dialect{}
	}
	cl := &Client{
		options: o,
		dialect: o.Dialect,
		mailbox: task.NewMailbox[any](mailboxSize),
	}
	cl.limit = newConnLimit(o.Connections, cl.closeIdleConnections)
	cl.repeatable = newTransport(cl.limit, o.Connections, idleTimeout)
	cl.nonRepeatable = newTransport(cl.limit, o.Connections, nonRepeatableIdleTimeout)
	cl.ownConnection = newTransport(cl.limit, o.Connections, nonRepeatableIdleTimeout)
	cl.ownConnection.DisableKeepAlives = true
	return cl
}

// SetConnections changes the number of connections that the client may have open. Those
// that are in use beyond it are closed when their calls end.
func (cl *Client) SetConnections(n int) {
	cl.limit.set(n)
}

// SetProbeInterval sets the interval between periodic probes. The initial interval of 0
// disables them.
func (cl *Client) SetProbeInterval(probeInterval time.Duration) {
	cl.mailbox.Post(probeIntervalMessage{
		probeInterval: probeInterval,
	})
}

// RequestProbe requests one probe outside the probe budget, and drops the request if
// the mailbox is full. Only policies that implement tarragonwell.ProbingPolicy use it.
func (cl *Client) RequestProbe() {
	cl.mailbox.TryPost(probeMessage{})
}

// Run runs the task, which owns the transports, until ctx is done. It then closes idle
// connections; calls in flight are completed.
func (cl *Client) Run(ctx context.Context) {
	defer cl.mailbox.MarkStopped()
	defer cl.closeIdleConnections()
	interval := time.Duration(0)
	timer := time.NewTimer(firstProbeWait(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-cl.mailbox.Receive():
			switch m := message.(type) {
			case probeIntervalMessage:
				if m.probeInterval != interval {
					interval = m.probeInterval
					timer.Reset(firstProbeWait(interval))
				}
			case probeMessage:
				go cl.probe(ctx, false)
			}
		case <-timer.C:
			if interval > 0 {
				// The probe blocks the task, so that periodic probes do not overlap.
				cl.probe(ctx, false)
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
func (cl *Client) ProbeForPlacement(ctx context.Context) {
	cl.probe(ctx, true)
}

// probe sends a load probe and reports the result. It does nothing while the client is
// restricted.
func (cl *Client) probe(ctx context.Context, forPlacement bool) {
	if cl.restrictionError() != nil {
		return
	}
	start := cl.options.Common.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var response tarragonwell.ProbeResponse
	var err error
	if panicked := cl.options.Common.Isolate("probe", func() {
		response, err = cl.fetchLoad(ctx)
	}); panicked != nil {
		err = panicked
	}
	cl.options.Report(ProbeReport{
		ID:           cl.options.Listed.ID,
		Response:     response,
		Latency:      cl.options.Common.Clock.Now().Sub(start),
		ForPlacement: forPlacement,
		Err:          err,
	})
}

// fetchLoad sends a load probe. ctx must have a deadline.
func (cl *Client) fetchLoad(ctx context.Context) (tarragonwell.ProbeResponse, error) {
	var none tarragonwell.ProbeResponse
	url := "http://" + cl.options.Listed.Address + cl.dialect.ProbePath(cl.options.Service)
	// Without the deadline of the probe, its connection would have that of the call before.
	deadline, _ := ctx.Deadline()
	var writes writeTracker
	request, err := http.NewRequestWithContext(writes.withTrace(ctx, deadline, time.Time{}), http.MethodGet, url, nil)
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	// Retries by the transport would exceed the probe budget.
	setBodyWithoutRetry(request, nil)
	response, err := cl.repeatable.RoundTrip(request)
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxSmallBodySize))
	if err != nil {
		return none, eris.Wrap(ErrProbe, err.Error())
	}
	parsed, err := cl.dialect.ParseProbe(&cl.options.Listed, response.StatusCode, response.Header, body)
	if err == nil {
		cl.reportNotice(parsed.TargetNotice)
	}
	return parsed, err
}
