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

// sendBytes opens a connection to a host, writes raw bytes and reads for up to 20 ms.
func sendBytes(addr string, b []byte) {
	c, err := net.Dial("tcp", addr)
	So(err, ShouldBeNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = c.Write(b)
	_, _ = c.Read(make([]byte, 64))
}

// sendFrames opens a stream on a new connection, writes the frames unchanged and reads for up to
// 20 ms.
func sendFrames(addr string, frames ...[]byte) {
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

// withLengthPrefix returns a message as it is sent on a stream: its length as a uvarint, then its bytes.
func withLengthPrefix(b []byte) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
}

// TestMalformedHostMessages sends malformed input to every service between hosts: random bytes,
// truncated and oversized frames, and complete messages with random content. A panic in a host would
// end the test process.
func TestMalformedHostMessages(t *testing.T) {
	Convey("Given a deployment", t, func() {
		c := startCluster(t, 3, 1, false)
		c.declareAndAwaitReady(1)
		r := rand.New(rand.NewPCG(20261204, 6))
		randomBytes := func(n int) []byte {
			b := make([]byte, n)
			for i := range b {
				b[i] = byte(r.UintN(256))
			}
			return b
		}
		services := map[string]func() proto.Message{
			driver.QuorumService:   func() proto.Message { return &wire.QuorumMessage{} },
			driver.IdentityService: func() proto.Message { return &wire.Member{} },
			leader.LeaseService:    func() proto.Message { return &wire.LeaseRenewal{} },
			leader.CallService:     func() proto.Message { return &wire.ControlRequest{Method: "member"} },
			agent.RelayService:     func() proto.Message { return &wire.LeaseRenewal{} },
			lend.Service:           func() proto.Message { return &wire.LendRequest{} },
		}
		Convey("It still serves writes after malformed messages to all hosts", func() {
			for _, addr := range []string{c.ip(0) + ":7440", c.ip(1) + ":7440", c.ip(2) + ":7440", c.ip(50) + ":7440"} {
				for n := range 10 {
					sendBytes(addr, randomBytes(1+n*40))
				}
				for name, message := range services {
					hello, err := proto.Marshal(&wire.Hello{Service: name, Host: "stranger"})
					So(err, ShouldBeNil)
					sendFrames(addr, randomBytes(60))
					sendFrames(addr, withLengthPrefix(hello)[:5])
					sendFrames(addr, withLengthPrefix(hello), randomBytes(100))
					sendFrames(addr, withLengthPrefix(hello), withLengthPrefix(randomBytes(200)))
					sendFrames(addr, withLengthPrefix(hello), binary.AppendUvarint(nil, uint64(link.MaxMessageBytes)+1))
					sendFrames(addr, withLengthPrefix(hello), binary.AppendUvarint(nil, 1<<63))
					for range 15 {
						m := message()
						if _, isCall := m.(*wire.ControlRequest); !isCall {
							random.Fill(r, m.ProtoReflect(), 3)
						}
						b, err := proto.Marshal(m)
						So(err, ShouldBeNil)
						sendFrames(addr, withLengthPrefix(hello), withLengthPrefix(b))
					}
				}
			}
			c.eventually("a write", func() bool {
				s, err := openSession(c.callerAddr(0), "orders")
				if err != nil {
					return false
				}
				defer s.Close()
				return s.query("WRITE after 1").ok()
			})
		})
	})
}
