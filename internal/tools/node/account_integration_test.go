package node_test

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// sharedBuffer collects what several hosts write.
type sharedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *sharedBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *sharedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// withAccounts returns a declaration of the given version with client accounts, in JSON.
func withAccounts(version uint64, accounts string) []byte {
	return []byte(strings.Replace(string(declarationJSON(version)), `{"limits"`, `{"tenants":`+accounts+`,"limits"`, 1))
}

// declareAccounts declares client accounts and waits until every entry host serves a key.
func (c *cluster) declareAccounts(version uint64, accounts, key string, entryHosts int) {
	c.t.Helper()
	c.eventually("declaration", func() bool {
		return postDeclaration(c.controlAddr(0), withAccounts(version, accounts)) == http.StatusOK
	})
	for i := range entryHosts {
		c.eventually("write with a key", func() bool {
			s, err := openSessionAs(c.callerAddr(i), "orders", key)
			if err != nil {
				return false
			}
			defer s.Close()
			return s.query("WRITE warm 1").ok()
		})
	}
}

// startupReply sends a startup message and returns what is answered until the host closes the connection.
func startupReply(addr, database, key string) string {
	s, err := openSessionAs(addr, database, key)
	if err == nil {
		s.Close()
		return "READY"
	}
	return err.Error()
}

// TestAccountsInADeployment runs all programs with client accounts, takes keys away, and then searches all
// that the programs have written for the keys.
func TestAccountsInADeployment(t *testing.T) {
	Convey("Given a deployment with two client accounts", t, func() {
		const first, second, spare, unknown = "secretkeyone", "secretkeytwo", "secretkeyspare", "secretkeyunknown"
		logged := &sharedBuffer{}
		c := startLoggingCluster(t, logged, "debug", 3, 2, false, func(g *mimic.Group) {
			g.RecordRuns, g.AccountOfKey = true, map[string]string{first: "north", second: "south", spare: "north"}
		})
		both := fmt.Sprintf(`[{"name":"north","api_keys":[%q,%q],"rate_per_s":500,"burst":500},{"name":"south","api_keys":[%q]}]`, first, spare, second)
		c.declareAccounts(1, both, first, 2)
		open := func(host int, database, key string) *caller {
			s, err := openSessionAs(c.callerAddr(host), database, key)
			So(err, ShouldBeNil)
			return s
		}
		// owners has the expected account by the ID of the statement.
		owners := map[string]string{}
		expect := func(r reply, key string) {
			So(r.lastLine, ShouldStartWith, "DONE")
			owners[r.id] = c.group.AccountOfKey[key]
		}
		for i := range 24 {
			key := []string{first, second, spare}[i%3]
			for _, database := range []string{"orders", "notes", "parts"} {
				s := open(i%2, database, key)
				expect(s.query("READ x"), key)
				So(s.query("BEGIN").ok(), ShouldBeTrue)
				expect(s.query("WRITE x 1"), key)
				expect(s.query("COMMIT"), key)
				s.Close()
			}
		}

		var said strings.Builder
		for _, key := range []string{unknown, "", "north"} {
			reply := startupReply(c.callerAddr(0), "orders", key)
			So(reply, ShouldContainSubstring, "ERR DENIED")
			said.WriteString(reply)
		}
		shared := fmt.Sprintf(`[{"name":"north","api_keys":[%q]},{"name":"south","api_keys":[%q]}]`, first, first)
		resp, err := http.Post("http://"+c.controlAddr(1)+"/config/replace", "application/json", bytes.NewReader(withAccounts(2, shared)))
		So(err, ShouldBeNil)
		b, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
		said.Write(b)

		idle, inTransaction, kept := open(0, "orders", first), open(1, "orders", first), open(0, "orders", spare)
		So(inTransaction.query("BEGIN").ok(), ShouldBeTrue)
		So(inTransaction.query("WRITE gone 1").ok(), ShouldBeTrue)
		reduced := fmt.Sprintf(`[{"name":"north","api_keys":[%q]},{"name":"south","api_keys":[%q]}]`, spare, second)
		c.declareAccounts(3, reduced, spare, 2)
		_ = idle.SetDeadline(time.Now().Add(replyTimeout))
		rest, err := io.ReadAll(idle.r)
		So(err, ShouldBeNil)
		So(rest, ShouldBeEmpty)
		for i := range 2 {
			c.eventually("the key taken away", func() bool { return strings.Contains(startupReply(c.callerAddr(i), "orders", first), "ERR DENIED") })
		}
		commit := inTransaction.query("COMMIT")
		So(commit.lastLine, ShouldStartWith, "ERR ABORTED")
		expect(kept.query("READ gone"), spare)
		So(kept.query("READ gone").rows, ShouldResemble, []string{"none"})

		So(c.stopHost("core-0"), ShouldBeNil)
		c.restartControl(0)
		c.eventually("the declaration after a restart", func() bool { return fetchDeclaration(c.controlAddr(0)) == string(withAccounts(3, reduced)) })

		Convey("Every statement ran once, on a connection of its account, and instances were told no key", func() {
			for id, account := range owners {
				arrivals := c.group.Runs(id)
				for _, r := range arrivals {
					So(r.Account, ShouldEqual, account)
				}
				// An instance that lags refuses a read, which then runs at another one.
				ran := slices.DeleteFunc(arrivals, func(r mimic.Run) bool { return r.Refused })
				So(ran, ShouldHaveLength, 1)
			}
			So(c.group.Runs(commit.id), ShouldBeEmpty)
			So(c.group.PassedKeys(), ShouldBeEmpty)
			So(c.group.PeakConns(), ShouldBeLessThanOrEqualTo, 16)
		})
		Convey("No key is in a log line, a metric or an answer, and only the owner can read the files that hold them", func() {
			for _, r := range c.running {
				So(r.node.Meter.WriteText(&said), ShouldBeNil)
			}
			So(logged.String(), ShouldContainSubstring, "manifest applied")
			for _, key := range []string{first, second, spare, unknown} {
				So(strings.Contains(logged.String(), key), ShouldBeFalse)
				So(strings.Contains(said.String(), key), ShouldBeFalse)
			}
			files := 0
			So(filepath.WalkDir(c.dir, func(path string, d fs.DirEntry, err error) error {
				if err != nil || d.IsDir() {
					return err
				}
				info, err := os.Stat(path)
				if err == nil && info.Mode().Perm() != 0o600 {
					return fmt.Errorf("%s has mode %s", path, info.Mode())
				}
				files++
				return err
			}), ShouldBeNil)
			So(files, ShouldBeGreaterThan, 0)
		})
	})
}

