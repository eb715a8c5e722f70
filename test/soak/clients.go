package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	clientDeadline = 2 * time.Second
	// clientSlack is how long a client waits for the response after its deadline.
	clientSlack  = 500 * time.Millisecond
	requestPause = 5 * time.Millisecond
	// abandonAfter is the time after which a client disconnects from a request that
	// it abandons.
	abandonAfter = 2 * meanServiceTime
)

// request is one request of a client and its result.
type request struct {
	id        string
	path      string
	operation bool
	instance  *instance
	sent      time.Time
	ended     time.Time
	// status is 0 if the connection ended without a complete response.
	status int
	// intact reports whether the body is complete and its seal is valid.
	intact bool
	// leaver is the target that said in its response that it leaves, or "".
	leaver string
	// abandoned reports whether the client disconnects after abandonAfter.
	abandoned bool
}

// clients sends requests over persistent connections and records the results.
type clients struct {
	environment *environment

	mu       sync.Mutex
	requests []request
}

// run runs count clients until ctx is done.
func (c *clients) run(ctx context.Context, seed uint64, count int) {
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() { c.client(ctx, seed, n) })
	}
	wg.Wait()
}

// client sends requests to one instance, and picks another at random after a
// connection error or a status of 500 or more.
func (c *clients) client(ctx context.Context, seed uint64, number int) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	i := c.environment.instances[random.IntN(len(c.environment.instances))]
	for n := 0; ctx.Err() == nil; n++ {
		r := c.send(ctx, transport, random, i, fmt.Sprintf("s%d-c%d-%d", seed, number, n))
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
		if r.status == 0 || r.status >= http.StatusInternalServerError {
			i = c.environment.instances[random.IntN(len(c.environment.instances))]
		}
		time.Sleep(requestPause)
	}
}

// send sends one random request, an operation or a read, and returns its result.
func (c *clients) send(ctx context.Context, transport *http.Transport, random *rand.Rand, i *instance, id string) request {
	r := request{
		id:        id,
		path:      "/read/x",
		operation: random.IntN(3) == 0,
		instance:  i,
		sent:      time.Now(),
		abandoned: random.IntN(50) == 0,
	}
	if r.abandoned && !r.operation {
		r.path = "/read" + prepared.LongSuffix
	}
	method := http.MethodGet
	var body io.Reader
	if r.operation {
		method = http.MethodPost
		r.path = "/book/x"
		body = bytes.NewReader(bytes.Repeat([]byte("b"), 200))
	}
	timeout := clientDeadline + clientSlack
	if r.abandoned {
		timeout = abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+i.callersAddress+r.path, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody the transport can't retry a request that has a body.
	message.GetBody = nil
	message.Host = host
	message.Header.Set("Attempt-Id", id)
	message.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	r.record(transport.RoundTrip(message))
	r.ended = time.Now()
	return r
}

// record stores the status and the validity of the response.
func (r *request) record(response *http.Response, err error) {
	if err != nil {
		return
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	if response.Header.Get("Server-Leaving") != "" {
		r.leaver = response.Header.Get("Backend-Id")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.status = 0
		return
	}
	want := prepared.Body(r.id, r.path)
	r.intact = bytes.Equal(body, want) && response.Header.Get("Response-Seal") == prepared.Seal(want)
}
