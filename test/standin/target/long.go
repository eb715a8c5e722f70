package target

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// longPieces is how many pieces a long answer is sent in.
const longPieces = 20

// LongBody is the content of a long answer: it depends on the path alone, so
// that all targets serve the same bytes.
func LongBody(path string, size int) []byte {
	unit := fmt.Sprintf("%s %016x\n", path, xxhash.Sum64String(path))
	body := strings.Repeat(unit, size/len(unit)+1)
	return []byte(body[:size])
}

// LongETag is the strong validator of a long answer.
func LongETag(path string) string {
	return fmt.Sprintf("\"%016x\"", xxhash.Sum64String(path))
}

// long sends a long answer over its time, whole or from an offset.
func (c *call) long() {
	body := LongBody(c.r.URL.Path, c.behaviour.LongBytes)
	tag := LongETag(c.r.URL.Path)
	from, partial := c.offset(tag, len(body))
	c.report()
	c.w.Header().Set("ETag", tag)
	c.w.Header().Set("Accept-Ranges", "bytes")
	if !c.behaviour.Chunked {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)-from))
	}
	status := http.StatusOK
	if partial {
		status = http.StatusPartialContent
		c.w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, len(body)-1, len(body)))
	}
	c.w.WriteHeader(status)
	c.send(body[from:])
}

// offset reads a range of the form bytes=N-.
func (c *call) offset(tag string, size int) (int, bool) {
	text, ok := strings.CutPrefix(c.r.Header.Get("Range"), "bytes=")
	if !ok || (c.r.Header.Get("If-Range") != "" && c.r.Header.Get("If-Range") != tag) {
		return 0, false
	}
	from, err := strconv.Atoi(strings.TrimSuffix(text, "-"))
	if err != nil || from < 0 || from >= size {
		return 0, false
	}
	return from, true
}

func (c *call) send(body []byte) {
	flusher := http.NewResponseController(c.w)
	piece := max(1, len(body)/longPieces)
	cutAt := -1
	if c.target.chance(c.behaviour.TruncatedResponses) {
		cutAt = longPieces / 2
	}
	for n := 0; len(body) > 0; n++ {
		c.target.frozen(c.r.Context())
		if n == cutAt {
			panic(http.ErrAbortHandler)
		}
		if !pause(c.r.Context(), ms(c.behaviour.LongMs/longPieces*max(1, c.behaviour.Slowdown))) {
			return
		}
		size := min(piece, len(body))
		if _, err := c.w.Write(body[:size]); err != nil {
			return
		}
		_ = flusher.Flush()
		body = body[size:]
	}
}
