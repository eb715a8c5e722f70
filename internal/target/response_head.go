package target

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

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
	// minor is the digit of the current head's minor version.
	minor byte
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
		status, minor, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		h.minor = minor
		h.informational = status < http.StatusOK
		h.inFields = true
	case len(line) == 0:
		h.ended = !h.informational
		h.inFields = false
	default:
		return h.checkField(line)
	}
	return nil
}

// parseStatusLine returns the status of a status line and the digit of its minor version.
func parseStatusLine(line []byte) (status int, minor byte, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	digit, ok := bytes.CutPrefix(version, []byte(versionPrefix))
	if !ok || len(digit) != 1 || !isDigit(digit[0]) {
		return 0, 0, eris.Wrapf(errMalformedHead, "version %s", quoteBounded(string(version)))
	}
	code, _, _ := bytes.Cut(rest, []byte{' '})
	status, err = strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || status < http.StatusContinue || status > maxStatus {
		return 0, 0, eris.Wrapf(errMalformedHead, "status %s", quoteBounded(string(code)))
	}
	if status == http.StatusSwitchingProtocols {
		return 0, 0, eris.Wrap(errMalformedHead, "switch of protocols that no call asks for")
	}
	return status, digit[0], nil
}

// checkField checks the line of a field. Its name has to be a token, directly before the colon: a
// field by which the body is framed would otherwise be read as another one. That includes lines
// that begin with a blank, which continue the line before; gateways may reject them (RFC 9112,
// section 5.2). The bytes of values are checked by net/http.
func (h *responseHead) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return eris.Wrapf(errMalformedHead, "field %s", quoteBounded(string(line)))
	}
	// net/http ignores the field, so that the coding would be passed on as a part of the body.
	if h.minor == '0' && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return eris.Wrap(errMalformedHead, "transfer coding with HTTP/1.0")
	}
	return nil
}

// isToken reports whether the name of a field is a token, which is not empty.
func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}
