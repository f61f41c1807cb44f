package host_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// sendUntilClosed sends one statement after the other, each right after the last answer, until one is
// refused because the host shuts down. It returns an error if one gets no answer.
func sendUntilClosed(conn *pgconn.PgConn, sql string) error {
	for i := 0; ; i++ {
		err := exec(conn, sql)
		var e *pgconn.PgError
		if errors.As(err, &e) && e.Code == "57P01" && verdict(err) == "NotRun" {
			return nil
		}
		if err != nil {
			return fmt.Errorf("statement %d: %w", i, err)
		}
	}
}

// TestDrainClosesBusySessionsAfterAnAnswer guards against sessions that a drain never closes, since they
// are always busy, and whose statements are broken off at its limit.
func TestDrainClosesBusySessionsAfterAnAnswer(t *testing.T) {
	Convey("Given callers that send one statement after the other", t, func() {
		const limit = 12 * time.Second
		d := startDeployment(t, 2, limit)
		holder, other := d.holder()
		ended := make(chan error, 16)
		for i := range cap(ended) {
			conn, err := d.connect([]string{holder, other}[i%2])
			So(err, ShouldBeNil)
			defer conn.Close(context.Background())
			So(exec(conn, "SET agatespindle.timeout = '2s'"), ShouldBeNil)
			go func() { ended <- sendUntilClosed(conn, "SELECT 1 /* wait 50ms */") }()
		}
		time.Sleep(200 * time.Millisecond)
		Convey("A drain closes each of them after an answer, long before its limit", func() {
			first := <-d.shutDown(holder)
			second := <-d.shutDown(other)
			t.Logf("drains took %s and %s", first, second)
			So(first, ShouldBeLessThan, limit/2)
			So(second, ShouldBeLessThan, limit/2)
			for range cap(ended) {
				So(<-ended, ShouldBeNil)
			}
		})
	})
}

// TestAnswersOnTheirWayAreSent guards against answers that are cut because the host closes the connection
// while a part of them is still buffered.
func TestAnswersOnTheirWayAreSent(t *testing.T) {
	Convey("Given a caller that has not yet read an answer larger than all socket buffers", t, func() {
		d := startDeployment(t, 1, 10*time.Second)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		send(f, largeQuery)
		time.Sleep(500 * time.Millisecond)
		Convey("A drain sends it", func() {
			took := d.shutDown("entry-1")
			So(readAnswer(f), ShouldResemble, answer{bytes: largeBytes})
			<-took
		})
		Convey("It is sent before the connection ends at the caller's own wish", func() {
			f.Send(&pgproto3.Terminate{})
			So(f.Flush(), ShouldBeNil)
			So(readAnswer(f), ShouldResemble, answer{bytes: largeBytes})
			_, err := f.Receive()
			So(err, ShouldNotBeNil)
		})
		Convey("It is sent before an error that ends the session", func() {
			_, err := conn.Write([]byte{'?', 0, 0, 0, 4})
			So(err, ShouldBeNil)
			So(readAnswer(f), ShouldResemble, answer{bytes: largeBytes})
			So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
		})
	})
}

// TestAnswersInTheKernelAreSent guards against answers that the kernel drops: it does so if a connection is
// closed before they are sent and further bytes of the caller arrive.
func TestAnswersInTheKernelAreSent(t *testing.T) {
	Convey("A caller that reads late and sends a further request gets its answer, then a refusal", t, func() {
		d := startDeployment(t, 1, 10*time.Second)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		send(f, mediumQuery)
		time.Sleep(300 * time.Millisecond)
		took := d.shutDown("entry-1")
		time.Sleep(300 * time.Millisecond)
		send(f, "SELECT 'x'")
		time.Sleep(300 * time.Millisecond)
		So(readAnswer(f), ShouldResemble, answer{bytes: mediumBytes})
		So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
		<-took
	})
}

// TestFloodDoesNotCutTheRunningRequest guards against a running request whose answer is cut because its
// caller sends too much meanwhile.
func TestFloodDoesNotCutTheRunningRequest(t *testing.T) {
	Convey("A caller that sends too much while a request runs gets its answer, then an error", t, func() {
		d := startDeployment(t, 1, 10*time.Second)
		conn, f := d.dialRaw("entry-1")
		defer conn.Close()
		f.Send(&pgproto3.Query{String: "SELECT 'x' /* wait 2s */"})
		So(f.Flush(), ShouldBeNil)
		go func() {
			b := make([]byte, 1<<20)
			for i := range b {
				b[i] = 'd'
			}
			for range 96 {
				if _, err := conn.Write(b); err != nil {
					return
				}
			}
		}()
		So(readAnswer(f), ShouldResemble, answer{bytes: 1})
		So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
	})
}

// TestRequestsSentAheadAreAnsweredDuringADrain guards against requests that a draining host has read and
// never answers.
func TestRequestsSentAheadAreAnsweredDuringADrain(t *testing.T) {
	Convey("Given callers that have sent requests ahead, of both query protocols", t, func() {
		const sentAhead = 300
		// The last request is sent ahead by some seconds, and its timeout of 5 s ends in the drain.
		d := startDeployment(t, 2, 30*time.Second)
		var frontends []*pgproto3.Frontend
		for i := range 8 {
			conn, f := d.dialRaw([]string{"entry-1", "entry-2"}[i%2])
			defer conn.Close()
			frontends = append(frontends, f)
			for range sentAhead {
				if i < 4 {
					f.Send(&pgproto3.Query{String: "SELECT 'x' /* wait 1ms */"})
					continue
				}
				f.Send(&pgproto3.Parse{Query: "SELECT 'x' /* wait 1ms */"})
				f.Send(&pgproto3.Bind{})
				f.Send(&pgproto3.Execute{})
				f.Send(&pgproto3.Sync{})
			}
			So(f.Flush(), ShouldBeNil)
		}
		time.Sleep(50 * time.Millisecond)
		Convey("Drains that start together answer all of them, then end the sessions", func() {
			first, second := d.shutDown("entry-1"), d.shutDown("entry-2")
			for _, f := range frontends {
				for range sentAhead {
					So(readAnswer(f), ShouldResemble, answer{bytes: 1})
				}
				So(readAnswer(f), ShouldResemble, answer{verdict: "NotRun", fatal: true})
			}
			<-first
			<-second
		})
	})
}

// TestIncompleteRequestsDoNotHoldUpADrain guards against drains that wait until their limit for the rest
// of a request.
func TestIncompleteRequestsDoNotHoldUpADrain(t *testing.T) {
	Convey("Callers that have sent a part of a request, or a batch without Sync, learn that it has not run", t, func() {
		const limit = 20 * time.Second
		d := startDeployment(t, 1, limit)
		partial, f1 := d.dialRaw("entry-1")
		defer partial.Close()
		_, err := partial.Write([]byte{'Q', 0, 0, 0, 20, 'S', 'E'})
		So(err, ShouldBeNil)
		batch, f2 := d.dialRaw("entry-1")
		defer batch.Close()
		f2.Send(&pgproto3.Parse{Query: "SELECT 1"})
		So(f2.Flush(), ShouldBeNil)
		time.Sleep(50 * time.Millisecond)
		took := d.shutDown("entry-1")
		So(readAnswer(f1), ShouldResemble, answer{verdict: "NotRun", fatal: true})
		So(readAnswer(f2), ShouldResemble, answer{verdict: "NotRun", fatal: true})
		So(<-took, ShouldBeLessThan, limit/4)
	})
}
