package sockets

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCloseServesBacklog checks that clients whose connection and request wait in the
// backlog when the listener is closed get a response.
func TestCloseServesBacklog(t *testing.T) {
	const clients = 20
	l, err := ListenDraining("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var waiting []net.Conn
	for range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, c)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
		}),
	}
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	<-l.(*DrainingListener).closing
	if got := server.Serve(l); got == nil {
		t.Error("Serve: got no error, want that of a closed listener")
	}
	if err := <-closed; err != nil {
		t.Errorf("Close: got %v, want no error", err)
	}
	for n, c := range waiting {
		_ = c.SetDeadline(time.Now().Add(time.Second))
		content, err := io.ReadAll(c)
		if err != nil || len(content) == 0 {
			t.Errorf("client %d: got %q and %v, want a response", n, content, err)
		}
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("after Close: got a connection, want none")
	}
	_ = server.Close()
}
