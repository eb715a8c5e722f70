// Package hostile sends HTTP responses that never end or are no responses at all, as
// faulty servers do. It is used by stand-ins and tests.
package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/tarragonwell/tarragonwell/test/standin/tcp"
)

// Mode is a way in which a response never ends.
type Mode int

// Modes of responses.
const (
	// EndlessHeader sends header fields without end.
	EndlessHeader Mode = iota
	// EndlessInformational sends one informational response (1xx) after another.
	EndlessInformational
	// EndlessStatusLine sends a status line without end.
	EndlessStatusLine
	// EndlessChunkExtension sends a chunk extension without end.
	EndlessChunkExtension
	// EndlessTrailer sends trailer fields without end.
	EndlessTrailer
	// EndlessBody sends a body that has no length and does not end.
	EndlessBody
	// EndlessChunks sends chunks without end.
	EndlessChunks
	// LongerThanLength sends bytes without end after a body of the stated length.
	LongerThanLength
	// EndlessGarbage sends bytes that are not HTTP, without end.
	EndlessGarbage
	// SlowHeader sends a header field in single bytes at long intervals.
	SlowHeader
	// SlowBody sends a body in single bytes at long intervals.
	SlowBody
	// Modes is the number of modes.
	Modes
)

var names = [Modes]string{
	EndlessHeader:         "endless header",
	EndlessInformational:  "endless informational responses",
	EndlessStatusLine:     "endless status line",
	EndlessChunkExtension: "endless chunk extension",
	EndlessTrailer:        "endless trailer",
	EndlessBody:           "endless body without length",
	EndlessChunks:         "endless chunks",
	LongerThanLength:      "body longer than its length",
	EndlessGarbage:        "endless bytes that are no HTTP",
	SlowHeader:            "header in single bytes",
	SlowBody:              "body in single bytes",
}

// String returns the name of the mode.
func (m Mode) String() string {
	return names[m]
}

const (
	// byteInterval is the time between two bytes of the slow modes.
	byteInterval = 50 * time.Millisecond
	// blockSize and blockInterval bound the rate of the other modes.
	blockSize     = 16 << 10
	blockInterval = time.Millisecond
	// slowBodyBytes is the length that SlowBody states.
	slowBodyBytes = 1 << 20
)

// response is a mode's start and what is repeated after it.
type response struct {
	start  string
	repeat string
	slow   bool
}

// Respond writes a response until a write fails, because the peer has closed the
// connection. header holds fields, each with its line end, for the modes that send a
// whole header.
func Respond(w io.Writer, m Mode, header string) error {
	r := m.response(header)
	if _, err := io.WriteString(w, r.start); err != nil {
		return err
	}
	if r.slow {
		return writeSlowly(w, r.repeat)
	}
	block := []byte(strings.Repeat(r.repeat, blockSize/len(r.repeat)))
	for {
		if _, err := w.Write(block); err != nil {
			return err
		}
		time.Sleep(blockInterval)
	}
}

func writeSlowly(w io.Writer, text string) error {
	for {
		for _, b := range []byte(text) {
			if _, err := w.Write([]byte{b}); err != nil {
				return err
			}
			time.Sleep(byteInterval)
		}
	}
}

func (m Mode) response(header string) response {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunked := ok + header + "Transfer-Encoding: chunked\r\n\r\n"
	switch m {
	case EndlessHeader:
		return response{
			start:  ok + header,
			repeat: "X-Field: value\r\n",
		}
	case EndlessInformational:
		return response{
			repeat: "HTTP/1.1 102 Processing\r\n\r\n",
		}
	case EndlessStatusLine:
		return response{
			start:  "HTTP/1.1 200 ",
			repeat: "O",
		}
	case EndlessChunkExtension:
		return response{
			start:  chunked + "5;",
			repeat: "x",
		}
	case EndlessTrailer:
		return response{
			start:  chunked + "5\r\nwhole\r\n0\r\n",
			repeat: "X-Field: value\r\n",
		}
	case EndlessBody:
		return response{
			start:  ok + header + "Connection: close\r\n\r\n",
			repeat: "x",
		}
	case EndlessChunks:
		return response{
			start:  chunked,
			repeat: "5\r\nwhole\r\n",
		}
	case LongerThanLength:
		return response{
			start:  ok + header + "Content-Length: 5\r\n\r\nwhole",
			repeat: "x",
		}
	case SlowHeader:
		return response{
			start:  ok,
			repeat: "X-Field: value\r\n",
			slow:   true,
		}
	case SlowBody:
		return response{
			start:  ok + header + fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodyBytes),
			repeat: "x",
			slow:   true,
		}
	default:
		return response{
			repeat: "\x00\xff\x16\x03",
		}
	}
}

// Server responds to each request with a mode.
type Server struct {
	// Mode is that of all responses.
	Mode Mode
	// Header returns the fields of a response, each with its line end, for the header of
	// a request; nil for none.
	Header func(request []byte) string
	// OnRequest is called for each request; nil for no calls.
	OnRequest func()
}

// Start serves on a free port of the loopback interface until stop is called.
func (s *Server) Start() (address string, stop func(), err error) {
	return tcp.Start(s.serveConn)
}

// serveConn responds to the first request on a connection. The response never ends.
func (s *Server) serveConn(c *net.TCPConn) {
	request := readHeader(c)
	if request == nil {
		return
	}
	if s.OnRequest != nil {
		s.OnRequest()
	}
	header := ""
	if s.Header != nil {
		header = s.Header(request)
	}
	// The error is that of the peer's close, which ends every response.
	_ = Respond(c, s.Mode, header)
}

// readHeader reads the header of a request; nil if the connection ends before.
func readHeader(r io.Reader) []byte {
	var out []byte
	buffer := make([]byte, 4096)
	for !bytes.Contains(out, []byte("\r\n\r\n")) {
		n, err := r.Read(buffer)
		out = append(out, buffer[:n]...)
		if err != nil {
			return nil
		}
	}
	return out
}
