package sess_test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

// account returns a client account with keys.
func account(name string, keys ...string) spec.Account {
	a := spec.Account{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, spec.DigestOf(key))
	}
	return a
}

// keyedHost is a host that reaches its instances and knows a manifest with client accounts.
type keyedHost struct {
	unleasedHost
	manifest spec.Manifest
}

// newKeyedHost returns a host with the database "strong", which needs a key, and "open", which is public.
func newKeyedHost(t *testing.T, accounts ...spec.Account) *keyedHost {
	h := &keyedHost{unleasedHost: newUnleasedHost(t)}
	h.group.RecordRuns = true
	m, err := spec.DecodeManifest(h.resources[2].Spec)
	So(err, ShouldBeNil)
	public := m.Databases[0]
	public.Name, public.Consistency, public.Public = "open", spec.StrongConsistency, true
	m.Databases = append(m.Databases, public)
	h.manifest = m
	h.declare(accounts...)
	return h
}

// declare puts a manifest with client accounts in force.
func (h *keyedHost) declare(accounts ...spec.Account) {
	h.manifest.Number++
	h.manifest.Accounts = accounts
	h.resources[2] = &wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: h.manifest.Number, Revision: h.manifest.Number, Spec: h.manifest.Encode()}
	h.Topology.Agent.OnView(agent.NewView(h.manifest.Number, h.resources))
}

// openWith opens a session with a key.
func (h *keyedHost) openWith(database, key string) *sess.Session {
	s, code := h.Open(database, key)
	So(code, ShouldEqual, flow.OK)
	return s
}

// runAs runs a statement with an ID and returns the answer.
func runAs(s *sess.Session, id string, kind flow.Kind, text string) flow.Answer {
	st := flow.Statement{ID: id, Text: text, Kind: kind}
	if a, ok := s.RunLocal(clock.Monotonic(), st); ok {
		return a
	}
	return s.Run(context.Background(), st)
}

// ranFor returns the accounts of the connections on which a statement ran.
func (h *keyedHost) ranFor(id string) (accounts []string) {
	for _, r := range h.group.Runs(id) {
		accounts = append(accounts, r.Account)
	}
	return accounts
}

