// Package balancer is a stand-in for the platform's balancer: it relays
// connections to the instances on a lagging list, in turn.
package balancer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const dialTimeout = 200 * time.Millisecond

// Balancer is the stand-in. Make it with New.
type Balancer struct {
	Address string

	mu        sync.Mutex
	instances []string
	next      int
	listener  net.Listener
}

// New returns a stand-in that does not listen yet.
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

// SetInstances replaces the list. The caller lags as a platform would.
func (b *Balancer) SetInstances(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append([]string(nil), addresses...)
}

// Instances returns the present list.
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

// pick returns the instances in the order in which they are tried.
func (b *Balancer) pick() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.instances) == 0 {
		return nil
	}
	b.next++
	n := b.next % len(b.instances)
	return append(append([]string(nil), b.instances[n:]...), b.instances[:n]...)
}

func (b *Balancer) relay(ctx context.Context, from net.Conn) {
	defer from.Close()
	for _, address := range b.pick() {
		to, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			continue
		}
		CopyBidirectional(ctx, from, to)
		return
	}
}

// CopyBidirectional copies both ways until both sides have ended or ctx ends.
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

// copyHalf copies one way and passes the end on.
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
