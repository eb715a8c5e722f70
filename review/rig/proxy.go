package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy relays TCP connections to an address and records when bytes pass.
type Proxy struct {
	// Address is the listening address.
	Address string

	mu sync.Mutex
	// requested is when bytes were last relayed towards the address.
	requested time.Time
}

// StartProxy starts a proxy.
func (r *Rig) StartProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address: l.Addr().String(),
	}
	go func() {
		<-r.ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c, to)
		}
	}()
	return p, nil
}

// Requested returns when bytes were last relayed towards the address.
func (p *Proxy) Requested() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requested
}

func (p *Proxy) relay(c net.Conn, to string) {
	defer c.Close()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, &requestReader{
			reader: c,
			proxy:  p,
		})
		_ = d.Close()
	}()
	_, _ = io.Copy(c, d)
}

// requestReader reads what is relayed towards the address and records when.
type requestReader struct {
	reader io.Reader
	proxy  *Proxy
}

// Read implements io.Reader.
func (r *requestReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.proxy.mu.Lock()
		defer r.proxy.mu.Unlock()
		r.proxy.requested = time.Now()
	}
	return n, err
}
