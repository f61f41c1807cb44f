package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a relay does to the connections that pass it.
type Mode int

// The modes.
const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// Mute hands on what hosts send and nothing that comes back.
	Mute
	// Silent hands on nothing, either way.
	Silent
)

// delayed is how late a relay hands bytes on in mode Delay.
const delayed = 40 * time.Millisecond

// relay passes connections on to an instance, and harms them.
type relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

func startRelay(ctx context.Context, addr, target string) (*relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, r.reset)
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
		go r.pump(out, in, false)
		go r.pump(in, out, true)
	}
}

// pump passes bytes on until one end closes; then it closes both.
func (r *relay) pump(to, from net.Conn, back bool) {
	defer r.wg.Done()
	defer r.drop(to, from)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch mode := r.current(); {
		case mode == Silent || mode == Mute && back:
			continue
		case mode == Delay:
			time.Sleep(delayed)
		}
		if _, err := to.Write(b[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

func (r *relay) drop(list ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) current() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// set changes the mode. What was swallowed leaves connections that no answer fits any more, so
// that they are reset when it ends.
func (r *relay) set(m Mode) {
	r.mu.Lock()
	before := r.mode
	r.mode = m
	r.mu.Unlock()
	if m == Pass && before >= Mute {
		r.reset()
	}
}

// reset ends all connections that pass now.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}
