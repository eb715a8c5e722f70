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
	requestTimeout = 4 * time.Second
	// resendShare is the share of ticketed operations that are sent again after
	// they have ended.
	resendShare = 0.3
	// concurrentShare is the share of ticketed operations that two clients send at
	// the same time.
	concurrentShare = 0.2
	downloadTimeout = 20 * time.Second
)

// RequestType is a type of request that the workload sends.
type RequestType struct {
	// Kind is the kind of the rules file to which the route leads.
	Kind   string
	Method string
	// Path is a format for the operation's name, or for the document's number if
	// Long is set.
	Path string
	// Weight is the type's share of all requests, relative to the other weights.
	Weight int
	// Ticketed requests are operations sent with a ticket by the Go client.
	Ticketed bool
	// SingleSend requests must not be repeated and carry neither an idempotency
	// key nor a ticket.
	SingleSend bool
	// Long requests download a document.
	Long bool
}

// TrustRequests are the request types of the rules file examples/trust.
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

// GlowboxRequests are the request types of the rules file examples/glowbox.
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

// Workload sends requests from concurrent callers until its context is done.
type Workload struct {
	RequestTypes []RequestType
	// Addresses are those of the balancer or of the instances.
	Addresses []string
	// Callers is the number of concurrent callers.
	Callers int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	// LongBytes is the expected size of downloads.
	LongBytes int
	Seed      uint64
	Recorder  *Recorder
	// Name is the prefix of operation names. It has to be unique among workloads
	// that share targets.
	Name string
}

// caller is one of the workload's callers.
type caller struct {
	workload     *Workload
	random       *rand.Rand
	http         *http.Client
	number       int
	requestCount int
}

// Run sends requests until ctx is done and returns when the last one has ended.
func (w *Workload) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for n := range w.Callers {
		callers.Go(func() { w.runCaller(ctx, n) })
	}
	callers.Wait()
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
		c.sendNext()
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

// sendNext sends one request of a randomly picked type.
func (c *caller) sendNext() {
	c.requestCount++
	name := fmt.Sprintf("%s-%d-%d", c.workload.Name, c.number, c.requestCount)
	t := c.pickRequestType()
	switch {
	case t.Ticketed:
		c.sendTicketed(t, name)
	case t.Long:
		c.sendLong(t, name)
	default:
		c.sendShort(t, name)
	}
}

func (c *caller) pickRequestType() RequestType {
	total := 0
	for _, t := range c.workload.RequestTypes {
		total += t.Weight
	}
	n := c.random.IntN(total)
	for _, t := range c.workload.RequestTypes {
		if n < t.Weight {
			return t
		}
		n -= t.Weight
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

// sendShort sends a request once and checks that the body is the complete
// response to this request.
func (c *caller) sendShort(t RequestType, name string) {
	call := Call{
		Operation:  name,
		Kind:       t.Kind,
		Repeatable: !t.SingleSend,
		Instance:   c.address(),
		Begin:      time.Now(),
	}
	status, h, body, err := c.send(t.Method, call.Instance, fmt.Sprintf(t.Path, name), headers(name), requestTimeout)
	call.End = time.Now()
	call.recordResponse(status, h, err)
	if call.Outcome == tarragonwell.OutcomeComplete && status == http.StatusOK && string(body) != target.ShortBody(name) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %.60q", body)
	}
	c.workload.Recorder.Add(call)
}

// sendLong downloads a document and checks every byte.
func (c *caller) sendLong(t RequestType, name string) {
	path := fmt.Sprintf(t.Path, c.random.IntN(20))
	call := Call{
		Operation:  name,
		Kind:       t.Kind,
		Repeatable: true,
		Instance:   c.address(),
		Begin:      time.Now(),
	}
	status, h, body, err := c.send(t.Method, call.Instance, path, headers(name), downloadTimeout)
	call.End = time.Now()
	call.recordResponse(status, h, err)
	want := target.LongBody(path, c.workload.LongBytes)
	if call.Outcome == tarragonwell.OutcomeComplete && status == http.StatusOK && !bytes.Equal(body, want) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %d bytes, want %d", len(body), len(want))
	}
	c.workload.Recorder.Add(call)
}

// recordResponse sets the fields that follow from a response or error.
func (c *Call) recordResponse(status int, h http.Header, err error) {
	c.Status = status
	if err != nil {
		c.ConnectionFailed = true
		c.Outcome = tarragonwell.OutcomeUnknown
		c.Reason = err.Error()
		return
	}
	c.Outcome = parseOutcome(h)
	c.Reason = h.Get("Tarragonwell-Reason")
}

func parseOutcome(h http.Header) tarragonwell.Outcome {
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

// sendTicketed runs an operation with a ticket. A share of the operations is sent
// by two clients at the same time, and a share is sent again after the end.
func (c *caller) sendTicketed(t RequestType, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*requestTimeout)
	defer cancel()
	ticketClient := &client.Client{
		Addresses:  c.workload.Addresses,
		HTTPClient: c.http,
	}
	ticket, err := ticketClient.RequestTicket(ctx)
	if err != nil {
		return
	}
	if c.random.Float64() < concurrentShare {
		var second sync.WaitGroup
		second.Go(func() { c.runOperation(ctx, t, name, ticket) })
		c.runOperation(ctx, t, name, ticket)
		second.Wait()
	} else {
		c.runOperation(ctx, t, name, ticket)
	}
	if c.random.Float64() < resendShare {
		c.runOperation(ctx, t, name, ticket)
	}
}

// runOperation sends an operation with the Go client, which repeats it until the
// outcome is final.
func (c *caller) runOperation(ctx context.Context, t RequestType, name, ticket string) {
	operationClient := &client.Client{
		Addresses:  c.workload.Addresses,
		HTTPClient: c.http,
	}
	call := Call{
		Operation: name,
		Kind:      t.Kind,
		Final:     true,
		Begin:     time.Now(),
	}
	result, err := operationClient.Run(ctx, &client.Operation{
		Method:     t.Method,
		RequestURI: fmt.Sprintf(t.Path, name),
		Header:     headers(name),
		Ticket:     ticket,
	})
	call.End = time.Now()
	call.Status = result.Status
	call.Outcome = result.Outcome
	call.Reason = result.Reason
	if err != nil {
		call.ConnectionFailed = true
		call.Outcome = tarragonwell.OutcomeUnknown
		call.Reason = err.Error()
	}
	if call.Outcome == tarragonwell.OutcomeComplete && result.Status == http.StatusOK && string(result.Body) != target.ShortBody(name) {
		call.WrongBody = true
		call.Detail = fmt.Sprintf("got %.60q", result.Body)
	}
	c.workload.Recorder.Add(call)
}
