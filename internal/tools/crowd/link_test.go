package crowd_test

import (
	"context"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// dialSession opens a connection to the link of a host, as another host does.
func dialSession(ctx context.Context, addr string) (*yamux.Session, error) {
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	session, err := yamux.Client(conn, cfg)
	if err != nil {
		conn.Close()
	}
	return session, err
}

// frame returns a message for a stream.
func frame(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
}

// links calls play for the link of each kind of host.
func links(t *testing.T, name string, play func(d *deployment, addr string)) {
	t.Helper()
	hosts := map[string]func(d *deployment) string{
		"a control host": func(d *deployment) string { return d.link },
		"an entry host":  func(d *deployment) string { return d.entryLink },
	}
	for host, addr := range hosts {
		scene(t, "of peers on the link of "+host+" "+name, func(d *deployment) { play(d, addr(d)) })
	}
}

// TestPeersWithLargeMessages plays peers that send messages that no host would.
func TestPeersWithLargeMessages(t *testing.T) {
	part := make([]byte, 256<<10)
	for name, hello := range map[string][]byte{
		"that introduce themselves with 60 MiB": nil,
		"that ask for a loan with 60 MiB":       frame(&wire.Hello{Service: "errand", Host: "x"}),
		"that call the leader with 60 MiB":      frame(&wire.Hello{Service: "call", Host: "x"}),
	} {
		links(t, name, func(d *deployment, addr string) {
			crowd(24, func(ctx context.Context, _ int) {
				session, err := dialSession(ctx, addr)
				if err != nil {
					return
				}
				defer session.Close()
				s, err := session.OpenStream()
				if err != nil || sendPieces(ctx, s, append(hello, binary.AppendUvarint(nil, 60<<20)...), 1<<10) != nil {
					return
				}
				for range 239 {
					if sendPieces(ctx, s, part, len(part)) != nil {
						return
					}
				}
			})
			d.check()
		})
	}
}

// TestPeersWithManyStreams plays peers that open thousands of streams.
func TestPeersWithManyStreams(t *testing.T) {
	for name, hello := range map[string][]byte{
		"that open streams and say nothing": nil,
		"that open streams and ask nothing": frame(&wire.Hello{Service: "errand", Host: strings.Repeat("x", 1000)}),
	} {
		links(t, name, func(d *deployment, addr string) {
			crowd(8, func(ctx context.Context, _ int) {
				session, err := dialSession(ctx, addr)
				if err != nil {
					return
				}
				defer session.Close()
				for range 3000 {
					s, err := session.OpenStream()
					if err != nil || sendPieces(ctx, s, hello, 1<<10) != nil {
						return
					}
				}
			})
			d.check()
		})
	}
}

// TestPeersThatStay plays connections to the link that are left open, in numbers beyond the descriptors.
func TestPeersThatStay(t *testing.T) {
	links(t, "that stay and say nothing", func(d *deployment, addr string) {
		var left kept
		defer left.close()
		crowd(apiCrowd, func(ctx context.Context, _ int) {
			if c, err := dial(ctx, addr); err == nil {
				left.add(c)
			}
		})
		d.check()
	})
}
