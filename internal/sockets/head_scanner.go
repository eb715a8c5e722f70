package sockets

import "bytes"

// http2Preface is the first line of an HTTP/2 connection without TLS.
const http2Preface = "PRI * HTTP/2.0"

// headScanner finds the end of a request's head and counts its bytes and lines. Empty lines
// before the head are counted as a part of it. The zero value is at the start of a head.
type headScanner struct {
	bytes int64
	lines int64
	// lineBytes is the number of bytes of the current line so far, and lastByte the last of
	// them.
	lineBytes int64
	lastByte  byte
	// started is set after the first line that is not empty.
	started bool
	// prefaceBytes is the number of leading bytes that match http2Preface.
	prefaceBytes int
}

// scan scans bytes and returns how many of them belong to the head, and whether it has ended.
func (h *headScanner) scan(p []byte) (n int, ended bool) {
	h.matchPreface(p)
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			h.addToLine(p[n:])
			n = len(p)
			break
		}
		h.addToLine(p[n : n+end])
		n += end + 1
		h.lines++
		empty := h.lineBytes == 0 || (h.lineBytes == 1 && h.lastByte == '\r')
		h.lineBytes = 0
		if empty && h.started {
			ended = true
			break
		}
		h.started = h.started || !empty
	}
	h.bytes += int64(n)
	return n, ended
}

func (h *headScanner) addToLine(p []byte) {
	if len(p) > 0 {
		h.lineBytes += int64(len(p))
		h.lastByte = p[len(p)-1]
	}
}

// matchPreface compares the first bytes of the head with http2Preface.
func (h *headScanner) matchPreface(p []byte) {
	if int64(h.prefaceBytes) != h.bytes {
		return
	}
	for _, b := range p {
		if h.prefaceBytes == len(http2Preface) || b != http2Preface[h.prefaceBytes] {
			return
		}
		h.prefaceBytes++
	}
}

// isHTTP2 reports whether the head starts an HTTP/2 connection without TLS. With a header it
// does not: net/http then goes on with HTTP/1 on the connection.
func (h *headScanner) isHTTP2() bool {
	return h.prefaceBytes == len(http2Preface) && h.lines == 2
}
