package trial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// network simulates latency and network partitions.
type network struct {
	mu      sync.Mutex
	blocked map[string]bool // by address
}

func (n *network) setBlocked(addr string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[addr] = blocked
}

func (n *network) isBlocked(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[addr]
}

// dial opens a connection to addr with a one-way latency. While addr is blocked, dial waits and data on
// open connections is delayed. With zero latency, dial returns a plain connection, so that measurements
// of the proxy's costs don't include the simulation; blocking then affects only new connections.
func (n *network) dial(ctx context.Context, addr string, latency time.Duration) (net.Conn, error) {
	for n.isBlocked(addr) {
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
	out, in := newDelayPipe(n, addr, latency), newDelayPipe(n, addr, latency)
	go out.run(far, raw)
	go in.run(raw, far)
	return near, nil
}

// delayPipe forwards data in one direction after a delay.
type delayPipe struct {
	network *network
	addr    string
	latency time.Duration
	queue   chan delayedChunk
}

// delayedChunk is data that is delivered at a given time.
type delayedChunk struct {
	deliverAt time.Time
	data      []byte
}

const (
	pipeQueueLength = 1024 // chunks
	pipeChunkBytes  = 16 << 10
)

func newDelayPipe(n *network, addr string, latency time.Duration) *delayPipe {
	return &delayPipe{network: n, addr: addr, latency: latency, queue: make(chan delayedChunk, pipeQueueLength)}
}

// run forwards data until from is closed, then closes to.
func (p *delayPipe) run(from, to net.Conn) {
	go func() {
		defer to.Close()
		for chunk := range p.queue {
			time.Sleep(time.Until(chunk.deliverAt))
			for p.network.isBlocked(p.addr) {
				time.Sleep(5 * time.Millisecond)
			}
			if _, err := to.Write(chunk.data); err != nil {
				from.Close()
			}
		}
	}()
	defer close(p.queue)
	for {
		b := make([]byte, pipeChunkBytes)
		k, err := from.Read(b)
		if err != nil {
			return
		}
		p.queue <- delayedChunk{time.Now().Add(p.latency), b[:k]}
	}
}

// newAdapter returns a PostgreSQL adapter for addr whose connections go over the simulated network.
func (n *network) newAdapter(addr, database string, latency time.Duration) adapt.Server {
	return adapt.PostgresWithDial(addr, "agatespindle", database, func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, addr, latency)
	})
}
