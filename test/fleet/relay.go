package fleet

import (
	"context"
	"net"
	"sync"
	"time"
)

const relayDialTimeout = 200 * time.Millisecond

// Relay passes the peers' connections on to an instance and can hold what
// comes from one host. What was held arrives late, when the cut ends.
type Relay struct {
	address  string
	instance string

	mu sync.Mutex
	// cuts holds a gate for each host that is cut off; it is closed when the cut
	// ends.
	cuts map[string]chan struct{}
}

// NewRelay returns a relay that does not listen yet.
func NewRelay(address, instance string) *Relay {
	return &Relay{
		address:  address,
		instance: instance,
		cuts:     map[string]chan struct{}{},
	}
}

// Start listens until ctx ends.
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
			go r.relay(ctx, c)
		}
	}()
	return nil
}

// SetBlocked holds what comes from a host, or lets it through again.
func (r *Relay) SetBlocked(host string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := r.cuts[host]
	if cut && gate == nil {
		r.cuts[host] = make(chan struct{})
	}
	if !cut && gate != nil {
		close(gate)
		delete(r.cuts, host)
	}
}

// gate waits while a host is cut off.
func (r *Relay) gate(ctx context.Context, host string) bool {
	r.mu.Lock()
	gate := r.cuts[host]
	r.mu.Unlock()
	if gate == nil {
		return true
	}
	select {
	case <-gate:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Relay) relay(ctx context.Context, from net.Conn) {
	defer from.Close()
	host, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	if !r.gate(ctx, host) {
		return
	}
	to, err := net.DialTimeout("tcp", r.instance, relayDialTimeout)
	if err != nil {
		return
	}
	defer to.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = from.Close()
		_ = to.Close()
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { r.pass(ctx, host, to, from) })
	both.Go(func() { r.pass(ctx, host, from, to) })
	both.Wait()
}

// pass copies one way, through the gate, and ends both connections at the end.
func (r *Relay) pass(ctx context.Context, host string, to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.gate(ctx, host) {
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
