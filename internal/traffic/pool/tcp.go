package pool

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setTCPOptions makes the kernel close a connection whose peer has vanished: both unacknowledged
// data and keep-alive probes run into tcpUserTimeout. It does nothing if raw isn't a TCP
// connection.
func setTCPOptions(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: tcpUserTimeout, Interval: time.Second, Count: 2})
	sc, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = sc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	})
}
