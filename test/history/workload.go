package history

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/pkg/client"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/test/standin/target"
)

const (
	callTimeout = 4 * time.Second
	// repeatShare is the share of operations that are sent again after they ended.
	repeatShare = 0.3
	// doubleShare is the share of operations that go through two instances at once.
	doubleShare = 0.2
	longTimeout = 20 * time.Second
)

// RequestType is one sort of request that the workload sends.
type RequestType struct {
	Kind   string
	Method string
	Path   string
	// Weight is the sort's part of all requests.
	Weight int
	// Ticketed operations are run by the Go client.
	Ticketed bool
	// SingleSend requests must not repeat and bring neither key nor ticket.
	SingleSend bool
	Long       bool
}

// TrustRequests are the requests of the Trust.
var TrustRequests = []RequestType{
	{
		Kind:   "load-lookup",
		Method: http.MethodGet,
		Path:   "/loads/%s",
		Weight: 8,
	},
	{
		Kind:   "stock-check",
		Method: http.MethodGet,
		Path:   "/stock/%s",
		Weight: 4,
	},
	{
		Kind:   "manual-download",
		Method: http.MethodGet,
		Path:   "/manuals/winch-%d",
		Weight: 1,
		Long:   true,
	},
	{
		Kind:     "booking",
		Method:   http.MethodPost,
		Path:     "/bookings/%s",
		Weight:   4,
		Ticketed: true,
	},
	{
		Kind:     "winch-release",
		Method:   http.MethodPost,
		Path:     "/releases/%s",
		Weight:   4,
		Ticketed: true,
	},
	{
		Kind:       "winch-release",
		Method:     http.MethodPost,
		Path:       "/releases/%s",
		Weight:     1,
		SingleSend: true,
	},
}

// GlowboxRequests are the requests of Glowbox.
var GlowboxRequests = []RequestType{
	{
		Kind:   "box-check",
		Method: http.MethodGet,
		Path:   "/boxes/%s",
		Weight: 8,
	},
	{
		Kind:   "store-read",
		Method: http.MethodGet,
		Path:   "/store/%s",
		Weight: 4,
	},
	{
		Kind:   "download",
		Method: http.MethodGet,
		Path:   "/catalogs/winter-%d",
		Weight: 1,
		Long:   true,
	},
	{
		Kind:     "renewal",
		Method:   http.MethodPost,
		Path:     "/renewals/%s",
		Weight:   4,
		Ticketed: true,
	},
	{
		Kind:     "pause",
		Method:   http.MethodPost,
		Path:     "/pauses/%s",
		Weight:   2,
		Ticketed: true,
	},
}

// Workload sends requests from many callers until its context ends.
type Workload struct {
	RequestTypes []RequestType
	// Addresses are the balancer's, or the instances'.
	Addresses []string
	Callers   int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	LongBytes int
	Seed      uint64
	Recorder  *Recorder
	// Name makes the operations of several workloads distinct.
	Name string
}

// caller is one of the workload's callers.
type caller struct {
	workload *Workload
	random   *rand.Rand
	http     *http.Client
	number   int
	sent     int
}

// Run sends requests until ctx ends and returns when the last has ended.
func (w *Workload) Run(ctx context.Context) {
	var all sync.WaitGroup
	for n := range w.Callers {
		all.Go(func() { w.runCaller(ctx, n) })
	}
	all.Wait()
}

func (w *Workload) runCaller(ctx context.Context, n int) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: (&net.Dialer{
			Timeout: time.Second,
		}).DialContext,
	}
	defer transport.CloseIdleConnections()
	c := &caller{
		workload: w,
		random:   rand.New(rand.NewPCG(w.Seed, uint64(n))),
		number:   n,
		http: &http.Client{
			Transport: transport,
		},
	}
	for ctx.Err() == nil {
		c.one()
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(w.MeanPause)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// one sends one request of a drawn sort.
func (c *caller) one() {
	c.sent++
	name := fmt.Sprintf("%s-%d-%d", c.workload.Name, c.number, c.sent)
	s := c.draw()
	switch {
	case s.Ticketed:
		c.ticketed(s, name)
	case s.Long:
		c.long(s, name)
	default:
		c.short(s, name)
	}
}

func (c *caller) draw() RequestType {
	total := 0
	for _, s := range c.workload.RequestTypes {
		total += s.Weight
	}
	n := c.random.IntN(total)
	for _, s := range c.workload.RequestTypes {
		if n < s.Weight {
			return s
		}
		n -= s.Weight
	}
	return c.workload.RequestTypes[0]
}

func (c *caller) address() string {
	return c.workload.Addresses[c.random.IntN(len(c.workload.Addresses))]
}

func headers(name string) http.Header {
	return http.Header{
		target.HeaderTestOperation: []string{name},
		target.HeaderTestRequest:   []string{name},
	}
}

// short sends a request once and checks that the answer is whole and its own.
func (c *caller) short(s RequestType, name string) {
	call := Call{
		Operation:  name,
		Kind:       s.Kind,
		Repeatable: !s.SingleSend,
		Instance:   c.address(),
		Begin:      time.Now(),
	}
	status, h, body, err := c.send(s.Method, call.Instance, fmt.Sprintf(s.Path, name), headers(name), callTimeout)
	call.End = time.Now()
	call.see(status, h, err)
	if call.Outcome == tarragonwell.OutcomeComplete && status == http.StatusOK && string(body) != target.ShortBody(name) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %.60q", body)
	}
	c.workload.Recorder.Add(call)
}

