package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/front"
)

// slack is how long before the end of its connection a statement may be sent without getting an answer.
const slack = 200 * time.Millisecond

// keepAhead keeps a number of statements sent ahead, and sends one more after each answer, until the
// connection ends. It returns an error if a statement that was sent before slack got no whole answer.
func keepAhead(c net.Conn, ahead int) error {
	r := bufio.NewReader(c)
	if _, err := readAnswer(r); err != nil {
		return err
	}
	var sent []time.Time
	send := func() error {
		sent = append(sent, time.Now())
		_, err := fmt.Fprintf(c, "QUERY %d WRITE a b\r\n", len(sent))
		return err
	}
	for range ahead {
		if err := send(); err != nil {
			return err
		}
	}
	for answered := 0; ; answered++ {
		if _, err := readAnswer(r); err != nil {
			if waited := time.Since(sent[answered]); answered < len(sent) && waited > slack {
				return fmt.Errorf("no whole answer to statement %d, sent %s ago: %w", answered+1, waited, err)
			}
			return nil
		}
		_ = send()
	}
}

// drainFor drains a host with a limit and stops it.
func drainFor(h testHost, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h.Drain(ctx)
	h.stop()
}

// TestStatementsSentAheadAreNotCutAtADrain guards against sessions that are never idle, whose statements
// are cut at the limit of a drain.
func TestStatementsSentAheadAreNotCutAtADrain(t *testing.T) {
	Convey("Given callers that always have statements sent ahead", t, func() {
		h := startHostWithInstance(t, 60*time.Millisecond, nil, func(s *front.Server) {
			s.DrainDelay, s.TransactionLimit = 100*time.Millisecond, 500*time.Millisecond
		})
		ended := make(chan error, 4)
		for range cap(ended) {
			c := openSession(h.Addr)
			defer c.Close()
			go func() { ended <- keepAhead(c, 4) }()
		}
		time.Sleep(200 * time.Millisecond)
		Convey("A drain answers all of them before it closes the connections", func() {
			drainFor(h, 2500*time.Millisecond)
			for range cap(ended) {
				So(<-ended, ShouldBeNil)
			}
		})
	})
}

// TestStatementStillRunningAtTheLimitIsAnswered guards against statements that are cut without a word.
func TestStatementStillRunningAtTheLimitIsAnswered(t *testing.T) {
	Convey("Given a write that runs for longer than the drain", t, func() {
		h := startHostWithInstance(t, 3*time.Second, nil, func(s *front.Server) {})
		c := openSession(h.Addr)
		defer c.Close()
		r := bufio.NewReader(c)
		_, err := readAnswer(r)
		So(err, ShouldBeNil)
		fmt.Fprint(c, "QUERY 1 WRITE a b\r\n")
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		go drainFor(h, 700*time.Millisecond)
		Convey("Its caller is told that it may have run, and what follows is refused", func() {
			line, err := r.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR INDOUBT")
			So(time.Since(started), ShouldBeBetween, 500*time.Millisecond, 700*time.Millisecond)
			_, err = readAnswer(r)
			So(err, ShouldBeNil)
		})
	})
}

// TestStatementsThatCouldNotEndAreRefused guards against statements that are started shortly before the
// limit of a drain.
func TestStatementsThatCouldNotEndAreRefused(t *testing.T) {
	Convey("Given a drain that another caller's transaction keeps open", t, func() {
		h := startHostWithInstance(t, 300*time.Millisecond, nil, func(s *front.Server) {
			s.DrainDelay, s.TransactionLimit = 100*time.Millisecond, 2*time.Second
		})
		other := openSession(h.Addr)
		defer other.Close()
		r := bufio.NewReader(other)
		fmt.Fprint(other, "QUERY 1 BEGIN\r\n")
		for range 2 {
			_, err := readAnswer(r)
			So(err, ShouldBeNil)
		}
		drained := make(chan struct{})
		go func() {
			drainFor(h, 1500*time.Millisecond)
			close(drained)
		}()
		time.Sleep(1100 * time.Millisecond)
		Convey("A session opened then is refused as not run, and the transaction is told of its end", func() {
			line, err := ask(h.Addr, "WRITE a b")
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR BUSY")
			fmt.Fprint(other, "QUERY 2 WRITE a b\r\n")
			line, err = r.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldStartWith, "ERR ABORTED")
			<-drained
		})
	})
}

// TestLateBeginIsRefused guards against transactions that a drain would end soon after their begin.
func TestLateBeginIsRefused(t *testing.T) {
	Convey("Given a drain that closes idle connections", t, func() {
		h := startHostWithInstance(t, 150*time.Millisecond, nil, func(s *front.Server) {
			s.DrainDelay, s.TransactionLimit = 100*time.Millisecond, time.Second
		})
		c := openSession(h.Addr)
		defer c.Close()
		r := bufio.NewReader(c)
		_, err := readAnswer(r)
		So(err, ShouldBeNil)
		go drainFor(h, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(c, "QUERY 1 WRITE a b\r\nQUERY 2 BEGIN\r\n")
		_, err = readAnswer(r)
		So(err, ShouldBeNil)
		line, err := r.ReadString('\n')
		So(err, ShouldBeNil)
		So(line, ShouldStartWith, "ERR BUSY")
		Convey("The connection is closed after the refusal", func() {
			_, err := readAnswer(r)
			So(err, ShouldBeNil)
			_, err = r.ReadByte()
			So(err, ShouldEqual, io.EOF)
		})
	})
}
