package front_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// TestAnswersAreInOrderAtTheLimit guards against a refusal that overtakes the answer to the statement before
// it: the caller of a write that may have run would be told that nothing of it is kept.
func TestAnswersAreInOrderAtTheLimit(t *testing.T) {
	Convey("Given a write that still runs at the limit of a drain", t, func() {
		encoding := make(chan struct{})
		var once sync.Once
		h := startCutHost(t, 3*time.Second, nil, func(s *front.Server) {
			appendAnswer := s.Codec.AppendAnswer
			s.Codec.AppendAnswer = func(b []byte, a flow.Answer) []byte {
				if a.Code == flow.InDoubt {
					once.Do(func() { close(encoding) })
					time.Sleep(30 * time.Millisecond)
				}
				return appendAnswer(b, a)
			}
		})
		defer h.stop()
		c := h.open("c")
		defer c.Close()
		So(c.send("WRITE a b"), ShouldBeNil)
		time.Sleep(50 * time.Millisecond)
		go drainFor(h.testHost, 700*time.Millisecond)
		Convey("A statement that arrives while the write is answered gets the second answer", func() {
			<-encoding
			So(c.send("WRITE c d"), ShouldBeNil)
			var answers []string
			for range 2 {
				line, err := c.r.ReadString('\n')
				if err != nil {
					break
				}
				answers = append(answers, strings.Fields(line)[1])
				_, err = c.r.ReadString('\n')
				So(err, ShouldBeNil)
			}
			So(answers, ShouldResemble, []string{"INDOUBT", "BUSY"})
		})
	})
}

// TestRefusedTransactionRunsNothing guards against the writes of a transaction whose begin was refused, and
// which its caller has sent ahead: they would take effect at once, each on its own.
func TestRefusedTransactionRunsNothing(t *testing.T) {
	Convey("Given a caller that sends a whole transaction behind a statement that runs", t, func() {
		h := startCutHost(t, 400*time.Millisecond, nil)
		defer h.stop()
		c := h.open("c")
		defer c.Close()
		So(c.send("WRITE a b"), ShouldBeNil)
		// The drain is longer than the timeout of the write that was sent ahead.
		go drainFor(h.testHost, 8*time.Second)
		time.Sleep(50 * time.Millisecond)
		for _, text := range []string{"BEGIN", "WRITE c d", "COMMIT"} {
			So(c.send(text), ShouldBeNil)
		}
		So(c.await(), ShouldBeNil)
		line, err := c.r.ReadString('\n')
		So(err, ShouldBeNil)
		So(line, ShouldStartWith, "ERR BUSY")
		Convey("Its write does not run once the begin was refused", func() {
			for c.await() == nil && len(c.pending) > 0 {
			}
			So(h.instance.hasReached("c-3"), ShouldBeFalse)
		})
	})
}

// TestDrainKeepsConnectionWithArrivedRequest guards against closing a connection in whose socket a request
// has arrived: the caller of a write could not tell whether it has run.
func TestDrainKeepsConnectionWithArrivedRequest(t *testing.T) {
	Convey("Given a caller whose request arrives while the host is occupied with another caller", t, func() {
		blocked := make(chan struct{})
		h := startCutHost(t, 10*time.Millisecond, nil, func(s *front.Server) {
			parse := s.Codec.ParseMessage
			s.Codec.ParseMessage = func(b []byte) (front.Message, int, error) {
				if strings.HasPrefix(string(b), "QUERY other-3") {
					close(blocked)
					time.Sleep(150 * time.Millisecond)
				}
				return parse(b)
			}
		})
		defer h.stop()
		c, other := h.open("c"), h.open("other")
		defer c.Close()
		defer other.Close()
		So(c.query("WRITE a b"), ShouldBeNil)
		So(other.query("WRITE a b"), ShouldBeNil)
		go h.stopAfterDrain()
		time.Sleep(cutDrainDelay - 60*time.Millisecond)
		So(other.send("WRITE a b"), ShouldBeNil)
		So(other.send("SET occupy 1"), ShouldBeNil)
		<-blocked
		time.Sleep(100 * time.Millisecond)
		So(c.send("WRITE c d"), ShouldBeNil)
		Convey("It is answered", func() {
			So(c.await(), ShouldBeNil)
		})
	})
}
