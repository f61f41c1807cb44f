package adapt

import (
	"net"
	"syscall"
	"time"
)

// Idle reports whether a connection is open and has no unread data. It peeks at the socket
// without blocking; a read with an expired deadline would fail without checking the socket.
// A connection without a socket counts as idle. The read deadline is cleared.
func Idle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = e == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
