// Command 8 shows that an instance that stops cuts off an answer if its client has sent a further
// request meanwhile.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonwell/tarragonwell/review/rig2"
)

const (
	instances = 3
	// bodyBytes is the size of a download, and work how long a backend takes to begin it.
	bodyBytes = 540_000
	work      = 58 * time.Millisecond
	// rounds is the number of pairs of requests on a connection, one each interval; the instance
	// gets SIGTERM in the middle of them.
	connections = 20
	interval    = 500 * time.Millisecond
	rounds      = 8
	// behind is how long after the first request of a pair the second is sent.
	behind   = 40 * time.Millisecond
	deadline = 4 * time.Second
	// windowBytes is the receive buffer of a client.
	windowBytes = 96 << 10
)

func main() {
	rig2.Main("review/8", run)
}

func configuration() map[string]any {
	route := func(path, kind, timeout string) map[string]any {
		return map[string]any{
			"host":          rig2.Host,
			"pathPrefix":    path,
			"kind":          kind,
			"timeout":       timeout,
			"targetLatency": "600ms",
			"priority":      2,
			"service":       "backoffice",
			"maxAttempts":   2,
		}
	}
	return map[string]any{
		"version": "00000001",
		"routes": map[string]any{
			"r-export":  route("/export/", "download", "4000ms"),
			"r-archive": route("/archive/", "idempotent", "3000ms"),
		},
		"services": map[string]any{
			"backoffice": map[string]any{
				"healthPath": "/health",
				"maxConns":   820,
				"protocol":   "h1",
				"tls":        false,
			},
		},
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     64 << 20,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	}
}

// result is the outcome of the first request of a pair.
type result struct {
	id    string
	sent  time.Time
	ended time.Time
	// second is set if the second request was sent before the answer to the first had come.
	second bool
	status int
	// closes is set if the answer says that the connection closes after it.
	closes bool
	got    int
	whole  bool
	err    error
}

func run(ctx context.Context, c *rig2.Case) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, err := rig2.StartStore(ctx)
	if err != nil {
		return 0, err
	}
	var runs rig2.Runs
	for n := range 9 {
		if _, err := rig2.StartLargeBackend(ctx, store, &runs, fmt.Sprintf("i-%d", n), "backoffice", rig2.Zone(n), work, bodyBytes); err != nil {
			return 0, err
		}
	}
	store.PutJSON("op/config", configuration())
	fleet, err := rig2.StartInstances(ctx, store, c.Folder, instances)
	for _, i := range fleet {
		defer i.End()
	}
	if err != nil {
		return 0, err
	}
	c.Note("all instances are ready")
	time.Sleep(rig2.Contact)
	stopped := fleet[0]
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	for n := range connections {
		clients.Go(func() {
			// The clients are spread over an interval.
			time.Sleep(interval * time.Duration(n) / connections)
			list := callOn(stopped.Front, n)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, list...)
		})
	}
	time.Sleep(interval * rounds / 2)
	terminated := time.Now()
	if c.Trouble {
		stopped.Signal(syscall.SIGTERM)
		c.Note("%s gets SIGTERM", stopped.Name)
	}
	clients.Wait()
	return judge(c, terminated, results, runs.All()), nil
}

// callOn sends pairs of requests on one connection until the connection closes.
func callOn(address string, n int) []result {
	var list []result
	conn, err := dial(address)
	if err != nil {
		return list
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for round := range rounds {
		begin := time.Now()
		_ = conn.SetDeadline(begin.Add(deadline))
		r := pair(conn, reader, fmt.Sprintf("c%d-%d", n, round))
		list = append(list, r)
		if r.err != nil || r.closes {
			// What was sent behind it counts as not read.
			return list
		}
		if _, err := readAnswer(reader, &result{}); err != nil {
			return list
		}
		time.Sleep(time.Until(begin.Add(interval)))
	}
	return list
}

// dial connects with a small window, as on the platform's links.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			})
			return errors.Join(err, optionErr)
		},
	}
	return dialer.Dial("tcp", address)
}

// pair sends two requests, the second before the answer to the first, and reads that answer.
func pair(conn net.Conn, reader *bufio.Reader, id string) result {
	r := result{
		id:   id + "a",
		sent: time.Now(),
	}
	if r.err = send(conn, "/export/", r.id); r.err != nil {
		return r
	}
	time.Sleep(behind)
	r.second = send(conn, "/archive/", id+"b") == nil
	body, err := readAnswer(reader, &r)
	r.ended = time.Now()
	r.err = err
	r.got = len(body)
	r.whole = err == nil && body == rig2.Body(r.id, bodyBytes)
	return r
}

func send(conn net.Conn, path, id string) error {
	_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, id, rig2.Host, id, deadline.Milliseconds())
	return err
}

func readAnswer(reader *bufio.Reader, r *result) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	r.status, r.closes = response.StatusCode, response.Close
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// judge applies LOST: a process has read a whole request, which was passed on to a backend, and
// the connection ends without a complete answer.
func judge(c *rig2.Case, terminated time.Time, results []result, runs []rig2.Run) int {
	reached := map[string]bool{}
	for _, r := range runs {
		reached[r.ID] = !r.Refused
	}
	slices.SortFunc(results, func(a, b result) int { return a.sent.Compare(b.sent) })
	stopping, lost := 0, 0
	for _, r := range results {
		during := c.Trouble && r.ended.After(terminated) && r.ended.Before(terminated.Add(rig2.Grace+time.Second))
		timedOut := errors.Is(r.err, os.ErrDeadlineExceeded)
		broken := reached[r.id] && r.err != nil && !timedOut
		c.Note("%s sent at %.3f s, second sent %t, passed on %t: status %d, closes %t, %d of %d bytes after %d ms, whole %t, error %v",
			r.id, c.At(r.sent), r.second, reached[r.id], r.status, r.closes, r.got, bodyBytes, r.ended.Sub(r.sent).Milliseconds(), r.whole, r.err)
		if during {
			stopping++
		}
		if broken {
			lost++
		}
	}
	c.Note("LOST: of %d requests, %d ended during the stop; %d were passed on to a backend and their connection ended without a complete answer", len(results), stopping, lost)
	if lost > 0 {
		return rig2.Broken
	}
	return rig2.Held
}
