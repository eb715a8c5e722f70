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
	x, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset
}
