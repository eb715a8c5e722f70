package sockets

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// backlogIdleTime is the time without a new connection after which the backlog of a
	// closing listener counts as empty.
	backlogIdleTime = 10 * time.Millisecond
	// maxBacklogTime bounds the time for which a closing listener accepts connections.
	maxBacklogTime = time.Second
)

// DrainingListener is a TCP listener whose Close first accepts the connections that are
// waiting in the backlog. The kernel would reset them, although their clients may have
// sent a request already.
type DrainingListener struct {
	*net.TCPListener

	closeOnce sync.Once
	closeErr  error
	// closing is closed when Close has been called.
	closing chan struct{}
	// drained is closed when Accept has found the backlog empty after that.
	drained   chan struct{}
	drainOnce sync.Once
}

// ListenDraining opens a DrainingListener on a TCP address.
func ListenDraining(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, eris.Errorf("want a TCP listener, got %T", l)
	}
	return &DrainingListener{
		TCPListener: tcp,
		closing:     make(chan struct{}),
		drained:     make(chan struct{}),
	}, nil
}

// Accept implements net.Listener. After Close it returns the connections of the backlog
// and then net.ErrClosed.
func (l *DrainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.isClosing() {
		return conn, err
	}
	// The error may be that of the deadline with which Close wakes Accept up.
	_ = l.SetDeadline(time.Now().Add(backlogIdleTime))
	if conn, err = l.TCPListener.Accept(); err == nil {
		return conn, nil
	}
	l.drainOnce.Do(func() { close(l.drained) })
	return nil, net.ErrClosed
}

func (l *DrainingListener) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// Close implements net.Listener. It returns when Accept has found the backlog empty, at
// most after maxBacklogTime.
func (l *DrainingListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closing)
		_ = l.SetDeadline(time.Now())
		timer := time.NewTimer(maxBacklogTime)
		defer timer.Stop()
		select {
		case <-l.drained:
		case <-timer.C:
		}
		l.closeErr = l.TCPListener.Close()
	})
	return l.closeErr
}
