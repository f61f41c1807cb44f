package soak_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/tools/soak"
)

// accountHistory returns a history in which a spare key was taken away at 10 s and the hot account's limit of
// 40 statements a second was lowered to 15 at 20 s, with the statements.
func accountHistory(start time.Time, statements ...soak.Statement) soak.History {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	return soak.History{
		Statements: statements,
		SpareKey:   []soak.KeyChange{{Valid: true, SentAt: start, AckedAt: start}, {SentAt: at(10), AckedAt: at(10.1)}, {Valid: true, SentAt: at(30), AckedAt: at(30.1)}},
		Limits:     []soak.AccountLimit{{Rate: 40, Burst: 40, SentAt: start, AckedAt: start}, {Rate: 15, Burst: 15, SentAt: at(20), AckedAt: at(20.1)}},
	}
}

// ran returns a statement of a caller's account that an instance ran for another account, at once.
func ran(id, account, ranFor, key string, sentAt time.Time) soak.Statement {
	return soak.Statement{ID: id, Account: account, Key: key, SentAt: sentAt, EndedAt: sentAt, Ending: soak.Answered, Runs: []mimic.Run{{Instance: "i", Account: ranFor, ArrivedAt: sentAt}}}
}

// hot returns statements of the hot account, the first at a time and further ones at equal distances.
func hot(n int, from time.Time, distance time.Duration) []soak.Statement {
	var list []soak.Statement
	for i := range n {
		list = append(list, ran(fmt.Sprint("h", i), "reports", "reports", "key-reports", from.Add(time.Duration(i)*distance)))
	}
	return list
}

func TestAccountChecks(t *testing.T) {
	start := time.Unix(1000, 0)
	none := func(string) int { return -1 }
	check := func(h soak.History) []string { return h.Check(none, none) }
	Convey("A statement that runs for its caller's account breaks nothing; one for another account does", t, func() {
		So(check(accountHistory(start, ran("a", "browse", "browse", "key-browse", start))), ShouldBeEmpty)
		So(check(accountHistory(start, ran("a", "browse", "counter", "key-browse", start))), ShouldHaveLength, 1)
	})
	Convey("A key that was taken away may be used for 3 s, and again once it is given back", t, func() {
		for seconds, violations := range map[int]int{9: 0, 12: 0, 14: 1, 29: 1, 30: 0, 40: 0} {
			h := accountHistory(start, ran("a", "browse", "browse", "key-readers-2", start.Add(time.Duration(seconds)*time.Second)))
			So(check(h), ShouldHaveLength, violations)
		}
	})
	Convey("A host that accepts an unknown key is reported", t, func() {
		So(check(soak.History{UnknownKeyAccepted: []string{"edge-1"}}), ShouldHaveLength, 1)
	})
	Convey("An account may run (40 x 5 s + 40) x 1.1 + 20 = 284 statements in a window of 5 s", t, func() {
		So(check(accountHistory(start, hot(284, start, 17*time.Millisecond)...)), ShouldBeEmpty)
		So(check(accountHistory(start, hot(285, start, 17*time.Millisecond)...)), ShouldHaveLength, 1)
	})
	Convey("A lowered limit binds the windows that begin 8 s after its acknowledgment", t, func() {
		So(check(accountHistory(start, hot(284, start.Add(28*time.Second), 17*time.Millisecond)...)), ShouldBeEmpty)
		So(check(accountHistory(start, hot(119, start.Add(29*time.Second), 17*time.Millisecond)...)), ShouldBeEmpty)
		So(check(accountHistory(start, hot(120, start.Add(29*time.Second), 17*time.Millisecond)...)), ShouldHaveLength, 1)
	})
}
