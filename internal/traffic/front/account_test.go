package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// declareKeys puts a manifest in force whose only client account has the keys.
func (h testHost) declareKeys(number uint64, keys ...string) {
	a := spec.Account{Name: "client"}
	for _, key := range keys {
		a.Keys = append(a.Keys, spec.DigestOf(key))
	}
	m := spec.Manifest{
		Number: number, Groups: []spec.ManifestGroup{{Name: "g"}}, Accounts: []spec.Account{a},
		Databases: []spec.Database{{Name: "stock", Group: "g", Consistency: spec.StrongConsistency, StatementTimeout: time.Second}},
	}
	h.Sessions.Topology.Agent.OnView(agent.NewView(number, []*wire.Resource{{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: number, Revision: number, Spec: m.Encode()}}))
}

// converse sends text on a new connection and returns all that is answered until the host closes it.
func converse(addr, text string) (string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// TestKeysAreCheckedAtStartup covers callers without a valid key, also many of them and with a very long one.
func TestKeysAreCheckedAtStartup(t *testing.T) {
	Convey("Given a host with one declared key", t, func() {
		h := startHost(t)
		defer h.stop()
		h.declareKeys(2, "right")
		Convey("Callers with no key, a wrong one and one of nearly 1 MiB are denied and disconnected", func() {
			for _, key := range []string{"", " wrong", " right\x00", " " + strings.Repeat("k", 1<<20-20)} {
				answer, err := converse(h.Addr, "STARTUP stock"+key+"\r\n")
				So(err, ShouldBeNil)
				So(answer, ShouldEqual, "ERR DENIED stock\r\n")
			}
			So(h.Meter.CounterValue("refused.denied"), ShouldEqual, 4)
		})
		Convey("Thousands of wrong keys leave nothing behind, and a right one is served meanwhile", func() {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			const callers, each = 8, 500
			var wg sync.WaitGroup
			for i := range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := range each {
						_, _ = converse(h.Addr, fmt.Sprintf("STARTUP stock wrong%d-%d\r\n", i, n))
					}
				}()
			}
			line, err := converse(h.Addr, "STARTUP stock right\r\nQUERY 1 SET a 1\r\nQUIT\r\n")
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "READY I -\r\nDONE -\r\nREADY I -\r\n")
			wg.Wait()
			So(h.Meter.CounterValue("refused.denied"), ShouldEqual, callers*each)
			runtime.GC()
			runtime.ReadMemStats(&after)
			So(int64(after.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, 4<<20)
		})
	})
}

// TestSessionsEndWithTheirKey covers keys that are taken away from connected callers.
func TestSessionsEndWithTheirKey(t *testing.T) {
	Convey("Given an idle session and one in a transaction", t, func() {
		h := startHost(t)
		defer h.stop()
		h.declareKeys(2, "right", "other")
		start := func(key string) (net.Conn, *bufio.Reader) {
			c, err := net.Dial("tcp", h.Addr)
			So(err, ShouldBeNil)
			_ = c.SetDeadline(time.Now().Add(answerTimeout))
			fmt.Fprintf(c, "STARTUP stock %s\r\n", key)
			r := bufio.NewReader(c)
			line, err := r.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "READY I -\r\n")
			return c, r
		}
		idle, idleReader := start("right")
		defer idle.Close()
		open, openReader := start("right")
		defer open.Close()
		other, otherReader := start("other")
		defer other.Close()
		fmt.Fprint(open, "QUERY 1 BEGIN\r\n")
		for range 2 {
			_, err := openReader.ReadString('\n')
			So(err, ShouldBeNil)
		}
		h.declareKeys(3, "other")
		Convey("The idle one is closed, the other one is told that its transaction is rolled back, and other keys stay", func() {
			b, err := io.ReadAll(idleReader)
			So(err, ShouldBeNil)
			So(b, ShouldBeEmpty)
			fmt.Fprint(open, "QUERY 2 COMMIT\r\n")
			b, err = io.ReadAll(openReader)
			So(err, ShouldBeNil)
			So(string(b), ShouldStartWith, "ERR ABORTED ")
			So(string(b), ShouldEndWith, "READY I -\r\n")
			fmt.Fprint(other, "QUERY 3 SET a 1\r\nQUIT\r\n")
			b, err = io.ReadAll(otherReader)
			So(err, ShouldBeNil)
			So(string(b), ShouldEqual, "DONE -\r\nREADY I -\r\n")
			So(h.Meter.CounterValue("sessions.revoked"), ShouldEqual, 2)
		})
		Convey("A statement to the idle one is denied, or finds it closed already", func() {
			fmt.Fprint(idle, "QUERY 2 READ x\r\n")
			b, _ := io.ReadAll(idleReader)
			if len(b) > 0 {
				So(string(b), ShouldEqual, "ERR DENIED stock\r\nREADY I -\r\n")
			}
		})
	})
}
