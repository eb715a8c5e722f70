// Package sockets provides a dialer for TCP connections that fail soon after the
// remote host has become unreachable. The connections to targets, to peers and to the
// store of the prepared platform use it.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the longest time that sent bytes may remain unacknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// TCP keep-alive detects an unreachable host also while nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail soon after the remote host has
// stopped acknowledging. A slow response does not fail a connection. The timeout
// applies to dialing.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
