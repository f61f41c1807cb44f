package pool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/pool"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

var (
	begin  = flow.Request{Op: flow.BeginReadWriteTx}
	locate = flow.Request{Op: flow.QueryPosition}
)

// commit returns the request that commits a transaction.
func commit(id string) flow.Request { return flow.Request{ID: id, Text: "COMMIT", Writes: true} }

// exec returns a request that runs a prepared write.
func exec(id, template string) flow.Request {
	return flow.Request{Op: flow.ExecPrepared, ID: id, Text: "k", Template: template, Writes: true}
}

// TestRepeatedAnswerIsNotTaken guards against an answer that an instance gives again after the next statement was
// sent, and that is taken for the answer to that statement.
func TestRepeatedAnswerIsNotTaken(t *testing.T) {
	Convey("Given an instance that may give an answer again", t, func() {
		s, p := startStutterer(t)
		getsItsOwn := func(id string) {
			a := alone(p, write(id))
			So(a.ok(), ShouldBeTrue)
			So(s.owner(a.Proof), ShouldEqual, id)
			health, _ := p.Health()
			So(health.IsZero(), ShouldBeTrue)
			So(p.Down(), ShouldBeFalse)
		}
		Convey("A write that gets the answer to another one is in doubt", func() {
			So(alone(p, write("a")).ok(), ShouldBeTrue)
			s.set(nil, again("WRITE", 1, 1), nil)
			b := alone(p, write("b"))
			So(b.ok(), ShouldBeFalse)
			So(b.promised(), ShouldBeFalse)
			So(p.Meter.CounterValue("answers.repeated"), ShouldEqual, 1)
			getsItsOwn("c")
		})
		Convey("A read that gets the answer to another one is retried", func() {
			So(alone(p, read("a")).ok(), ShouldBeTrue)
			s.set(nil, again("READ", 1, 1), nil)
			b := alone(p, read("b"))
			So(b.ok(), ShouldBeFalse)
			So(b.verdict.Retry, ShouldBeTrue)
			getsItsOwn("c")
		})
		Convey("A refusal is no promise for the next write", func() {
			s.set(refuse("WRITE", "BUSY"), nil, nil)
			So(alone(p, write("a")).promised(), ShouldBeTrue)
			s.set(nil, again("WRITE", 1, 1), nil)
			b := alone(p, write("b"))
			time.Sleep(arrival)
			So(b.promised() && s.isKept("b"), ShouldBeFalse)
			s.set(nil, nil, nil)
			getsItsOwn("c")
		})
		Convey("A connection that gave an error isn't used again, as the error may come again", func() {
			s.set(refuse("READ", "BUSY"), nil, nil)
			So(alone(p, read("a")).verdict.Code, ShouldEqual, flow.Busy)
			s.set(nil, nil, nil)
			So(p.Meter.CounterValue("connections.retired.error"), ShouldEqual, 1)
			getsItsOwn("c")
			So(p.Meter.CounterValue("connections.opened"), ShouldEqual, 2)
		})
		Convey("A connection whose instance lags is used until it seems to lag again", func() {
			lagging := read("a")
			lagging.MinPosition = token.Position{Term: 1, Position: s.moveOn(0).Position + 5}
			s.set(refuse("READ", "LAGGING"), nil, nil)
			lags := func() {
				h := take(p)
				So(run(h, flow.Values{}, lagging, flow.Reads, true).verdict.Code, ShouldEqual, flow.Behind)
				h.Release()
			}
			lags()
			So(p.Meter.CounterValue("connections.opened"), ShouldEqual, 1)
			s.moveOn(1)
			lags()
			So(p.Meter.CounterValue("connections.retired.doubt"), ShouldEqual, 1)
			s.set(nil, nil, nil)
			getsItsOwn("c")
			So(p.Meter.CounterValue("connections.opened"), ShouldEqual, 2)
		})
		Convey("A repeated LAGGING is no answer to a request without a position", func() {
			lagging := read("a")
			lagging.MinPosition = token.Position{Term: 1, Position: s.moveOn(0).Position + 5}
			s.set(refuse("READ", "LAGGING"), again("WRITE", 1, 1), nil)
			h := take(p)
			So(run(h, flow.Values{}, lagging, flow.Reads, true).verdict.Code, ShouldEqual, flow.Behind)
			h.Release()
			b := alone(p, write("b"))
			time.Sleep(arrival)
			So(b.promised() && s.isKept("b"), ShouldBeFalse)
			s.set(nil, nil, nil)
			getsItsOwn("c")
		})
		Convey("After a rollback whose answer was an earlier one, the next statement is not answered by the rollback", func() {
			end := func() {
				h := take(p)
				So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
				So(run(h, flow.Values{}, flow.Request{Op: flow.RollbackTx}, flow.Reads, true).ok(), ShouldBeTrue)
				h.Release()
			}
			end()
			s.set(nil, again("ROLLBACK", 2, 2), nil)
			s.setHold(func(text string) bool { return text == "ROLLBACK" })
			end()
			s.setHold(nil)
			s.set(nil, nil, nil)
			b := alone(p, write("b"))
			time.Sleep(arrival)
			So(b.promised() && s.isKept("b"), ShouldBeFalse)
			getsItsOwn("c")
		})
		Convey("The answer to a commit is none to the next one", func() {
			transact := func(id string) told {
				h := take(p)
				So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
				So(run(h, flow.Values{}, write(id), flow.Pending, false).ok(), ShouldBeTrue)
				a := run(h, flow.Values{}, commit("c"+id), flow.Writes, true)
				h.Release()
				return a
			}
			So(transact("a").ok(), ShouldBeTrue)
			s.set(refuse("COMMIT", "RDONLY"), again("COMMIT", 3, 3), nil)
			b := transact("b")
			So(s.isKept("b"), ShouldBeFalse)
			So(b.ok(), ShouldBeFalse)
			s.set(nil, nil, nil)
			getsItsOwn("c")
		})
		Convey("A write after a transaction was refused is no part of one", func() {
			h := take(p)
			So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
			So(run(h, flow.Values{}, write("a"), flow.Pending, false).ok(), ShouldBeTrue)
			So(run(h, flow.Values{}, commit("ca"), flow.Writes, true).ok(), ShouldBeTrue)
			h.Release()
			s.set(refuse("BEGIN", "RDONLY"), again("BEGIN", 1, 1), nil)
			s.setHold(func(string) bool { return true })
			h = take(p)
			opened := run(h, flow.Values{}, begin, flow.Reads, false)
			So(opened.Position, ShouldResemble, token.Position{})
			b := run(h, flow.Values{}, write("b"), flow.Pending, false)
			time.Sleep(arrival)
			h.Close()
			So(s.isKept("b"), ShouldBeTrue)
			So(b.ok(), ShouldBeFalse)
			So(b.promised(), ShouldBeFalse)
			getsItsOwn("c")
		})
		Convey("The same is in doubt if the connection breaks", func() {
			h := take(p)
			So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
			So(run(h, flow.Values{}, write("a"), flow.Pending, false).ok(), ShouldBeTrue)
			So(run(h, flow.Values{}, commit("ca"), flow.Writes, true).ok(), ShouldBeTrue)
			h.Release()
			s.set(refuse("BEGIN", "RDONLY"), again("BEGIN", 1, 1), nil)
			h = take(p)
			s.setMute(true)
			So(run(h, flow.Values{}, begin, flow.Reads, false).ok(), ShouldBeTrue)
			b := run(h, flow.Values{}, write("b"), flow.Pending, false)
			h.Close()
			So(s.isKept("b"), ShouldBeTrue)
			So(b.promised(), ShouldBeFalse)
		})
		Convey("A refused session value is no promise for the write after it", func() {
			So(aloneWith(p, flow.Values{}.With("x", "1"), write("a")).ok(), ShouldBeTrue)
			s.set(refuse("SET", "BUSY"), again("SET", 1, 1), nil)
			b := aloneWith(p, flow.Values{}.With("x", "2"), write("b"))
			time.Sleep(arrival)
			So(b.promised() && s.isKept("b"), ShouldBeFalse)
			s.set(nil, nil, nil)
			getsItsOwn("c")
		})
		Convey("A refused preparing leaves no answer to the next statement", func() {
			So(alone(p, exec("a", "one")).ok(), ShouldBeTrue)
			s.set(refuse("PREPARE", "BUSY"), again("PREPARE", 1, 1), nil)
			So(alone(p, exec("b", "two")).ok(), ShouldBeFalse)
			s.set(nil, nil, nil)
			getsItsOwn("c")
		})
		Convey("A second greeting leaves the write that gets it in doubt", func() {
			s.set(nil, again("WRITE", 0, 0), nil)
			b := alone(p, write("b"))
			So(b.ok(), ShouldBeFalse)
			So(b.promised(), ShouldBeFalse)
			getsItsOwn("c")
		})
		Convey("An instance that leads no more doesn't prove its position with an old answer", func() {
			So(alone(p, locate).ok(), ShouldBeTrue)
			s.set(refuse("BEGIN", "RDONLY"), again("BEGIN", 1, 2), nil)
			So(alone(p, locate).ok(), ShouldBeFalse)
		})
		for where, first := range map[string]int{"BEGIN": 1, "ROLLBACK": 2} {
			Convey("An old position is no proof, from "+where, func() {
				So(alone(p, locate).ok(), ShouldBeTrue)
				latest := s.moveOn(5)
				s.set(nil, again(where, first, 2), nil)
				a := alone(p, locate)
				So(a.ok() && a.Position.Before(latest), ShouldBeFalse)
			})
		}
		Convey("An instance without writes proves its position again and again", func() {
			for range 5 {
				a := alone(p, locate)
				So(a.ok(), ShouldBeTrue)
				So(a.Position, ShouldResemble, s.moveOn(0))
			}
		})
	})
}

