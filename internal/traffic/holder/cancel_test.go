package holder_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLateCancelHitsNoOtherCaller guards against a cancel request that ends the statement of another caller.
func TestLateCancelHitsNoOtherCaller(t *testing.T) {
	Convey("Given a cancel request that reaches the backend server after the statement has ended", t, func() {
		d := startDeployment(t)
		d.mu.Lock()
		d.cancelDelay = 3 * settleTime
		d.mu.Unlock()
		d.onAnswer(func(w net.Conn, request string, answer []byte) {
			switch {
			case strings.Contains(request, "first"):
				time.Sleep(settleTime)
			case strings.Contains(request, "second"):
				time.Sleep(4 * settleTime)
			}
			_, _ = w.Write(answer)
		})
		first := d.open()
		first.f.Send(&pgproto3.Query{String: "SELECT 'first'"})
		So(first.f.Flush(), ShouldBeNil)
		time.Sleep(settleTime / 2)
		So(d.cancel(first), ShouldBeNil)
		So(first.receive(-1).rows, ShouldResemble, []string{"first"})
		opened := d.host.Meter.CounterValue("connections.opened")
		Convey("The next caller's is answered, on another connection", func() {
			So(d.open().exec("SELECT 'second'").rows, ShouldResemble, []string{"second"})
			So(d.host.Meter.CounterValue("connections.opened"), ShouldEqual, opened+1)
		})
	})
}

// cancel sends a cancel request for the session.
func (d *deployment) cancel(s *session) error {
	conn, err := net.Dial("tcp", d.host.Config.CallerAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: s.key.ProcessID, SecretKey: s.key.SecretKey}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(b); err != nil {
		return err
	}
	time.Sleep(settleTime / 5)
	return nil
}
