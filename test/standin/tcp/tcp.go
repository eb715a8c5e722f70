// Package tcp serves single connections for stand-ins and tests that send what a server of
// net/http would not.
package tcp

import (
	"net"
	"testing"
)

// Start passes each connection to a free port of the loopback interface to serve, in a goroutine
// of its own, and closes it when serve returns. It accepts connections until stop is called.
func Start(serve func(*net.TCPConn)) (address string, stop func(), err error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	if err != nil {
		return "", nil, err
	}
	go accept(l, serve)
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// StartForTest is Start until the end of a test, which fails if there is no free port.
func StartForTest(t testing.TB, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	address, stop, err := Start(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

func accept(l *net.TCPListener, serve func(*net.TCPConn)) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}