// TestConnectionIsRetiredBeforeItsRecordIsFull guards against a record of answers that grows without a bound or
// forgets, so that an old answer passes for a new one.
func TestConnectionIsRetiredBeforeItsRecordIsFull(t *testing.T) {
	Convey("Given an instance that answers many statements", t, func() {
		s, p := startStutterer(t)
		for n := range 2500 {
			So(alone(p, read(fmt.Sprint("s", n))).ok(), ShouldBeTrue)
		}
		Convey("No connection gave more than 1,024 answers, and few were opened", func() {
			So(s.mostAnswers(), ShouldBeLessThanOrEqualTo, 1025)
			So(p.Meter.CounterValue("connections.opened"), ShouldBeBetween, 2, 5)
			So(p.Meter.CounterValue("connections.retired.full"), ShouldEqual, 2)
			So(p.Meter.CounterValue("connections.failed"), ShouldEqual, 0)
		})
	})
}

// TestInstanceThatRepeatsAnswersNeverMisleads plays statements at an instance that gives any earlier answer again,
// any number of times, before or after the true one, and refuses some statements.
func TestInstanceThatRepeatsAnswersNeverMisleads(t *testing.T) {
	for seed := range uint64(60) {
		Convey(fmt.Sprint("Given an instance that stutters as seed ", seed, " says"), t, func() {
			s, p := startStutterer(t)
			r := rand.New(rand.NewPCG(seed, 51))
			stutter := func(_ string, given []string) []string {
				var list []string
				for len(given) > 0 && r.IntN(4) == 0 {
					list = append(list, given[r.IntN(len(given))])
				}
				return list
			}
			s.set(func(text string) string {
				code := ""
				switch r.IntN(12) {
				case 0:
					code = "BUSY"
				case 1:
					code = "RDONLY"
				}
				if code == "RDONLY" && !strings.HasPrefix(text, "WRITE") && text != "BEGIN" {
					code = ""
				}
				return code
			}, stutter, stutter)
			s.setHold(func(string) bool { return r.IntN(2) == 0 })
			plays := rand.New(rand.NewPCG(seed, 52))
			ok := 0
			for n := range 60 {
				id := fmt.Sprint("s", n)
				values := flow.Values{}
				if plays.IntN(3) == 0 {
					values = values.With("x", fmt.Sprint(plays.IntN(2)))
				}
				if plays.IntN(5) == 0 {
					s.sendAgain()
				}
				switch plays.IntN(5) {
				case 0:
					ok += s.check(aloneWith(p, values, read(id)), id, false)
				case 1:
					ok += s.check(aloneWith(p, values, write(id)), id, true)
				case 2:
					ok += s.check(aloneWith(p, values, exec(id, fmt.Sprint("t", plays.IntN(3)))), id, true)
				case 3:
					before := s.moveOn(plays.IntN(2))
					a := alone(p, locate)
					So(a.ok() && a.Position.Before(before), ShouldBeFalse)
				default:
					ok += s.transact(p, values, id)
				}
			}
			So(ok, ShouldBeGreaterThan, 5)
			time.Sleep(arrival)
			for _, id := range s.promises {
				So(s.isKept(id), ShouldBeFalse)
			}
		})
	}
}

