package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy forwards data.
type proxyMode int

const (
	// modePass forwards data unchanged.
	modePass proxyMode = iota
	// modeDelay delays each read by proxyDelay.
	modeDelay
	// modeBlock forwards nothing in either direction until the mode changes.
	modeBlock
	// modeBlockResponses forwards requests and blocks responses.
	modeBlockResponses
)

const (
	proxyDelay       = 150 * time.Millisecond
	proxyBuffer      = 32 << 10
	proxyDialTimeout = time.Second
	// blockPoll is the interval at which a blocked connection checks the mode.
	blockPoll = 10 * time.Millisecond
)

// proxy is a TCP proxy between two processes that delays, blocks or resets
// connections.
type proxy struct {
	listenAddress   string
	upstreamAddress string

	mu   sync.Mutex
	mode proxyMode
	// conns are the open connections on both sides.
	conns map[net.Conn]bool
}

// startProxy listens on address and relays connections to upstream until ctx is done.
func startProxy(ctx context.Context, address, upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listenAddress:   l.Addr().String(),
		upstreamAddress: upstream,
		conns:           map[net.Conn]bool{},
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

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections with a TCP reset.
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

// relay connects a client to the upstream and forwards data in both directions.
func (p *proxy) relay(ctx context.Context, client net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.upstreamAddress, proxyDialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client] = true
	p.conns[upstream] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(ctx, upstream, client, false) })
	wg.Go(func() { p.forward(ctx, client, upstream, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// forward copies data from one connection to another. responses reports whether the
// data flows from the upstream to the client.
func (p *proxy) forward(ctx context.Context, to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for p.blocked(responses) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(blockPoll)
		}
		if p.currentMode() == modeDelay {
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

// blocked reports whether the mode blocks data in a direction.
func (p *proxy) blocked(responses bool) bool {
	m := p.currentMode()
	return m == modeBlock || (m == modeBlockResponses && responses)
}
