package fleet

import (
	"context"
	"net"
	"sync"
	"time"
)

const relayDialTimeout = 200 * time.Millisecond

// Relay is a TCP proxy in front of an instance's peer address that can block
// single hosts. Connections and data of a blocked host are not dropped: they
// are delayed until the host is unblocked.
type Relay struct {
	// address is the relay's own address.
	address string
	// upstream is the instance's peer address.
	upstream string

	mu sync.Mutex
	// blocked maps each blocked host to a channel that is closed when the host
	// is unblocked.
	blocked map[string]chan struct{}
}

// NewRelay returns a relay from address to upstream. Start makes it listen.
func NewRelay(address, upstream string) *Relay {
	return &Relay{
		address:  address,
		upstream: upstream,
		blocked:  map[string]chan struct{}{},
	}
}

// Start accepts connections until ctx is done.
func (r *Relay) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(ctx, c)
		}
	}()
	return nil
}

// SetBlocked blocks or unblocks the traffic of a host, in both directions.
func (r *Relay) SetBlocked(host string, block bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unblocked := r.blocked[host]
	if block && unblocked == nil {
		r.blocked[host] = make(chan struct{})
	}
	if !block && unblocked != nil {
		close(unblocked)
		delete(r.blocked, host)
	}
}

// waitUnblocked waits until the host is not blocked. It returns false if ctx is
// done first.
func (r *Relay) waitUnblocked(ctx context.Context, host string) bool {
	r.mu.Lock()
	unblocked := r.blocked[host]
	r.mu.Unlock()
	if unblocked == nil {
		return true
	}
	select {
	case <-unblocked:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Relay) serve(ctx context.Context, from net.Conn) {
	defer from.Close()
	host, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	if !r.waitUnblocked(ctx, host) {
		return
	}
	to, err := net.DialTimeout("tcp", r.upstream, relayDialTimeout)
	if err != nil {
		return
	}
	defer to.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = from.Close()
		_ = to.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(ctx, host, to, from) })
	directions.Go(func() { r.forward(ctx, host, from, to) })
	directions.Wait()
}

// forward copies one direction, pausing while the host is blocked, and closes
// both connections when either side fails.
func (r *Relay) forward(ctx context.Context, host string, to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitUnblocked(ctx, host) {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