// TestManyAccountsAreDeclared declares ten thousand accounts through the API.
func TestManyAccountsAreDeclared(t *testing.T) {
	Convey("Given a deployment with ten thousand client accounts", t, func() {
		c := startCluster(t, 3, 1, false)
		var b strings.Builder
		b.WriteString("[")
		for i := range 10_000 {
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(&b, `{"name":"client%d","api_keys":["key%da","key%db"],"rate_per_s":370,"burst":370}`, i, i, i)
		}
		b.WriteString("]")
		c.declareAccounts(1, b.String(), "key9999b", 1)
		Convey("What was declared is read back byte for byte, and each key opens sessions", func() {
			So(fetchDeclaration(c.controlAddr(0)) == string(withAccounts(1, b.String())), ShouldBeTrue)
			for _, key := range []string{"key0a", "key5000b"} {
				So(startupReply(c.callerAddr(0), "orders", key), ShouldEqual, "READY")
			}
			So(startupReply(c.callerAddr(0), "orders", "key10000a"), ShouldContainSubstring, "DENIED")
		})
		Convey("One of them with a key of another one is refused, and nothing changes", func() {
			twice := strings.Replace(b.String(), "key77a", "key9a", 1)
			So(postDeclaration(c.controlAddr(0), withAccounts(2, twice)), ShouldEqual, http.StatusBadRequest)
			So(startupReply(c.callerAddr(0), "orders", "key77a"), ShouldEqual, "READY")
		})
	})
}