// check checks what a caller is told of a statement, and counts a success.
func (s *stutterer) check(a told, id string, writes bool) int {
	if !a.ok() {
		if writes && a.promised() {
			s.promises = append(s.promises, id)
		}
		return 0
	}
	So(s.owner(a.Proof), ShouldEqual, id)
	So(string(a.Rows[0]), ShouldEqual, "of-"+id)
	return 1
}

// transact plays a transaction of two writes and counts a success.
func (s *stutterer) transact(p *pool.Pool, values flow.Values, id string) int {
	h := take(p)
	before := s.moveOn(0)
	a := run(h, values, begin, flow.Reads, false)
	So(a.ok() && a.Position != token.Position{} && a.Position.Before(before), ShouldBeFalse)
	for i := 0; a.ok() && i < 2; i++ {
		part := fmt.Sprint(id, "-", i)
		a = run(h, values, write(part), flow.Pending, false)
		s.check(a, part, true)
	}
	if !a.ok() {
		pool.Rollback(h)
		return 0
	}
	a = run(h, values, commit(id), flow.Writes, true)
	done := s.check(a, id, false)
	if a.promised() {
		s.promises = append(s.promises, id+"-0")
	}
	So(done == 1 && !s.isKept(id+"-1"), ShouldBeFalse)
	h.Release()
	return done
}

