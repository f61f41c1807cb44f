package adapt

import (
	"net"
	"syscall"
	"time"
)

// Quiet reports whether a connection is open and has brought nothing that was not asked for.
// It looks at the socket without waiting: a read with a deadline that has passed would not
// look at all. A connection without a socket counts as quiet. The read deadline is removed.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
