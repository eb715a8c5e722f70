package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// longPrefixes are the path prefixes of long responses.
var longPrefixes = []string{"/manuals", "/catalogs", "/firmware"}

// IsLong reports whether the response to a path is a long one.
func IsLong(path string) bool {
	for _, p := range longPrefixes {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}

// call is one request that the target serves.
type call struct {
	target    *Target
	behaviour Behaviour
	writer    http.ResponseWriter
	request   *http.Request
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now().UnixMicro())
	t.mu.Unlock()
	c := &call{
		target:    t,
		behaviour: t.Behaviour(),
		writer:    w,
		request:   r,
	}
	sleep(r.Context(), ms(c.behaviour.DelayMs))
	_, _ = io.Copy(io.Discard, r.Body)
	t.waitWhileFrozen(r.Context())
	c.behaviour = t.Behaviour()
	w.Header().Set("Tarragonwell-Request-Id", r.Header.Get("Tarragonwell-Request-Id"))
	if c.behaviour.Draining {
		w.Header().Set("Target-State", "draining")
		c.reject("draining")
		return
	}
	if c.behaviour.FailFast {
		c.setLoadHeader()
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if c.behaviour.Shedding || !t.acquireSlot(r.Context(), c.behaviour) {
		c.reject("shed")
		return
	}
	defer t.releaseSlot()
	if c.deadlinePassed() {
		c.reject("deadline")
		return
	}
	c.run()
}

// deadlinePassed reports whether the absolute deadline in the request's header
// has passed. A missing or malformed deadline counts as none.
func (c *call) deadlinePassed() bool {
	deadline, err := strconv.ParseInt(c.request.Header.Get("Tarragonwell-Deadline"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}

// setLoadHeader sets the load report of the response.
func (c *call) setLoadHeader() {
	t := c.target
	t.mu.Lock()
	running, waiting := t.running, len(t.waiting)
	t.mu.Unlock()
	if c.behaviour.UnderreportLoad {
		running, waiting = 0, 0
	}
	c.writer.Header().Set("Target-Load", fmt.Sprintf("running=%d, waiting=%d, slots=%d", running, waiting, c.behaviour.Slots))
}

// reject responds that the call was not run, for the given reason.
func (c *call) reject(reason string) {
	c.setLoadHeader()
	c.writer.Header().Set("Target-Not-Run", reason)
	http.Error(c.writer, reason, http.StatusServiceUnavailable)
}

// run executes the call, which is recorded as run from here on.
func (c *call) run() {
	t := c.target
	long := IsLong(c.request.URL.Path)
	t.recordRun(c.request, long)
	if long {
		c.serveLong()
		return
	}
	if !sleep(c.request.Context(), t.serviceTime(c.behaviour)) {
		return
	}
	if t.chance(c.behaviour.CloseAfterRun) {
		panic(http.ErrAbortHandler)
	}
	c.serveShort()
}

// recordRun records a run of a call that carries a test operation.
func (t *Target) recordRun(r *http.Request, long bool) {
	kind := "short"
	if long {
		kind = "long"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	operation := r.Header.Get(HeaderTestOperation)
	if operation == "" {
		return
	}
	t.runs = append(t.runs, Run{
		Target:    t.Address,
		Operation: operation,
		RequestID: r.Header.Get("Tarragonwell-Request-Id"),
		Kind:      kind,
		UnixMicro: time.Now().UnixMicro(),
	})
}

// serveShort responds with a body that contains the test request's ID.
func (c *call) serveShort() {
	requestID := c.request.Header.Get(HeaderTestRequest)
	if c.target.chance(c.behaviour.MismatchedResponses) {
		requestID = "another"
		c.writer.Header().Set("Tarragonwell-Request-Id", "another")
	}
	c.setLoadHeader()
	body := ShortBody(requestID)
	if !c.behaviour.Chunked {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	sleep(c.request.Context(), ms(c.behaviour.DelayMs))
	if c.target.chance(c.behaviour.TruncatedResponses) {
		_, _ = io.WriteString(c.writer, body[:len(body)/2])
		_ = http.NewResponseController(c.writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c.writer, body)
}

// ShortBody returns the body of a short response.
func ShortBody(requestID string) string {
	return "begin " + requestID + " " + strings.Repeat("x", 100) + " end\n"
}

// chance returns true with the given probability.
func (t *Target) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < probability
}

// acquireSlot waits in the queue for a slot. It reports false if the queue is
// full or ctx ends first.
func (t *Target) acquireSlot(ctx context.Context, b Behaviour) bool {
	t.mu.Lock()
	if t.running < b.Slots {
		t.running++
		t.mu.Unlock()
		return true
	}
	if len(t.waiting) >= b.Queue {
		t.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	t.waiting = append(t.waiting, granted)
	t.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return t.leaveQueue(granted)
	}
}

// leaveQueue removes a call from the queue. It reports true if the call was
// granted its slot at the same time and therefore holds one.
func (t *Target) leaveQueue(granted chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, x := range t.waiting {
		if x == granted {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// releaseSlot passes the slot on to the first call in the queue, if any.
func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}