// TestAnswersAreJudged covers the record of the answers on a connection without a network.
func TestAnswersAreJudged(t *testing.T) {
	Convey("Given the record of a new connection", t, func() {
		var r pool.Answers
		now := time.Unix(0, 0)
		at := func(n uint64) token.Position { return token.Position{Term: 1, Position: n} }
		set := pool.Exchange{Request: flow.Request{Op: flow.SetValue}}
		opening := pool.Exchange{Request: begin}
		autocommit := pool.Exchange{Request: write("w")}
		within := pool.Exchange{Request: read("r"), InTransaction: true}
		ending := pool.Exchange{Request: commit("c"), InTransaction: true, Ends: true}
		judge := func(x pool.Exchange, a flow.Answer) pool.Finding { return r.Judge(now, x, a) }
		Convey("A proof counts once, whatever comes with it", func() {
			So(judge(autocommit, flow.Answer{Proof: "a", Position: at(1)}), ShouldEqual, pool.Genuine)
			So(judge(autocommit, flow.Answer{Proof: "a", Position: at(2)}), ShouldEqual, pool.Repeated)
			So(judge(autocommit, flow.Answer{Proof: "b", Position: at(2)}), ShouldEqual, pool.Genuine)
		})
		Convey("The kind of the request and the state before it must fit", func() {
			for _, x := range []pool.Exchange{set, opening} {
				So(judge(x, flow.Answer{Proof: "x"}), ShouldEqual, pool.Unfit)
			}
			So(judge(autocommit, flow.Answer{}), ShouldEqual, pool.Unfit)
			So(judge(autocommit, flow.Answer{Proof: "1", State: flow.InTransaction}), ShouldEqual, pool.Unfit)
			So(judge(autocommit, flow.Answer{Code: flow.Busy, State: flow.InTransaction}), ShouldEqual, pool.Unfit)
			So(judge(opening, flow.Answer{}), ShouldEqual, pool.Unfit)
			So(judge(opening, flow.Answer{Code: flow.ReadOnly, State: flow.InTransaction}), ShouldEqual, pool.Unfit)
			So(judge(within, flow.Answer{Proof: "2"}), ShouldEqual, pool.Unfit)
			So(judge(within, flow.Answer{Code: flow.ReadOnly}), ShouldEqual, pool.Unfit)
			So(judge(pool.Exchange{Request: flow.Request{Op: flow.RollbackTx}, InTransaction: true, Ends: true}, flow.Answer{State: flow.InTransaction}), ShouldEqual, pool.Unfit)
		})
		Convey("What an instance may answer fits", func() {
			So(judge(opening, flow.Answer{State: flow.InTransaction}), ShouldEqual, pool.Genuine)
			So(judge(within, flow.Answer{Proof: "1", State: flow.InTransaction}), ShouldEqual, pool.Genuine)
			So(judge(within, flow.Answer{Code: flow.Busy, State: flow.InTransaction}), ShouldEqual, pool.Genuine)
			So(judge(within, flow.Answer{Code: flow.ReadOnly, State: flow.InFailedTransaction}), ShouldEqual, pool.Genuine)
			So(judge(ending, flow.Answer{Proof: "2"}), ShouldEqual, pool.Genuine)
			So(judge(ending, flow.Answer{Code: flow.Failed}), ShouldEqual, pool.Genuine)
			So(judge(pool.Exchange{Request: flow.Request{Op: flow.RollbackTx}, InTransaction: true, Ends: true}, flow.Answer{}), ShouldEqual, pool.Genuine)
		})
		Convey("An answer without a proof is uncertain if an equal one came before", func() {
			So(judge(set, flow.Answer{Position: at(1)}), ShouldEqual, pool.Genuine)
			So(judge(set, flow.Answer{Position: at(1)}), ShouldEqual, pool.Uncertain)
			Convey("So is the next one, even if it is new", func() {
				So(judge(set, flow.Answer{Position: at(2)}), ShouldEqual, pool.Uncertain)
				So(judge(autocommit, flow.Answer{Code: flow.Busy}), ShouldEqual, pool.Uncertain)
			})
			Convey("A new proof settles it", func() {
				So(judge(autocommit, flow.Answer{Proof: "a"}), ShouldEqual, pool.Genuine)
				So(judge(autocommit, flow.Answer{Code: flow.Busy}), ShouldEqual, pool.Genuine)
			})
			Convey("So does a transaction that opens, or a refusal that setting a value never gets", func() {
				So(judge(opening, flow.Answer{State: flow.InTransaction, Position: at(1)}), ShouldEqual, pool.Genuine)
				So(judge(pool.Exchange{Request: flow.Request{Op: flow.RollbackTx}, InTransaction: true, Ends: true}, flow.Answer{Position: at(2)}), ShouldEqual, pool.Genuine)
				So(judge(set, flow.Answer{Position: at(1)}), ShouldEqual, pool.Uncertain)
				So(judge(autocommit, flow.Answer{Code: flow.ReadOnly}), ShouldEqual, pool.Genuine)
			})
		})
		Convey("A refusal is uncertain the second time, also at another position", func() {
			So(judge(autocommit, flow.Answer{Code: flow.Busy, Position: at(1)}), ShouldEqual, pool.Genuine)
			So(judge(autocommit, flow.Answer{Code: flow.Busy, Position: at(2)}), ShouldEqual, pool.Uncertain)
			So(judge(ending, flow.Answer{Code: flow.Busy, State: flow.InTransaction, Position: at(3)}), ShouldEqual, pool.Uncertain)
		})
	})
}
