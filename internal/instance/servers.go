package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/operator"
	"github.com/tarragonwell/tarragonwell/internal/peer"
	"github.com/tarragonwell/tarragonwell/internal/sockets"
)

// listeners are open from the start to the end of Run.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	// readiness is nil if the operators' address serves the readiness check.
	readiness net.Listener
}

// listen opens a listener for each configured address. If one fails, it closes the
// others.
func (i *Instance) listen() (*listeners, error) {
	s := i.common.Settings
	var l listeners
	for _, x := range []struct {
		listener *net.Listener
		address  string
		listen   func(address string) (net.Listener, error)
	}{
		{
			listener: &l.callers,
			address:  s.CallerListenAddress,
			listen:   sockets.ListenDraining,
		},
		{
			listener: &l.peers,
			address:  s.PeerListenAddress,
			listen:   listenTCP,
		},
		{
			listener: &l.operators,
			address:  s.OperatorListenAddress,
			listen:   listenTCP,
		},
		{
			listener: &l.readiness,
			address:  s.ReadinessListenAddress,
			listen:   listenTCP,
		},
	} {
		if x.address == "" {
			continue
		}
		opened, err := x.listen(x.address)
		if err != nil {
			l.close()
			return nil, eris.Wrap(ErrListen, err.Error())
		}
		*x.listener = opened
	}
	return &l, nil
}

func listenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.callers, l.peers, l.operators, l.readiness} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// servers are the HTTP servers for callers, peers and operators.
type servers struct {
	callers *http.Server
	// callerGuard guards the connections of callers.
	callerGuard *sockets.Guard
	// endCalls ends the calls in progress.
	endCalls context.CancelCauseFunc
	// callerListener is closed before callers, which would not accept the connections
	// in its backlog.
	callerListener net.Listener
	peers          *http.Server
	operators      *http.Server
	// readiness is nil if the operators' address serves the readiness check.
	readiness *http.Server
}

// all returns the servers that are in use.
func (s *servers) all() []*http.Server {
	out := []*http.Server{s.callers, s.peers, s.operators}
	if s.readiness != nil {
		out = append(out, s.readiness)
	}
	return out
}

func (i *Instance) startServers(l *listeners, wg *sync.WaitGroup) *servers {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &peer.Server{
		Peers:        i.peers,
		PlatformData: i.reconciler,
		HolderTTL:    holderTTL,
	}
	if i.operations != nil {
		peerServer.Operations = i.operations
	}
	callsCtx, endCalls := context.WithCancelCause(context.Background())
	callers := caller.NewServer(caller.Options{
		Common:         i.common,
		Dialect:        i.adapters.Callers,
		Operations:     i.operations,
		CurrentRouting: i.routing,
		RoutingReady:   i.bootstrapped,
		HTTP2:          i.adapters.HTTP2,
		Context:        callsCtx,
	})
	s := &servers{
		endCalls:       endCalls,
		callers:        callers.HTTP(),
		callerGuard:    callers.Guard(),
		callerListener: l.callers,
		peers: &http.Server{
			Handler:           peerServer.Handler(),
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		},
		operators: &http.Server{
			Handler:           operator.NewServer(i.common.Metrics, i.trail, i).Handler(),
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		},
	}
	wg.Go(func() { _ = s.callers.Serve(callers.Listen(l.callers)) })
	wg.Go(func() { _ = s.peers.Serve(peer.CountListener(l.peers, i.common.Metrics)) })
	wg.Go(func() { _ = s.operators.Serve(l.operators) })
	if l.readiness != nil {
		s.readiness = &http.Server{
			Handler:           operator.ReadinessHandler(i),
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          i.common.Log.StandardLog(),
		}
		wg.Go(func() { _ = s.readiness.Serve(l.readiness) })
	}
	return s
}

const headerTimeout = 10 * time.Second
