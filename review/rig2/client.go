package rig2

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Host is the host of all routes that clients use.
const Host = "shop.example"

// Sent is one request of a client with its result.
type Sent struct {
	ID       string
	Method   string
	Path     string
	Instance *Instance
	At       time.Time
	Took     time.Duration
	// Status is 0 if the connection ended without an answer.
	Status int
	Err    error
}

// Clients send requests and keep their results.
type Clients struct {
	next atomic.Uint64
	mu   sync.Mutex
	sent []Sent
	wg   sync.WaitGroup
}

// Load sends a request to an instance each interval until ctx ends, on kept connections.
// Requests that are on their way at the end of ctx are still finished.
func (c *Clients) Load(ctx context.Context, i *Instance, method, path, body string, interval, deadline time.Duration) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 20,
		},
		Timeout: deadline,
	}
	c.wg.Go(func() {
		var requests sync.WaitGroup
		defer client.CloseIdleConnections()
		defer requests.Wait()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				requests.Go(func() { c.send(client, i, method, path, body, deadline) })
			}
		}
	})
}

func (c *Clients) send(client *http.Client, i *Instance, method, path, body string, deadline time.Duration) {
	id := fmt.Sprintf("q-%d", c.next.Add(1))
	// The URL is that of an address of the rig.
	r, _ := http.NewRequest(method, "http://"+i.Front+path+id, strings.NewReader(body))
	r.Host = Host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	s := Sent{
		ID:       id,
		Method:   method,
		Path:     path,
		Instance: i,
		At:       time.Now(),
	}
	response, err := client.Do(r)
	if err == nil {
		s.Status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.Err = err
	s.Took = time.Since(s.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

// Wait waits until all requests have ended, and returns them by ID.
func (c *Clients) Wait() map[string]Sent {
	c.wg.Wait()
	out := map[string]Sent{}
	for _, s := range c.sent {
		out[s.ID] = s
	}
	return out
}
