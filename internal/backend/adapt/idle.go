package adapt

import (
	"net"
	"syscall"
	"time"
)

// Unasked is what has arrived on a connection on which nothing is expected.
type Unasked int

const (
	// Nothing has arrived.
	Nothing Unasked = iota
	// Data has arrived.
	Data
	// End means that the connection is closed or has failed.
	End
)

// Idle reports whether a connection is open and has no unread data.
func Idle(c net.Conn) bool { return Peek(c) == Nothing }

// Peek returns what has arrived on a connection and is unread. It peeks at the socket without
// blocking; a read with an expired deadline would fail without checking the socket. Nothing counts as
// arrived on a connection without a socket. The read deadline is cleared.
func Peek(c net.Conn) Unasked {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Nothing
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return End
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return End
	}
	found := End
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN:
			found = Nothing
		case e == nil && n > 0:
			found = Data
		}
		return true
	})
	if err != nil {
		return End
	}
	return found
}
