package target

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// longChunks is the number of chunks in which a long response is written.
const longChunks = 20

// LongBody returns the content of a long response. It depends only on the path
// and the size, so that all targets serve the same bytes.
func LongBody(path string, size int) []byte {
	unit := fmt.Sprintf("%s %016x\n", path, xxhash.Sum64String(path))
	body := strings.Repeat(unit, size/len(unit)+1)
	return []byte(body[:size])
}

// LongETag returns the strong entity tag of a long response.
func LongETag(path string) string {
	return fmt.Sprintf("\"%016x\"", xxhash.Sum64String(path))
}

// serveLong streams a long response over its configured duration, in full or
// from the offset of a range request.
func (c *call) serveLong() {
	body := LongBody(c.request.URL.Path, c.behaviour.LongBytes)
	etag := LongETag(c.request.URL.Path)
	from, partial := c.parseRange(etag, len(body))
	c.setLoadHeader()
	c.writer.Header().Set("ETag", etag)
	c.writer.Header().Set("Accept-Ranges", "bytes")
	if !c.behaviour.Chunked {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)-from))
	}
	status := http.StatusOK
	if partial {
		status = http.StatusPartialContent
		c.writer.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, len(body)-1, len(body)))
	}
	c.writer.WriteHeader(status)
	c.writeChunks(body[from:])
}

// parseRange returns the offset of a range of the form bytes=N-. It reports
// false if the full response is to be sent.
func (c *call) parseRange(etag string, size int) (int, bool) {
	text, ok := strings.CutPrefix(c.request.Header.Get("Range"), "bytes=")
	if !ok || (c.request.Header.Get("If-Range") != "" && c.request.Header.Get("If-Range") != etag) {
		return 0, false
	}
	from, err := strconv.Atoi(strings.TrimSuffix(text, "-"))
	if err != nil || from < 0 || from >= size {
		return 0, false
	}
	return from, true
}

// writeChunks writes the body in equal chunks, evenly spaced in time.
func (c *call) writeChunks(body []byte) {
	flusher := http.NewResponseController(c.writer)
	chunkSize := max(1, len(body)/longChunks)
	truncateAt := -1
	if c.target.chance(c.behaviour.TruncatedResponses) {
		truncateAt = longChunks / 2
	}
	for n := 0; len(body) > 0; n++ {
		c.target.waitWhileFrozen(c.request.Context())
		if n == truncateAt {
			panic(http.ErrAbortHandler)
		}
		if !sleep(c.request.Context(), ms(c.behaviour.LongMs/longChunks*max(1, c.behaviour.Slowdown))) {
			return
		}
		size := min(chunkSize, len(body))
		if _, err := c.writer.Write(body[:size]); err != nil {
			return
		}
		_ = flusher.Flush()
		body = body[size:]
	}
}
