package node_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/tools/random"
	"github.com/agatespindle/agatespindle/internal/traffic/lend"
)

// speak writes raw bytes to a host and reads what comes for a moment.
func speak(addr string, b []byte) {
	c, err := net.Dial("tcp", addr)
	So(err, ShouldBeNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = c.Write(b)
	_, _ = c.Read(make([]byte, 64))
}

// stream opens a stream of a session of its own and writes frames to it as they are.
func stream(addr string, frames ...[]byte) {
	raw, err := net.Dial("tcp", addr)
	So(err, ShouldBeNil)
	defer raw.Close()
	session, err := yamux.Client(raw, yamux.DefaultConfig())
	So(err, ShouldBeNil)
	defer session.Close()
	s, err := session.OpenStream()
	So(err, ShouldBeNil)
	_ = s.SetDeadline(time.Now().Add(20 * time.Millisecond))
	for _, b := range frames {
		_, _ = s.Write(b)
	}
	_, _ = s.Read(make([]byte, 64))
}

// frame returns a message as it stands on a stream, the length before it.
func frame(b []byte) []byte { return append(binary.AppendUvarint(nil, uint64(len(b))), b...) }

// TestMalformedMessagesOfHosts sends what no host sends to every service that hosts offer each other:
// bytes, half and oversized frames, and whole messages with random content. A panic would end this
// test's process.
func TestMalformedMessagesOfHosts(t *testing.T) {
	Convey("Given a deployment", t, func() {
		c := start(t, 3, 1, false)
		c.serve(1)
		r := rand.New(rand.NewPCG(20261204, 6))
		bytes := func(n int) []byte {
			b := make([]byte, n)
			for i := range b {
				b[i] = byte(r.UintN(256))
			}
			return b
		}
		services := map[string]func() proto.Message{
			driver.Service:      func() proto.Message { return &wire.QuorumMessage{} },
			leader.LeaseService: func() proto.Message { return &wire.LeaseRenewal{} },
			leader.CallService:  func() proto.Message { return &wire.ControlRequest{Method: "member"} },
			agent.RelayService:  func() proto.Message { return &wire.LeaseRenewal{} },
			lend.Service:        func() proto.Message { return &wire.LendRequest{} },
		}
		Convey("It goes on, whatever its hosts are sent", func() {
			for _, addr := range []string{c.ip(0) + ":7440", c.ip(1) + ":7440", c.ip(2) + ":7440", c.ip(50) + ":7440"} {
				for n := range 10 {
					speak(addr, bytes(1+n*40))
				}
				for name, message := range services {
					hello, err := proto.Marshal(&wire.Hello{Service: name, Host: "stranger"})
					So(err, ShouldBeNil)
					stream(addr, bytes(60))
					stream(addr, frame(hello)[:5])
					stream(addr, frame(hello), bytes(100))
					stream(addr, frame(hello), frame(bytes(200)))
					stream(addr, frame(hello), binary.AppendUvarint(nil, uint64(link.MaxMessageBytes)+1))
					stream(addr, frame(hello), binary.AppendUvarint(nil, 1<<63))
					for range 15 {
						m := message()
						if _, isCall := m.(*wire.ControlRequest); !isCall {
							random.Fill(r, m.ProtoReflect(), 3)
						}
						b, err := proto.Marshal(m)
						So(err, ShouldBeNil)
						stream(addr, frame(hello), frame(b))
					}
				}
			}
			c.eventually("a write", func() bool {
				s, err := dial(c.front(0), "orders")
				if err != nil {
					return false
				}
				defer s.Close()
				return s.ask("WRITE after 1").ok()
			})
		})
	})
}
