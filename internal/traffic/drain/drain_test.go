package drain_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/traffic/drain"
)

const (
	idle         = 2600 * time.Millisecond
	transactions = 3600 * time.Millisecond
	length       = 5500 * time.Millisecond
)

var start = time.Unix(1000, 0)

func schedule() drain.Schedule { return drain.New(start, idle, transactions, start.Add(length)) }

func at(d time.Duration) time.Time { return start.Add(d) }

// TestNoConnectionIsClosedWhileAnythingIsOwed guards against drains that cut requests or answers.
func TestNoConnectionIsClosedWhileAnythingIsOwed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drain.Conn{
			Opened: at(time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "opened"))), Used: rapid.Bool().Draw(t, "used"), Running: rapid.Bool().Draw(t, "running"),
			Received: rapid.IntRange(0, 2).Draw(t, "received"), Unsent: rapid.IntRange(0, 2).Draw(t, "unsent"), InTransaction: rapid.Bool().Draw(t, "transaction"),
		}
		now := at(time.Duration(rapid.Int64Range(0, int64(2*length)).Draw(t, "now")))
		closes := schedule().Closes(now, c)
		if closes && (c.Running || c.Received > 0 || c.Unsent > 0) {
			t.Fatalf("closed at %s: %+v", now.Sub(start), c)
		}
		if closes && c.InTransaction && now.Before(at(transactions)) {
			t.Fatalf("transaction ended at %s", now.Sub(start))
		}
		if (drain.Schedule{}).Closes(now, c) {
			t.Fatal("closed without a drain")
		}
	})
}

// TestNoRequestIsStartedThatTheLimitCouldCut guards against requests that still run when the drain ends.
func TestNoRequestIsStartedThatTheLimitCouldCut(t *testing.T) {
	Convey("Given a drain of 5.5 s that closes idle connections after 2.6 s", t, func() {
		s := schedule()
		Convey("Every request is started until then, also if its timeout is long", func() {
			So(s.StartsRequest(at(idle-1), time.Minute, false), ShouldBeTrue)
			So(s.StartsTransaction(at(idle-1)), ShouldBeTrue)
			So(s.StartsTransaction(at(idle)), ShouldBeFalse)
		})
		Convey("Later ones are started if they end before the limit for answers", func() {
			So(s.StartsRequest(at(4400*time.Millisecond), 800*time.Millisecond, false), ShouldBeTrue)
			So(s.StartsRequest(at(4401*time.Millisecond), 800*time.Millisecond, false), ShouldBeFalse)
			So(s.StartsRequest(at(idle), time.Minute, false), ShouldBeFalse)
		})
		Convey("Those of an open transaction are started while it may go on", func() {
			So(s.StartsRequest(at(transactions-1), time.Minute, true), ShouldBeTrue)
			So(s.StartsRequest(at(transactions), time.Minute, true), ShouldBeFalse)
			So(s.StartsRequest(at(transactions), time.Second, true), ShouldBeTrue)
		})
		Convey("What still runs at that limit is overdue, 300 ms before the drain ends", func() {
			So(s.Overdue(at(5199*time.Millisecond)), ShouldBeFalse)
			So(s.Overdue(at(5200*time.Millisecond)), ShouldBeTrue)
		})
	})
	Convey("A short drain keeps its order, and one without a limit refuses nothing", t, func() {
		short := drain.New(start, idle, transactions, at(time.Second))
		So(short.Answers, ShouldEqual, at(900*time.Millisecond))
		So(short.Idle, ShouldEqual, at(500*time.Millisecond))
		So(short.Transactions, ShouldEqual, short.Answers)
		unlimited := drain.New(start, idle, transactions, time.Time{})
		So(unlimited.StartsRequest(at(time.Hour), time.Minute, false), ShouldBeTrue)
		So(unlimited.Overdue(at(time.Hour)), ShouldBeFalse)
	})
	Convey("A host that does not drain starts everything", t, func() {
		So(drain.Schedule{}.StartsRequest(at(0), time.Minute, false), ShouldBeTrue)
		So(drain.Schedule{}.StartsTransaction(at(0)), ShouldBeTrue)
		So(drain.Schedule{}.Overdue(at(time.Hour)), ShouldBeFalse)
	})
}

// TestNewConnectionsGetTimeForTheirFirstRequest guards against connections closed between their opening
// and their first message.
func TestNewConnectionsGetTimeForTheirFirstRequest(t *testing.T) {
	Convey("Given a connection opened late in a drain", t, func() {
		c := drain.Conn{Opened: at(3 * time.Second)}
		So(schedule().Closes(at(3200*time.Millisecond), c), ShouldBeFalse)
		So(schedule().Closes(at(3300*time.Millisecond), c), ShouldBeTrue)
		c.Used = true
		So(schedule().Closes(at(3001*time.Millisecond), c), ShouldBeTrue)
	})
}
