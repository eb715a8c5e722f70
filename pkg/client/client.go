// Package client is a client for callers. It requests tickets, with which it can
// safely retry requests that must not run twice.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

const (
	headerOutcome = "Tarragonwell-Outcome"
	headerReason  = "Tarragonwell-Reason"
	headerTicket  = "Tarragonwell-Ticket"

	pathTickets    = "/tarragonwell/v1/tickets?count=1"
	pathOperations = "/tarragonwell/v1/operations/"

	defaultMaxAttempts    = 5
	defaultInitialBackoff = 50 * time.Millisecond
	maxBackoff            = time.Second
)

// ErrNoTicket means that no instance issued a ticket, so no operation was run.
var ErrNoTicket = eris.New("no instance issued a ticket")

// Client sends requests to a fleet of instances. It is safe for concurrent use.
type Client struct {
	// Addresses are the host:port addresses of instances, or of a load balancer in
	// front of them. There is at least one; each attempt uses a random one.
	Addresses []string
	// HTTPClient defaults to http.DefaultClient.
	HTTPClient *http.Client
	// MaxAttempts is the maximum number of attempts of one operation; 0 means 5.
	MaxAttempts int
	// InitialBackoff is the first wait between two attempts; 0 means 50 ms.
	InitialBackoff time.Duration
}

// Operation is a request that must not run twice.
type Operation struct {
	Method     string
	RequestURI string
	Header     http.Header
	Body       []byte
	// Ticket identifies the operation. If it is empty, Run requests one and sets
	// it. A caller that must be able to retry after its own restart calls
	// RequestTicket, stores the ticket and sets it here.
	Ticket string
}

// Response is the response to an operation, with its outcome.
type Response struct {
	Outcome tarragonwell.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Reason is the instance's explanation of the outcome; it may be empty.
	Reason string
}

// RequestTicket returns a new ticket. It fails with ErrNoTicket after the last
// attempt or when ctx ends.
func (c *Client) RequestTicket(ctx context.Context) (string, error) {
	var last error
	for n := range c.maxAttempts() {
		if n > 0 && !c.backOff(ctx, n) {
			break
		}
		ticket, err := c.requestTicketOnce(ctx)
		if err == nil {
			return ticket, nil
		}
		last = err
	}
	return "", eris.Wrapf(ErrNoTicket, "%v", last)
}

func (c *Client) requestTicketOnce(ctx context.Context) (string, error) {
	status, _, body, err := c.send(ctx, http.MethodPost, pathTickets, nil, nil)
	if err != nil {
		return "", err
	}
	var tickets struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.Unmarshal(body, &tickets); err != nil || status != http.StatusOK || len(tickets.Tickets) == 0 {
		return "", eris.Errorf("status %d", status)
	}
	return tickets.Tickets[0], nil
}

// Run sends an operation and retries it with the same ticket until its outcome is
// final. The outcome is unknown if no attempt returned a final one. Run fails with
// ErrNoTicket, or with the transport error of the last attempt; in the latter case
// the operation may have run.
func (c *Client) Run(ctx context.Context, o *Operation) (Response, error) {
	if o.Ticket == "" {
		ticket, err := c.RequestTicket(ctx)
		if err != nil {
			return Response{}, err
		}
		o.Ticket = ticket
	}
	answer := Response{
		Outcome: tarragonwell.OutcomeUnknown,
	}
	var last error
	for n := range c.maxAttempts() {
		if n > 0 && !c.backOff(ctx, n) {
			break
		}
		a, err := c.Attempt(ctx, o)
		if err != nil {
			last = err
			continue
		}
		last = nil
		answer = a
		if a.Outcome != tarragonwell.OutcomeUnknown {
			break
		}
	}
	return answer, last
}

// Attempt sends an operation once, with o.Ticket.
func (c *Client) Attempt(ctx context.Context, o *Operation) (Response, error) {
	header := o.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerTicket, o.Ticket)
	status, h, body, err := c.send(ctx, o.Method, o.RequestURI, header, o.Body)
	if err != nil {
		return Response{}, err
	}
	return Response{
		Outcome: parseOutcome(h.Get(headerOutcome)),
		Status:  status,
		Header:  h,
		Body:    body,
		Reason:  h.Get(headerReason),
	}, nil
}

// Outcome returns the outcome of a ticket without changing it. The outcome is
// unspecified while the ticket has not been used.
func (c *Client) Outcome(ctx context.Context, ticket string) (tarragonwell.Outcome, error) {
	return c.operationOutcome(ctx, http.MethodGet, ticket)
}

// Void invalidates a ticket, so that its operation never runs, and returns the
// outcome. A ticket that has already been used is left as it is.
func (c *Client) Void(ctx context.Context, ticket string) (tarragonwell.Outcome, error) {
	return c.operationOutcome(ctx, http.MethodDelete, ticket)
}

func (c *Client) operationOutcome(ctx context.Context, method, ticket string) (tarragonwell.Outcome, error) {
	_, h, _, err := c.send(ctx, method, pathOperations+ticket, nil, nil)
	if err != nil {
		return tarragonwell.OutcomeUnknown, err
	}
	return parseOutcome(h.Get(headerOutcome)), nil
}

// send makes one HTTP request and reads the whole response.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	address := c.Addresses[rand.IntN(len(c.Addresses))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if header != nil {
		r.Header = header
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil, err
	}
	return response.StatusCode, response.Header, content, nil
}

func (c *Client) maxAttempts() int {
	if c.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return c.MaxAttempts
}

// backOff waits before the retry with number n. It returns false when ctx has
// ended.
func (c *Client) backOff(ctx context.Context, n int) bool {
	wait := c.InitialBackoff
	if wait <= 0 {
		wait = defaultInitialBackoff
	}
	wait = min(maxBackoff, wait<<min(n-1, 10))
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func parseOutcome(text string) tarragonwell.Outcome {
	for _, o := range []tarragonwell.Outcome{tarragonwell.OutcomeComplete, tarragonwell.OutcomeNotRun, tarragonwell.OutcomeUnknown} {
		if o.String() == text {
			return o
		}
	}
	return tarragonwell.OutcomeUnspecified
}
