package standins3

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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

// Pipeline is a client that sends several GET requests before the first is answered.
type Pipeline struct {
	Instance *Instance
	Record   *Record
	Deadline time.Duration
}

// Send sends requests with the given ids to a path on one new connection. If leaveAfter is
// not 0, the client closes the connection after that time; otherwise it reads all answers. It
// returns when the connection was closed.
func (p *Pipeline) Send(ids []string, path string, leaveAfter time.Duration) (closed time.Time, err error) {
	conn, err := net.Dial("tcp", p.Instance.Callers)
	if err != nil {
		return time.Time{}, err
	}
	defer conn.Close()
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, Host, id, p.Deadline.Milliseconds())
	}
	sent := time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return time.Time{}, err
	}
	if leaveAfter > 0 {
		time.Sleep(leaveAfter)
		_ = conn.Close()
		closed = time.Now()
	} else {
		_ = conn.SetReadDeadline(sent.Add(p.Deadline))
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		x := Request{
			ID:       id,
			Path:     path,
			Instance: p.Instance.Name,
			Sent:     sent,
		}
		if response, err := http.ReadResponse(reader, nil); leaveAfter == 0 && err == nil {
			x.read(response)
		}
		x.Ended = time.Now()
		p.Record.Answered(x)
	}
	return closed, nil
}
