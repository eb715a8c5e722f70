package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection after a reset (TCP_CLOSE).
const tcpClose = 7

// IsReset reports whether the kernel has given the connection up, because of a reset or because the
// peer could not be reached. It works on an open *net.TCPConn, and returns false for others.
func IsReset(c net.Conn) bool {
	reset := false
	useDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset
}

// useDescriptor calls use with the descriptor of a connection if it is open and has one.
func useDescriptor(c net.Conn, use func(fd int)) {
	x, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return
	}
	// The error is that of a connection that is closed.
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}
