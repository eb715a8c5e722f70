// Package abusive is a stand-in for callers that take up memory and descriptors: with heads
// of very many lines, heads without end, and connections that stay open.
package abusive

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attack is what the callers of a crowd send.
type Attack int

// Attacks.
const (
	// ManyLines sends whole heads of HeadBytes in very short lines and waits for responses.
	ManyLines Attack = iota
	// ManyLinesHeld sends the same without the end of the head and keeps the connection open.
	ManyLinesHeld
	// ManyLinesPipelined sends many such heads on one connection without reading responses.
	ManyLinesPipelined
	// EndlessHead sends header lines without end.
	EndlessHead
	// EndlessEmptyLines sends empty lines without end.
	EndlessEmptyLines
	// EmptyLinesAfterPost sends a request with a body and then empty lines without end.
	EmptyLinesAfterPost
	// EndlessTrailer sends a chunked body that is followed by trailer lines without end.
	EndlessTrailer
	// EndlessChunkExtension sends a chunk extension without end.
	EndlessChunkExtension
	// ExpectContinue announces a body, waits for the interim response and sends nothing.
	ExpectContinue
	// Silent opens a connection and sends nothing.
	Silent
	// SlowHead sends a head in single bytes.
	SlowHead
	// SuccessiveConnections sends whole heads of very short lines, each on a connection of
	// its own that is closed at once.
	SuccessiveConnections
	// HTTP2Streams sends requests with many fields on many streams of a few connections.
	HTTP2Streams
	// Attacks is the number of attacks.
	Attacks
)

var names = [Attacks]string{
	ManyLines:             "many lines",
	ManyLinesHeld:         "many lines without end of the head",
	ManyLinesPipelined:    "many lines in pipelined requests",
	EndlessHead:           "endless head",
	EndlessEmptyLines:     "endless empty lines",
	EmptyLinesAfterPost:   "endless empty lines after a POST",
	EndlessTrailer:        "endless trailer",
	EndlessChunkExtension: "endless chunk extension",
	ExpectContinue:        "expect continue",
	Silent:                "silent connections",
	SlowHead:              "slow head",
	SuccessiveConnections: "many lines on successive connections",
	HTTP2Streams:          "HTTP/2 streams",
}

// String returns the name of the attack.
func (a Attack) String() string {
	return names[a]
}

// HeadBytes is the size of the heads of many lines: the limit of the configuration of the
// prepared platform.
const HeadBytes = 16384

const (
	// slowInterval is the time between two bytes of a slow head.
	slowInterval = 200 * time.Millisecond
	// blockBytes and blockInterval bound the rate of what has no end.
	blockBytes    = 4 << 10
	blockInterval = time.Millisecond
	// retryInterval is the time before a caller whose connection was closed opens another.
	retryInterval = 20 * time.Millisecond
	// streams is the number of requests at a time on one HTTP/2 connection, and fields the
	// number of fields in each.
	streams = 100
	fields  = 400
)

// Crowd is a number of callers that carry out one attack.
type Crowd struct {
	// Address is that of the instance.
	Address string
	// Path is that of the requests.
	Path string
	// Header holds further lines of each request, each with its line end.
	Header string
	// Callers is the number of callers, each with one connection at a time.
	Callers int
	Attack  Attack
}

// Run runs the callers until ctx ends. A caller whose connection is closed opens another.
func (c *Crowd) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.call(ctx)
				sleep(ctx, retryInterval)
			}
		})
	}
	wg.Wait()
}

// call carries out the attack on one connection, until the connection is closed or ctx ends.
func (c *Crowd) call(ctx context.Context) {
	if c.Attack == HTTP2Streams {
		c.sendStreams(ctx)
		return
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if c.Attack == ManyLinesPipelined {
		// Nothing is read, so that responses fill the buffers of the connection.
		c.send(ctx, conn)
		return
	}
	go c.send(ctx, conn)
	_, _ = io.Copy(io.Discard, conn)
}

// send writes what the attack sends. Errors are those of a connection that was closed.
func (c *Crowd) send(ctx context.Context, conn net.Conn) {
	head := c.Head(HeadBytes)
	unended := strings.TrimSuffix(head, "\r\n")
	post := c.start("POST") + "Content-Length: 1\r\n\r\nx"
	chunked := c.start("POST") + "Transfer-Encoding: chunked\r\n\r\n"
	switch c.Attack {
	case ManyLines:
		_, _ = io.WriteString(conn, head)
	case ManyLinesHeld:
		_, _ = io.WriteString(conn, unended)
	case ManyLinesPipelined:
		repeat(ctx, conn, "", head)
	case EndlessHead:
		repeat(ctx, conn, c.start("GET"), "X-Field: value\r\n")
	case EndlessEmptyLines:
		repeat(ctx, conn, "", "\r\n")
	case EmptyLinesAfterPost:
		repeat(ctx, conn, post, "\r\n")
	case EndlessTrailer:
		repeat(ctx, conn, chunked+"1\r\nx\r\n0\r\n", "a:\r\n")
	case EndlessChunkExtension:
		repeat(ctx, conn, chunked+"1;", "x")
	case ExpectContinue:
		_, _ = io.WriteString(conn, c.start("POST")+"Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
	case SlowHead:
		for _, b := range []byte(head) {
			if _, err := conn.Write([]byte{b}); err != nil || ctx.Err() != nil {
				return
			}
			sleep(ctx, slowInterval)
		}
	case SuccessiveConnections:
		_, _ = io.WriteString(conn, head)
		_ = conn.Close()
	}
}

// start returns the first lines of a request.
func (c *Crowd) start(method string) string {
	return method + " " + c.Path + " HTTP/1.1\r\nHost: a\r\n" + c.Header
}

// Head returns the head of a request of the given size, with as many lines of distinct names
// as fit.
func (c *Crowd) Head(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	var b strings.Builder
	b.WriteString(c.start("GET"))
	for n := 0; b.Len() <= size-len("ab:\r\n\r\n"); n++ {
		fmt.Fprintf(&b, "%c%c:\r\n", letters[n%len(letters)], letters[n/len(letters)%len(letters)])
	}
	b.WriteString("\r\n")
	return b.String()
}

// repeat writes start once and text without end.
func repeat(ctx context.Context, w io.Writer, start, text string) {
	block := strings.Repeat(text, max(1, blockBytes/len(text)))
	if _, err := io.WriteString(w, start); err != nil {
		return
	}
	for ctx.Err() == nil {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
		sleep(ctx, blockInterval)
	}
}

// sendStreams sends requests on the streams of one HTTP/2 connection.
func (c *Crowd) sendStreams(ctx context.Context) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
	}
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+c.Path, nil)
			if err != nil {
				return
			}
			for n := range fields {
				r.Header.Set(fmt.Sprintf("X-%d", n), "v")
			}
			response, err := transport.RoundTrip(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	wg.Wait()
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
