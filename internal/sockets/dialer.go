// Package sockets opens connections that notice a silent network: to targets,
// peers and the platform.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledged is how long sent bytes may go without an acknowledgement.
	unacknowledged = 1500 * time.Millisecond
	// An idle connection is probed, so that a peer that is gone is noticed also
	// while nothing is sent.
	probeAfter    = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// NewDialer returns a dialer whose connections fail soon after the network has
// fallen silent. An answer that is merely slow breaks nothing.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeAfter,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}
