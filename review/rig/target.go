package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is a target that runs requests in slots, queues a few more and refuses the
// rest. It can send a second copy of an answer late.
type Target struct {
	ID      string
	Address string
	// Slots is the number of requests that run at a time, Queue that of those that wait.
	Slots int
	Queue int
	// Work is the mean service time; the times vary by 30 %.
	Work time.Duration
	// LateCopyShare is the largest share of the answers, counted from SetFaulty on, of
	// which a second copy is sent on the same connection, at the point where the next
	// answer is expected.
	LateCopyShare float64

	rig *Rig

	mu      sync.Mutex
	runs    map[string]int
	running int
	waiting int
	answers int
	refused int
	copies  int
	// faulty is set while late copies are sent; faultyAnswers and faultyCopies count the
	// answers and their late copies since then.
	faulty        bool
	faultyAnswers int
	faultyCopies  int
	slots         chan struct{}
}

// StartTarget starts a target.
func (r *Rig) StartTarget(t *Target) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.rig = r
	t.Address = l.Addr().String()
	t.runs = map[string]int{}
	t.slots = make(chan struct{}, t.Slots)
	go func() {
		<-r.ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return nil
}

// SetFaulty switches the late copies on or off.
func (t *Target) SetFaulty(faulty bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faulty = faulty
	t.faultyAnswers = 0
	t.faultyCopies = 0
}

// Runs returns how often the target began to work on a request.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Counts returns the numbers of answers, of refusals among them and of late copies.
func (t *Target) Counts() (answers, refused, copies int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers, t.refused, t.copies
}

// serve serves one request at a time on a connection.
func (t *Target) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if late != nil {
			t.rig.Logf("%s sends its last answer on the connection again, before that to %s", t.ID, request.Header.Get("Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := t.answer(request)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if t.drawCopy() {
			late = answer
		}
	}
}

// copyDraw is the probability with which an answer is copied if the share allows it. It is
// above the share, because the first answers of a fault can't be copied yet.
const copyDraw = 0.1

// drawCopy reports whether a second copy of an answer is to be sent.
func (t *Target) drawCopy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	if !t.faulty {
		return false
	}
	t.faultyAnswers++
	if float64(t.faultyCopies+1) > t.LateCopyShare*float64(t.faultyAnswers) || rand.Float64() >= copyDraw {
		return false
	}
	t.faultyCopies++
	t.copies++
	return true
}

// answer handles a request and returns the bytes of its answer.
func (t *Target) answer(r *http.Request) []byte {
	id := r.Header.Get("Attempt-Id")
	t.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.Slots)
	full := t.running >= t.Slots && t.waiting >= t.Queue
	t.mu.Unlock()
	head := "Attempt-Id: " + id + "\r\nBackend-Load: " + load + "\r\n"
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		return []byte("HTTP/1.1 200 OK\r\nBackend-Id: " + t.ID + "\r\nBackend-Load: " + load + "\r\nContent-Length: 0\r\n\r\n")
	case id == "":
		return []byte("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case r.Header.Get("Expect-Backend") != t.ID:
		return []byte("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nBackend-Id: " + t.ID + "\r\n" + head + "Content-Length: 0\r\n\r\n")
	case full:
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		t.rig.Logf("%s refuses %s: full (%s)", t.ID, id, load)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n")
	}
	t.run(id)
	body := "done " + id + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nResponse-Seal: 3e1b.07\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// run waits for a slot and works on a request.
func (t *Target) run(id string) {
	t.add(0, 1)
	t.slots <- struct{}{}
	t.add(1, -1)
	t.mu.Lock()
	t.runs[id]++
	n := t.runs[id]
	t.mu.Unlock()
	t.rig.Logf("%s runs %s (%d)", t.ID, id, n)
	time.Sleep(time.Duration(float64(t.Work) * (0.7 + 0.6*rand.Float64())))
	<-t.slots
	t.add(-1, 0)
}

func (t *Target) add(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}
