package rig2

import (
	"context"
	"net"
	"sync"
	"time"
)

// Relay relays TCP connections to an address. While it is silent, it accepts connections and
// passes nothing on, like a partition.
type Relay struct {
	Address string
	// Link is that of the machine which opens the connections; nil for one without a bound. What
	// it is sent passes over it. It is set before the first connection.
	Link *Link
	to   string

	mu     sync.Mutex
	silent bool
	// wake is closed and replaced when silent changes.
	wake chan struct{}
	// lastBytes is when bytes last came from the side that opens connections.
	lastBytes time.Time
}

// StartRelay starts a relay on a free loopback port.
func StartRelay(ctx context.Context, to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{
		Address: l.Addr().String(),
		to:      to,
		wake:    make(chan struct{}),
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.relay(ctx, c)
		}
	}()
	return r, nil
}

// SetSilent begins or ends the silence.
func (r *Relay) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	close(r.wake)
	r.wake = make(chan struct{})
}

// LastBytes returns when bytes last came from the side that opens connections.
func (r *Relay) LastBytes() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastBytes
}

// awaitSound waits until the relay is not silent, and reports false if ctx ends first.
func (r *Relay) awaitSound(ctx context.Context) bool {
	for {
		r.mu.Lock()
		silent, wake := r.silent, r.wake
		r.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Relay) relay(ctx context.Context, c net.Conn) {
	defer c.Close()
	if !r.awaitSound(ctx) {
		return
	}
	d, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer d.Close()
	defer context.AfterFunc(ctx, func() { _, _ = c.Close(), d.Close() })()
	done := make(chan struct{}, 2)
	go func() {
		r.copy(ctx, d, c, true)
		done <- struct{}{}
	}()
	go func() {
		r.copy(ctx, c, d, false)
		done <- struct{}{}
	}()
	<-done
}

func (r *Relay) copy(ctx context.Context, to, from net.Conn, opener bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if !r.awaitSound(ctx) {
			return
		}
		if opener && n > 0 {
			r.mu.Lock()
			r.lastBytes = time.Now()
			r.mu.Unlock()
		}
		if !opener && n > 0 && r.Link != nil {
			r.Link.Pass(n)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
