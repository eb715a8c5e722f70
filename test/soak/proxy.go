package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to the bytes that go through it.
type proxyMode int

const (
	modePass proxyMode = iota
	// modeDelay holds each piece for a while.
	modeDelay
	// modeSilent lets nothing through, either way.
	modeSilent
	// modeOneWay lets requests through and no answers.
	modeOneWay
)

const (
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 32 << 10
	proxyDial   = time.Second
	// gatePoll is how often a held connection looks whether it may go on.
	gatePoll = 10 * time.Millisecond
)

// proxy stands between two programs on loopback.
type proxy struct {
	address string
	to      string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func startProxy(ctx context.Context, address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		address: l.Addr().String(),
		to:      to,
		conns:   map[net.Conn]bool{},
	}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		p.reset()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(ctx, c)
		}
	}()
	return p, nil
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
}

func (p *proxy) relay(ctx context.Context, from net.Conn) {
	to, err := net.DialTimeout("tcp", p.to, proxyDial)
	if err != nil {
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from] = true
	p.conns[to] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(ctx, to, from, false) })
	both.Go(func() { p.pass(ctx, from, to, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

func (p *proxy) pass(ctx context.Context, to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for p.held(answers) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(gatePoll)
		}
		if p.current() == modeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) held(answers bool) bool {
	m := p.current()
	return m == modeSilent || (m == modeOneWay && answers)
}
