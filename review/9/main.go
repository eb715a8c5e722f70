// Command 9 shows that an instance that stops reads requests and closes their connections without
// an answer.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonwell/tarragonwell/review/rig2"
)

const (
	instances = 3
	// linkBytesPerSecond is 10 Mbit/s, the thinnest link of the site.
	linkBytesPerSecond = 10e6 / 8
	// downloads is the number of downloads that are under way at a time, each of exportBytes.
	downloads   = 6
	exportBytes = 400_000
	exportWork  = 58 * time.Millisecond
	// The downloads begin at downloadsAt after the SIGTERM, and orders are sent from firstOrder to
	// lastOrder after it.
	downloadsAt = 1900 * time.Millisecond
	orders      = 24
	firstOrder  = 2200 * time.Millisecond
	lastOrder   = 3000 * time.Millisecond
	orderWork   = 94 * time.Millisecond
	deadline    = 3 * time.Second
	exportTime  = 4 * time.Second
	// lossSlack and choked are bounds of the pages.
	lossSlack = 200 * time.Millisecond
	choked    = 500 * time.Millisecond
)

func main() {
	rig2.Main("review/9", run)
}

func configuration() map[string]any {
	route := func(path, kind, service, timeout string) map[string]any {
		return map[string]any{
			"host":          rig2.Host,
			"pathPrefix":    path,
			"kind":          kind,
			"timeout":       timeout,
			"targetLatency": "600ms",
			"priority":      1,
			"service":       service,
			"maxAttempts":   2,
		}
	}
	service := map[string]any{
		"healthPath": "/health",
		"maxConns":   820,
		"protocol":   "h1",
		"tls":        false,
	}
	return map[string]any{
		"version": "00000001",
		"routes": map[string]any{
			"r-order":  route("/order/", "non_idempotent", "storefront", "1500ms"),
			"r-export": route("/export/", "download", "backoffice", "4000ms"),
		},
		"services": map[string]any{
			"storefront": service,
			"backoffice": service,
		},
		"limits": map[string]any{
			"headerBytes":   16384,
			"bodyBytes":     64 << 20,
			"headerTimeout": "3000ms",
			"idleTimeout":   "15000ms",
		},
	}
}

// result is the outcome of a request.
type result struct {
	id   string
	sent time.Time
	// arrived is when the whole request had arrived at the machine.
	arrived time.Time
	ended   time.Time
	status  int
	err     error
}

func run(ctx context.Context, c *rig2.Case) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, err := rig2.StartStore(ctx)
	if err != nil {
		return 0, err
	}
	var runs rig2.Runs
	// All requests go to one machine, over whose link they and the answers of backends come.
	link := &rig2.Link{
		BytesPerSecond: linkBytesPerSecond,
	}
	for n := range 12 {
		service, work, size := "storefront", orderWork, 1500
		if n%2 == 1 {
			service, work, size = "backoffice", exportWork, exportBytes
		}
		b, err := rig2.StartLargeBackend(ctx, store, &runs, fmt.Sprintf("i-%02d", n), service, rig2.Zone(n/2), work, size)
		if err != nil {
			return 0, err
		}
		b.Link = link
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
	connections, err := open(fleet[0].Front, downloads+orders)
	if err != nil {
		return 0, err
	}
	time.Sleep(200 * time.Millisecond)
	terminated := time.Now()
	if c.Trouble {
		fleet[0].Signal(syscall.SIGTERM)
		c.Note("%s gets SIGTERM", fleet[0].Name)
	}
	exports, late := play(connections, link, terminated)
	return judge(c, terminated, link.Longest(), exports, late, runs.All()), nil
}

// open opens connections on which nothing is sent yet.
func open(address string, n int) ([]net.Conn, error) {
	var connections []net.Conn
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		connections = append(connections, conn)
	}
	return connections, nil
}

// play sends a request on each connection: downloads first, then orders.
func play(connections []net.Conn, link *rig2.Link, terminated time.Time) (exports, late []result) {
	results := make([]result, len(connections))
	var clients sync.WaitGroup
	for n, conn := range connections {
		clients.Go(func() {
			defer conn.Close()
			if n < downloads {
				time.Sleep(time.Until(terminated.Add(downloadsAt)))
				results[n] = call(conn, link, "GET", "/export/", fmt.Sprintf("export-%d", n), "", exportTime)
				return
			}
			k := time.Duration(n - downloads)
			time.Sleep(time.Until(terminated.Add(firstOrder + k*(lastOrder-firstOrder)/orders)))
			results[n] = call(conn, link, "POST", "/order/", fmt.Sprintf("order-%d", k), "an order", deadline)
		})
	}
	clients.Wait()
	return results[:downloads], results[downloads:]
}

// call sends a request over the link, in one piece, and reads the answer.
func call(conn net.Conn, link *rig2.Link, method, path, id, body string, deadline time.Duration) result {
	r := result{
		id:   id,
		sent: time.Now(),
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, rig2.Host, id, deadline.Milliseconds(), len(body), body)
	_ = conn.SetDeadline(r.sent.Add(deadline))
	link.Pass(len(request))
	r.arrived = time.Now()
	_, r.err = io.WriteString(conn, request)
	if r.err == nil {
		var response *http.Response
		response, r.err = http.ReadResponse(bufio.NewReader(conn), nil)
		if r.err == nil {
			r.status = response.StatusCode
			_, r.err = io.Copy(io.Discard, response.Body)
		}
	}
	r.ended = time.Now()
	return r
}

// judge applies LOST: a process has read a whole request, and the connection ends without an
// answer later than lossSlack after its last byte was sent. That the process has read it shows in
// how the connection ends: one that is closed with unread bytes is reset.
func judge(c *rig2.Case, terminated time.Time, longest time.Duration, exports, late []result, runs []rig2.Run) int {
	reached := map[string]bool{}
	for _, r := range runs {
		reached[r.ID] = true
	}
	lost := 0
	all := append(slices.Clone(exports), late...)
	for _, r := range all {
		read := errors.Is(r.err, io.ErrUnexpectedEOF) || errors.Is(r.err, io.EOF)
		broken := r.status == 0 && read && r.ended.Sub(r.sent) > lossSlack
		c.Note("%s sent %.3f s after the SIGTERM, arrived after %d ms, ended after %d ms: status %d, reached a backend %t, error %v, broken %t",
			r.id, r.sent.Sub(terminated).Seconds(), r.arrived.Sub(r.sent).Milliseconds(), r.ended.Sub(r.sent).Milliseconds(), r.status, reached[r.id], r.err, broken)
		if broken {
			lost++
		}
	}
	c.Note("the longest wait at the link was %d ms", longest.Milliseconds())
	c.Note("LOST: %d requests were read, and their connection was closed without an answer more than %v after they were sent", lost, lossSlack)
	if longest > choked {
		// The machine would count as slowed.
		return rig2.CannotRun
	}
	if lost > 0 {
		return rig2.Broken
	}
	return rig2.Held
}
