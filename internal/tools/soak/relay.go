package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// RelayMode is what a relay does with the data of its connections.
type RelayMode int

// Relay modes.
const (
	// Forward forwards data both ways.
	Forward RelayMode = iota
	// Delay forwards data both ways after relayDelay.
	Delay
	// DropReplies forwards data to the instance and discards its replies.
	DropReplies
	// DropAll discards data both ways.
	DropAll
)

// relayDelay is the delay of each chunk of data in mode Delay.
const relayDelay = 40 * time.Millisecond

// relay is a TCP proxy in front of an instance that injects network faults.
type relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  RelayMode
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// startRelay listens on addr and forwards connections to target, in mode Forward at first, until ctx is
// canceled.
func startRelay(ctx context.Context, addr, target string) (*relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, r.resetConns)
	context.AfterFunc(ctx, func() { ln.Close() })
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns[in], r.conns[out] = struct{}{}, struct{}{}
		r.mu.Unlock()
		r.wg.Add(2)
		go r.copyBytes(out, in, false)
		go r.copyBytes(in, out, true)
	}
}

// copyBytes copies data until one end closes, then closes both. replies is set for the direction
// from the instance.
func (r *relay) copyBytes(to, from net.Conn, replies bool) {
	defer r.wg.Done()
	defer r.closeConns(to, from)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch mode := r.currentMode(); {
		case mode == DropAll || mode == DropReplies && replies:
			continue
		case mode == Delay:
			time.Sleep(relayDelay)
		}
		if _, err := to.Write(b[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func (r *relay) closeConns(list ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) currentMode() RelayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// setMode changes the mode. A change from a mode that discards data to Forward resets the open
// connections, because on them answers no longer match requests.
func (r *relay) setMode(m RelayMode) {
	r.mu.Lock()
	before := r.mode
	r.mode = m
	r.mu.Unlock()
	if m == Forward && before >= DropReplies {
		r.resetConns()
	}
}

// resetConns closes all open connections with a TCP reset.
func (r *relay) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}
