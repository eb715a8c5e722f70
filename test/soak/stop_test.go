package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/prepared"
)

const (
	// lateInStop is when the requests of TestLateRequestsInStop are sent, counted from SIGTERM:
	// after the balancer wait of 1s, and closer to the end of the drain limit of 5s than the time
	// that their callers wait.
	lateInStop = 3400 * time.Millisecond
	// slowInStop makes the targets work for 2s on each request.
	slowInStop   = 100
	lateRequests = 20
)

// TestLateRequestsInStop guards against requests that are passed on late in a planned stop and cut
// off at its end, because their targets take longer than usual.
func TestLateRequestsInStop(t *testing.T) {
	e := startEnvironment(t, 114, 2, 6)
	i := e.instances[0]
	statuses := make([]string, lateRequests)
	var connections []net.Conn
	for n := range lateRequests {
		// The instance learns how long the work takes.
		if got, want := book(dial(t, i), fmt.Sprint("early-", n)), http.StatusOK; got != want {
			t.Fatalf("before the stop: got status %d, want %d", got, want)
		}
		connections = append(connections, dial(t, i))
	}
	i.currentProcess().Terminate()
	time.Sleep(lateInStop)
	for _, b := range e.backends {
		b.target.UpdateFaults(func(f *prepared.Faults) { f.Slowdown = slowInStop })
	}
	var sent sync.WaitGroup
	for n, c := range connections {
		sent.Go(func() { statuses[n] = fmt.Sprint(book(c, fmt.Sprint("late-", n))) })
	}
	sent.Wait()
	t.Logf("statuses: %v", statuses)
	ran := map[string]bool{}
	for _, r := range e.journal.Runs() {
		ran[r.AttemptID] = true
	}
	for n, status := range statuses {
		if id := fmt.Sprint("late-", n); ran[id] && status != "200" {
			t.Errorf("%s: a target worked on it, and the caller got status %s", id, status)
		}
	}
}

func dial(t *testing.T, i *instance) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", i.callersAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// book sends an operation and returns the status of the response; 0 if there is none.
func book(c net.Conn, id string) int {
	fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\nab",
		host, id, clientDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