// long downloads a document and checks every byte.
func (c *caller) long(s RequestType, name string) {
	path := fmt.Sprintf(s.Path, c.random.IntN(20))
	call := Call{
		Operation:  name,
		Kind:       s.Kind,
		Repeatable: true,
		Instance:   c.address(),
		Begin:      time.Now(),
	}
	status, h, body, err := c.send(s.Method, call.Instance, path, headers(name), longTimeout)
	call.End = time.Now()
	call.see(status, h, err)
	want := target.LongBody(path, c.workload.LongBytes)
	if call.Outcome == tarragonwell.OutcomeComplete && status == http.StatusOK && !bytes.Equal(body, want) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %d bytes, want %d", len(body), len(want))
	}
	c.workload.Recorder.Add(call)
}

// see takes in what a request was told.
func (c *Call) see(status int, h http.Header, err error) {
	c.Status = status
	if err != nil {
		c.ConnectionFailed = true
		c.Outcome = tarragonwell.OutcomeUnknown
		c.Reason = err.Error()
		return
	}
	c.Outcome = outcomeOf(h)
	c.Reason = h.Get("Tarragonwell-Reason")
}

func outcomeOf(h http.Header) tarragonwell.Outcome {
	switch h.Get("Tarragonwell-Outcome") {
	case "complete":
		return tarragonwell.OutcomeComplete
	case "not-run":
		return tarragonwell.OutcomeNotRun
	default:
		return tarragonwell.OutcomeUnknown
	}
}

func (c *caller) send(method, address, path string, h http.Header, timeout time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	r.Header = h
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

// ticketed runs an operation, some through two instances at once, and sends
// some of them again after they ended.
func (c *caller) ticketed(s RequestType, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*callTimeout)
	defer cancel()
	taker := &client.Client{
		Addresses:  c.workload.Addresses,
		HTTPClient: c.http,
	}
	ticket, err := taker.RequestTicket(ctx)
	if err != nil {
		return
	}
	if c.random.Float64() < doubleShare {
		var other sync.WaitGroup
		other.Go(func() { c.run(ctx, s, name, ticket) })
		c.run(ctx, s, name, ticket)
		other.Wait()
	} else {
		c.run(ctx, s, name, ticket)
	}
	if c.random.Float64() < repeatShare {
		c.run(ctx, s, name, ticket)
	}
}

// run repeats an operation until its outcome is final.
func (c *caller) run(ctx context.Context, s RequestType, name, ticket string) {
	runner := &client.Client{
		Addresses:  c.workload.Addresses,
		HTTPClient: c.http,
	}
	call := Call{
		Operation: name,
		Kind:      s.Kind,
		Final:     true,
		Begin:     time.Now(),
	}
	a, err := runner.Run(ctx, &client.Operation{
		Method:     s.Method,
		RequestURI: fmt.Sprintf(s.Path, name),
		Header:     headers(name),
		Ticket:     ticket,
	})
	call.End = time.Now()
	call.Status = a.Status
	call.Outcome = a.Outcome
	call.Reason = a.Reason
	if err != nil {
		call.ConnectionFailed = true
		call.Outcome = tarragonwell.OutcomeUnknown
		call.Reason = err.Error()
	}
	if call.Outcome == tarragonwell.OutcomeComplete && a.Status == http.StatusOK && string(a.Body) != target.ShortBody(name) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %.60q", a.Body)
	}
	c.workload.Recorder.Add(call)
}
