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
	clientSlack    = 500 * time.Millisecond
	clientPause    = 5 * time.Millisecond
	// leaveAfter is when clients that do not wait for their answer leave.
	leaveAfter = 2 * workTime
)

// request is one request of a client and what it was told.
type request struct {
	id        string
	path      string
	operation bool
	node      *node
	sent      time.Time
	ended     time.Time
	// status is 0 where the connection ended without an answer.
	status int
	// whole says that a success was sealed and complete.
	whole bool
	// abandoned says that the client left before the end.
	abandoned bool
}

// clients send requests until told to stop, on connections that they keep.
type clients struct {
	world *world

	mu       sync.Mutex
	requests []request
}

func (c *clients) run(ctx context.Context, seed uint64, count int) {
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() { c.client(ctx, seed, n) })
	}
	all.Wait()
}

// client uses an instance until the instance is gone, then another one.
func (c *clients) client(ctx context.Context, seed uint64, number int) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	at := c.world.nodes[random.IntN(len(c.world.nodes))]
	for n := 0; ctx.Err() == nil; n++ {
		r := c.send(ctx, transport, random, at, fmt.Sprintf("s%d-c%d-%d", seed, number, n))
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
		if r.status == 0 || r.status >= http.StatusInternalServerError {
			at = c.world.nodes[random.IntN(len(c.world.nodes))]
		}
		time.Sleep(clientPause)
	}
}

func (c *clients) send(ctx context.Context, transport *http.Transport, random *rand.Rand, at *node, id string) request {
	r := request{
		id:        id,
		path:      "/read/x",
		operation: random.IntN(3) == 0,
		node:      at,
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
	wait := clientDeadline + clientSlack
	if r.abandoned {
		wait = leaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+at.callers+r.path, body)
	if err != nil {
		panic(err)
	}
	// The transport must not send anything again by itself.
	message.GetBody = nil
	message.Host = host
	message.Header.Set("Attempt-Id", id)
	message.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	r.take(transport.RoundTrip(message))
	r.ended = time.Now()
	return r
}

// take notes what the client was told.
func (r *request) take(response *http.Response, err error) {
	if err != nil {
		return
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.status = 0
		return
	}
	own := prepared.Body(r.id, r.path)
	r.whole = bytes.Equal(body, own) && response.Header.Get("Response-Seal") == prepared.Seal(own)
}
