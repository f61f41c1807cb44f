package pool_test

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/platform"
)

// BenchmarkRoundTrip measures the use of a connection for one read, over loopback.
func BenchmarkRoundTrip(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for n := 0; ; {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			_, _ = r.ReadSlice('\n')
			_, _ = c.Write([]byte("READY I 1.1\r\n"))
			go func() {
				for {
					if _, err := r.ReadSlice('\n'); err != nil {
						c.Close()
						return
					}
					n++
					_, _ = c.Write([]byte("ROW x\r\nDONE 7.1f3.c.2b." + strconv.Itoa(n) + "\r\nREADY I 1.1\r\n"))
				}
			}()
		}
	}()
	p := &pool.Pool{
		Group: "g", Instance: "i", Addr: ln.Addr().String(), Slots: 2, Codec: platform.BackendCodec(), Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	p.SetConnLimits(90, 60)
	defer p.Shutdown()
	b.ReportAllocs()
	for b.Loop() {
		c, err := p.Get(context.Background(), time.Second, pool.Priority{Rank: 2, Database: "d"})
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := c.Run(time.Second, flow.Values{}, flow.Request{ID: "5c0e7a21d94b36f8", Text: "READ x"}, true); err != nil {
			b.Fatal(err)
		}
		c.Release()
	}
}

// BenchmarkJudge measures the record of the answers, of connections with 1,024 answers each.
func BenchmarkJudge(b *testing.B) {
	now := time.Unix(0, 0)
	proofs := make([]string, 1024)
	for i := range proofs {
		proofs[i] = "7.1f3.c.2b.90e1c4d2a7b3" + strconv.Itoa(i)
	}
	x := pool.Exchange{Request: flow.Request{ID: "5c0e7a21d94b36f8", Text: "READ x"}}
	var r *pool.Answers
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%len(proofs) == 0 {
			r = &pool.Answers{}
		}
		r.Judge(now, x, flow.Answer{Proof: proofs[n%len(proofs)]})
	}
}
