package standins3

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Client sends requests to one instance over kept connections.
type Client struct {
	Instance *Instance
	Record   *Record
	// Deadline is how long the client waits for an answer.
	Deadline  time.Duration
	transport http.Transport
}

// Send sends one request and records how it ended. The method is GET without a body, and POST
// with one.
func (c *Client) Send(ctx context.Context, id, path, body string) Request {
	x := Request{
		ID:       id,
		Path:     path,
		Instance: c.Instance.Name,
		Sent:     time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	method, content := http.MethodGet, io.Reader(nil)
	if body != "" {
		method, content = http.MethodPost, strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Instance.Callers+path, content)
	if err != nil {
		panic(err)
	}
	// Without it the transport does not repeat a request with a body.
	r.GetBody = nil
	r.Host = Host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if response, err := c.transport.RoundTrip(r); err == nil {
		x.read(response)
	}
	x.Ended = time.Now()
	c.Record.Answered(x)
	return x
}

// read reads an answer.
func (x *Request) read(response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	x.Status = response.StatusCode
	want := Body(x.ID, x.Path)
	x.Intact = bytes.Equal(body, want) && response.Header.Get("Response-Seal") == Seal(want)
}
