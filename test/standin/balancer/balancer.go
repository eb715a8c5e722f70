// Package balancer is a stand-in for the platform's balancer. It relays TCP
// connections round-robin to the instances on a list, which may lag.
package balancer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const dialTimeout = 200 * time.Millisecond

// Balancer is the stand-in, created by New.
type Balancer struct {
	// Address is the listening address; a port of 0 is replaced by Start.
	Address string

	mu sync.Mutex
	// instances holds the addresses on the list.
	instances []string
	// next counts the relayed connections, for round-robin.
	next     int
	listener net.Listener
}

// New returns a stand-in that is not yet listening.
func New(address string) *Balancer {
	return &Balancer{
		Address: address,
	}
}

// Start listens and relays until ctx ends.
func (b *Balancer) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.Address = l.Addr().String()
	b.listener = l
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go b.accept(ctx)
	return nil
}

// SetInstances replaces the list immediately; the lag of a platform is up to the
// caller.
func (b *Balancer) SetInstances(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append([]string(nil), addresses...)
}

// Instances returns the current list.
func (b *Balancer) Instances() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances
}

func (b *Balancer) accept(ctx context.Context) {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.relay(ctx, c)
	}
}

// candidates returns the instances in the order in which a connection tries
// them.
func (b *Balancer) candidates() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.instances) == 0 {
		return nil
	}
	b.next++
	n := b.next % len(b.instances)
	return append(append([]string(nil), b.instances[n:]...), b.instances[:n]...)
}

// relay connects a client to the first instance that accepts the connection.
func (b *Balancer) relay(ctx context.Context, client net.Conn) {
	defer client.Close()
	for _, address := range b.candidates() {
		instance, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			continue
		}
		CopyBidirectional(ctx, client, instance)
		return
	}
}

// CopyBidirectional copies in both directions until both sides have closed or
// ctx ends, and closes both connections.
func CopyBidirectional(ctx context.Context, a, b net.Conn) {
	stop := context.AfterFunc(ctx, func() {
		_ = a.Close()
		_ = b.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { copyHalf(a, b) })
	both.Go(func() { copyHalf(b, a) })
	both.Wait()
	_ = a.Close()
	_ = b.Close()
}

// copyHalf copies in one direction and propagates the half-close. It closes both
// connections on an error.
func copyHalf(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
