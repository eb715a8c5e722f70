package target

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// errMalformedHead is wrapped by the errors of responseHead.
var errMalformedHead = eris.New("malformed head of a response")

const (
	// versionPrefix is that of the versions whose heads are understood; one digit follows.
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	// maxStatus is the highest status that HTTP defines.
	maxStatus = 599
)

// responseHead checks the heads of a response as they arrive: those of informational responses and
// the final one. It rejects what net/http passes on although it is not HTTP. The zero value awaits
// the first head.
type responseHead struct {
	// line is the start of the current line, as far as it has arrived. Its length is bounded by
	// the size of a head that the transport reads.
	line []byte
	// inFields is set after the status line of the current head.
	inFields bool
	// informational is set if the current head is that of an informational response, which
	// another head follows.
	informational bool
	// ended is set after the final head.
	ended bool
}

// scan checks the next bytes of the response. What follows the final head is not looked at.
func (h *responseHead) scan(p []byte) error {
	for !h.ended && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line = append(h.line, p...)
			return nil
		}
		line := p[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = nil
		}
		if err := h.endLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
		p = p[end+1:]
	}
	return nil
}

// endLine checks a line, which has no line end.
func (h *responseHead) endLine(line []byte) error {
	switch {
	case !h.inFields:
		status, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		h.informational = status < http.StatusOK
		h.inFields = true
	case len(line) == 0:
		h.ended = !h.informational
		h.inFields = false
	}
	return nil
}

// parseStatusLine returns the status of a status line.
func parseStatusLine(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, ok := bytes.CutPrefix(version, []byte(versionPrefix))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return 0, eris.Wrapf(errMalformedHead, "version %s", quoteBounded(string(version)))
	}
	digits, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.Atoi(string(digits))
	if err != nil || len(digits) != statusDigits || status < http.StatusContinue || status > maxStatus {
		return 0, eris.Wrapf(errMalformedHead, "status %s", quoteBounded(string(digits)))
	}
	if status == http.StatusSwitchingProtocols {
		return 0, eris.Wrap(errMalformedHead, "switch of protocols that no call asks for")
	}
	return status, nil
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}
