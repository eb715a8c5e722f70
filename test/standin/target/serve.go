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

// longPrefixes are the paths of long answers.
var longPrefixes = []string{"/manuals", "/catalogs", "/firmware"}

// IsLong reports whether a path names a long answer.
func IsLong(path string) bool {
	for _, p := range longPrefixes {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}

// call is one request at the stand-in.
type call struct {
	target    *Target
	behaviour Behaviour
	w         http.ResponseWriter
	r         *http.Request
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now().UnixMicro())
	t.mu.Unlock()
	c := &call{
		target:    t,
		behaviour: t.Behaviour(),
		w:         w,
		r:         r,
	}
	pause(r.Context(), ms(c.behaviour.DelayMs))
	_, _ = io.Copy(io.Discard, r.Body)
	t.frozen(r.Context())
	c.behaviour = t.Behaviour()
	w.Header().Set("Tarragonwell-Request-Id", r.Header.Get("Tarragonwell-Request-Id"))
	if c.behaviour.Draining {
		w.Header().Set("Target-State", "draining")
		c.refuse("draining")
		return
	}
	if c.behaviour.FailFast {
		c.report()
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if c.behaviour.Shedding || !t.takeSlot(r.Context(), c.behaviour) {
		c.refuse("shed")
		return
	}
	defer t.freeSlot()
	if c.late() {
		c.refuse("deadline")
		return
	}
	c.run()
}

// late reports whether the call's absolute deadline has passed.
func (c *call) late() bool {
	deadline, err := strconv.ParseInt(c.r.Header.Get("Tarragonwell-Deadline"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}

func (c *call) report() {
	t := c.target
	t.mu.Lock()
	running, waiting := t.running, len(t.waiting)
	t.mu.Unlock()
	if c.behaviour.UnderreportLoad {
		running, waiting = 0, 0
	}
	c.w.Header().Set("Target-Load", fmt.Sprintf("running=%d, waiting=%d, slots=%d", running, waiting, c.behaviour.Slots))
}

func (c *call) refuse(why string) {
	c.report()
	c.w.Header().Set("Target-Not-Run", why)
	http.Error(c.w, why, http.StatusServiceUnavailable)
}

// run does the call's work. From here on the call counts as run.
func (c *call) run() {
	t := c.target
	long := IsLong(c.r.URL.Path)
	t.record(c.r, long)
	if long {
		c.long()
		return
	}
	if !pause(c.r.Context(), t.serviceTime(c.behaviour)) {
		return
	}
	if t.chance(c.behaviour.CloseAfterRun) {
		panic(http.ErrAbortHandler)
	}
	c.short()
}

func (t *Target) record(r *http.Request, long bool) {
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

// short answers with a body that names the request.
func (c *call) short() {
	request := c.r.Header.Get(HeaderTestRequest)
	if c.target.chance(c.behaviour.MismatchedResponses) {
		request = "another"
		c.w.Header().Set("Tarragonwell-Request-Id", "another")
	}
	c.report()
	body := ShortBody(request)
	if !c.behaviour.Chunked {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	pause(c.r.Context(), ms(c.behaviour.DelayMs))
	if c.target.chance(c.behaviour.TruncatedResponses) {
		_, _ = io.WriteString(c.w, body[:len(body)/2])
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c.w, body)
}

// ShortBody is the answer to a short request.
func ShortBody(request string) string {
	return "begin " + request + " " + strings.Repeat("x", 100) + " end\n"
}

func (t *Target) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < share
}

// takeSlot waits for a slot, unless the queue is full.
func (t *Target) takeSlot(ctx context.Context, b Behaviour) bool {
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
	turn := make(chan struct{})
	t.waiting = append(t.waiting, turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return t.leaveQueue(turn)
	}
}

// leaveQueue gives up a place; the slot may have come at the same time.
func (t *Target) leaveQueue(turn chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, x := range t.waiting {
		if x == turn {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return false
		}
	}
	return true
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
		return
	}
	t.running--
}
