package trial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// network gives connections latency and cuts addresses off.
type network struct {
	mu  sync.Mutex
	cut map[string]bool
}

func (n *network) setCut(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = on
}

func (n *network) isCut(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[addr]
}

// dial opens a connection with a one-way latency; nothing passes while its address is cut.
// Without a latency it is a plain one, so that costs are the proxy's own.
func (n *network) dial(ctx context.Context, addr string, latency time.Duration) (net.Conn, error) {
	for n.isCut(addr) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	d := net.Dialer{Timeout: time.Second}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if latency == 0 {
		return raw, nil
	}
	near, far := net.Pipe()
	out, in := newPipe(n, addr, latency), newPipe(n, addr, latency)
	go out.run(far, raw)
	go in.run(raw, far)
	return near, nil
}

// pipe carries bytes one way, late.
type pipe struct {
	n       *network
	addr    string
	latency time.Duration
	queue   chan late
}

type late struct {
	at time.Time
	b  []byte
}

const (
	pipeDepth = 1024
	pipeChunk = 16 << 10
)

func newPipe(n *network, addr string, latency time.Duration) *pipe {
	return &pipe{n: n, addr: addr, latency: latency, queue: make(chan late, pipeDepth)}
}

func (p *pipe) run(from, to net.Conn) {
	go func() {
		defer to.Close()
		for l := range p.queue {
			time.Sleep(time.Until(l.at))
			for p.n.isCut(p.addr) {
				time.Sleep(5 * time.Millisecond)
			}
			if _, err := to.Write(l.b); err != nil {
				from.Close()
			}
		}
	}()
	defer close(p.queue)
	for {
		b := make([]byte, pipeChunk)
		k, err := from.Read(b)
		if err != nil {
			return
		}
		p.queue <- late{time.Now().Add(p.latency), b[:k]}
	}
}

// server returns an adapter whose connections go over the network.
func (n *network) server(addr, database string, latency time.Duration) adapt.Server {
	return adapt.PostgresWithDial(addr, "agatespindle", database, func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, addr, latency)
	})
}
