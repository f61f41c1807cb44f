package rig

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// windowBytes and segmentBytes make the connection's window as small as that of a link between
	// machines: on loopback a whole answer would fit into the kernel's buffers.
	windowBytes  = 16 << 10
	segmentBytes = 1400
)

// Link is a proxy that plays a machine's own link: what the machine sends to its clients shares one
// bandwidth. It neither drops nor resets anything.
type Link struct {
	Addr string

	ln      net.Listener
	target  string
	perByte time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewLink starts a proxy to target with a bandwidth in Mbit/s.
func NewLink(target string, mbps float64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), ln: ln, target: target, perByte: time.Duration(8 / mbps * float64(time.Microsecond))}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l, nil
}

// forward copies both directions until one of them ends.
func (l *Link) forward(client net.Conn) {
	defer client.Close()
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		ctrlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			}
		})
		if ctrlErr != nil {
			return ctrlErr
		}
		return err
	}}
	machine, err := d.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer machine.Close()
	go func() {
		_, _ = io.Copy(machine, client)
		machine.Close()
	}()
	b := make([]byte, 4<<10)
	for {
		n, err := machine.Read(b)
		if n > 0 {
			l.transmit(n)
			if _, err := client.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// transmit waits until n bytes have passed the link.
func (l *Link) transmit(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(n) * l.perByte)
	at := l.next
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}
