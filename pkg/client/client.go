// Package client is for callers: it takes tickets and repeats requests that
// must not run twice safely.
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

	defaultAttempts  = 5
	defaultRetryWait = 50 * time.Millisecond
	maxRetryWait     = time.Second
)

// ErrNoTicket means that no instance gave a ticket; nothing was run.
var ErrNoTicket = eris.New("no ticket could be had")

// Client calls a fleet. It is safe for concurrent use.
type Client struct {
	// Addresses are of the balancer, or of instances; one is drawn for each
	// attempt. There is at least one.
	Addresses []string
	// HTTPClient is nil for the default client.
	HTTPClient *http.Client
	// MaxAttempts bounds the attempts of one operation; 0 means 5.
	MaxAttempts int
	// InitialBackoff is the first wait between two attempts; 0 means 50 ms.
	InitialBackoff time.Duration
}

// Operation is a request that must not run twice.
type Operation struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Ticket is set by Run before the first attempt. A caller that may itself
	// be restarted keeps it first, with Take, and passes it here.
	Ticket string
}

// Answer is what the caller was told.
type Answer struct {
	Outcome tarragonwell.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Reason  string
}

// RequestTicket returns a new ticket. It fails with ErrNoTicket.
func (c *Client) RequestTicket(ctx context.Context) (string, error) {
	var last error
	for n := range c.attempts() {
		if n > 0 && !c.pause(ctx, n) {
			break
		}
		ticket, err := c.take(ctx)
		if err == nil {
			return ticket, nil
		}
		last = err
	}
	return "", eris.Wrapf(ErrNoTicket, "%v", last)
}

func (c *Client) take(ctx context.Context) (string, error) {
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

// Run runs an operation and repeats it with the same ticket until its outcome
// is final. The outcome is unknown where no attempt told more. It fails with
// ErrNoTicket, or with the last transport error where no instance answered; in
// the latter case the operation may have run.
func (c *Client) Run(ctx context.Context, o *Operation) (Answer, error) {
	if o.Ticket == "" {
		ticket, err := c.RequestTicket(ctx)
		if err != nil {
			return Answer{}, err
		}
		o.Ticket = ticket
	}
	answer := Answer{
		Outcome: tarragonwell.OutcomeUnknown,
	}
	var last error
	for n := range c.attempts() {
		if n > 0 && !c.pause(ctx, n) {
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

// Attempt sends an operation once, with the ticket it has.
func (c *Client) Attempt(ctx context.Context, o *Operation) (Answer, error) {
	header := o.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerTicket, o.Ticket)
	status, h, body, err := c.send(ctx, o.Method, o.Path, header, o.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Outcome: outcomeOf(h.Get(headerOutcome)),
		Status:  status,
		Header:  h,
		Body:    body,
		Reason:  h.Get(headerReason),
	}, nil
}

// Outcome asks for the outcome of a ticket and changes nothing. It is
// unspecified while the ticket has not been used.
func (c *Client) Outcome(ctx context.Context, ticket string) (tarragonwell.Outcome, error) {
	return c.ask(ctx, http.MethodGet, ticket)
}

// Void sees to it that a ticket never runs, unless it has been run.
func (c *Client) Void(ctx context.Context, ticket string) (tarragonwell.Outcome, error) {
	return c.ask(ctx, http.MethodDelete, ticket)
}

func (c *Client) ask(ctx context.Context, method, ticket string) (tarragonwell.Outcome, error) {
	_, h, _, err := c.send(ctx, method, pathOperations+ticket, nil, nil)
	if err != nil {
		return tarragonwell.OutcomeUnknown, err
	}
	return outcomeOf(h.Get(headerOutcome)), nil
}

// send makes one HTTP request and reads the answer whole.
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

func (c *Client) attempts() int {
	if c.MaxAttempts <= 0 {
		return defaultAttempts
	}
	return c.MaxAttempts
}

// pause waits before a further attempt; it returns false when ctx has ended.
func (c *Client) pause(ctx context.Context, n int) bool {
	wait := c.InitialBackoff
	if wait <= 0 {
		wait = defaultRetryWait
	}
	wait = min(maxRetryWait, wait<<min(n-1, 10))
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func outcomeOf(text string) tarragonwell.Outcome {
	for _, o := range []tarragonwell.Outcome{tarragonwell.OutcomeComplete, tarragonwell.OutcomeNotRun, tarragonwell.OutcomeUnknown} {
		if o.String() == text {
			return o
		}
	}
	return tarragonwell.OutcomeUnspecified
}