// TestStatementsRunForTheAccountOfTheKey guards against statements that run for another account than that of
// their caller's key: the connections to an instance belong to accounts.
func TestStatementsRunForTheAccountOfTheKey(t *testing.T) {
	Convey("Given two accounts with a key each", t, func() {
		h := newKeyedHost(t, account("first", "key-1"), account("second", "key-2"))
		Convey("Statements and transactions by turns run each on a connection of their own account", func() {
			for i, want := range []string{"first", "second", "first", "second"} {
				s := h.openWith("strong", map[string]string{"first": "key-1", "second": "key-2"}[want])
				id := string(rune('a' + i))
				So(runAs(s, id+"1", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
				So(runAs(s, id+"0", flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
				So(runAs(s, id+"2", flow.Write, "WRITE x 1").Code, ShouldEqual, flow.OK)
				So(runAs(s, id+"3", flow.Commit, "COMMIT").Code, ShouldEqual, flow.OK)
				for _, n := range []string{"1", "2", "3"} {
					So(h.ranFor(id+n), ShouldResemble, []string{want})
				}
			}
			So(h.group.PeakConns(), ShouldBeLessThanOrEqualTo, 4)
		})
		Convey("A missing and an unknown key open no session", func() {
			for _, key := range []string{"", "key-3", "first"} {
				_, code := h.Open("strong", key)
				So(code, ShouldEqual, flow.Denied)
			}
		})
		Convey("A public database needs no key, and uses the account of a known one", func() {
			So(runAs(h.openWith("open", ""), "p1", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
			So(runAs(h.openWith("open", "key-3"), "p2", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
			So(runAs(h.openWith("open", "key-2"), "p3", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
			So(h.ranFor("p1"), ShouldResemble, []string{"agatespindle"})
			So(h.ranFor("p2"), ShouldResemble, []string{"agatespindle"})
			So(h.ranFor("p3"), ShouldResemble, []string{"second"})
		})
	})
	Convey("Without declared accounts any key is accepted and all connections are the proxy's", t, func() {
		h := newKeyedHost(t)
		So(runAs(h.openWith("strong", "any"), "n1", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
		So(h.ranFor("n1"), ShouldResemble, []string{"agatespindle"})
	})
}

// TestKeysTakenAwayEndTheirUse covers keys that are taken away, or move to another account, while sessions and
// transactions are open.
func TestKeysTakenAwayEndTheirUse(t *testing.T) {
	Convey("Given an open session with a transaction that has written", t, func() {
		h := newKeyedHost(t, account("first", "key-1", "key-1b"), account("second", "key-2"))
		s := h.openWith("strong", "key-1")
		So(runAs(s, "t0", flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
		So(runAs(s, "t1", flow.Write, "WRITE x mine").Code, ShouldEqual, flow.OK)
		commit := flow.Statement{ID: "t2", Text: "COMMIT", Kind: flow.Commit}
		read := func() string { return value(runAs(h.openWith("strong", "key-2"), "r", flow.Read, "READ x")) }

		Convey("Another key of the account may go, and the transaction commits", func() {
			h.declare(account("first", "key-1"), account("second", "key-2"))
			So(s.Entitled(), ShouldBeTrue)
			So(s.Run(context.Background(), commit).Code, ShouldEqual, flow.OK)
			So(read(), ShouldEqual, "mine")
		})
		Convey("Without its key the transaction is rolled back, and the commit is told so", func() {
			h.declare(account("first", "key-1b"), account("second", "key-2"))
			So(s.Entitled(), ShouldBeFalse)
			a := s.Revoke(commit)
			So(a.Code, ShouldEqual, flow.Aborted)
			So(a.State, ShouldEqual, flow.Idle)
			So(read(), ShouldEqual, "none")
			So(s.Revoke(flow.Statement{ID: "t3", Kind: flow.Read}).Code, ShouldEqual, flow.Denied)
			So(h.ranFor("t2"), ShouldBeEmpty)
		})
		Convey("Rolled back before its next statement, it is told so as well", func() {
			h.declare(account("second", "key-2"))
			s.RollBackRevoked()
			So(s.State(), ShouldEqual, flow.InFailedTransaction)
			a := s.Revoke(flow.Statement{ID: "t4", Text: "READ x", Kind: flow.Read})
			So(a.Code, ShouldEqual, flow.Aborted)
			So(a.State, ShouldEqual, flow.InFailedTransaction)
			So(s.Revoke(flow.Statement{ID: "t5", Kind: flow.Rollback}).Code, ShouldEqual, flow.OK)
		})
		Convey("If the key moves to another account, the transaction ends and the next one is of that account", func() {
			h.declare(account("second", "key-2", "key-1"))
			So(s.Entitled(), ShouldBeTrue)
			a, ended := s.LeaveAccount(commit)
			So(ended, ShouldBeTrue)
			So(a.Code, ShouldEqual, flow.Aborted)
			So(read(), ShouldEqual, "none")
			_, ended = s.LeaveAccount(commit)
			So(ended, ShouldBeFalse)
			So(runAs(s, "t6", flow.Read, "READ x").Code, ShouldEqual, flow.OK)
			So(h.ranFor("t6"), ShouldResemble, []string{"second"})
		})
		Convey("Without any account left, only the public database can be used", func() {
			h.manifest.Keyed = true
			h.declare()
			So(s.Entitled(), ShouldBeFalse)
			_, code := h.Open("strong", "key-2")
			So(code, ShouldEqual, flow.Denied)
			h.openWith("open", "key-2")
		})
		Convey("A key given back opens sessions again", func() {
			h.declare(account("second", "key-2"))
			_, code := h.Open("strong", "key-1")
			So(code, ShouldEqual, flow.Denied)
			h.declare(account("first", "key-1"))
			h.openWith("strong", "key-1")
		})
	})
}
