package target

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzResponseHead checks that the verdict on a response does not depend on the pieces in which it
// arrives, and that what net/http makes of a head which was accepted is valid.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.0 599\nX: \t1\n\n",
		"HTTP/1.1 000 OK\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\n{}",
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), 20)
	}
	f.Fuzz(func(t *testing.T, response []byte, cut int) {
		var whole, pieces responseHead
		err := whole.scan(bytes.Clone(response))
		cut = min(max(0, cut), len(response))
		piecesErr := pieces.scan(bytes.Clone(response[:cut]))
		if piecesErr == nil {
			piecesErr = pieces.scan(bytes.Clone(response[cut:]))
		}
		if got, want := piecesErr == nil, err == nil; got != want || pieces.ended != whole.ended {
			t.Fatalf("%q cut after %d bytes: got %v, want as for the whole, %v", response, cut, piecesErr, err)
		}
		if err != nil || !whole.ended {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(response))
		r, err := http.ReadResponse(reader, nil)
		for err == nil && r.StatusCode < http.StatusOK {
			r, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return
		}
		if r.StatusCode > maxStatus || r.ProtoMajor != 1 {
			t.Errorf("%q: got status %d and version %s", response, r.StatusCode, r.Proto)
		}
		for name := range r.Header {
			if !isToken([]byte(name)) {
				t.Errorf("%q: got field %q", response, name)
			}
		}
	})
}
