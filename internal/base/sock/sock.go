// Package sock reads the state of sockets from the kernel.
package sock

import "golang.org/x/sys/unix"

// Pending returns the number of bytes that have arrived on a TCP socket and have not been read, and the
// number of bytes that have been written to it and that the other end has not acknowledged. A close
// with bytes unread, or bytes that arrive after it, make the kernel drop the latter. It returns an error if
// the kernel does not tell.
func Pending(fd int) (unread, unacknowledged int, err error) {
	if unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ); err != nil {
		return 0, 0, err
	}
	if unacknowledged, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ); err != nil {
		return 0, 0, err
	}
	return unread, unacknowledged, nil
}
