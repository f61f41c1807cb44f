package sess_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// endTerm lets the host learn that the term of i-1 has ended.
func (h unleasedHost) endTerm(revoke bool) {
	gs := &wire.GroupState{Term: 2, Phase: wire.Phase_SEALED, Primary: "i-1", Former: "i-1", Reign: 1}
	if revoke {
		gs.Revoked = 2
	}
	h.apply(&wire.Resource{Kind: string(spec.Groups), Name: "g", Revision: 3, Group: gs})
}

// apply replaces a resource of the host's view.
func (h unleasedHost) apply(r *wire.Resource) {
	i := slices.IndexFunc(h.resources, func(o *wire.Resource) bool { return o.Kind == r.Kind && o.Name == r.Name })
	h.resources[i] = r
	h.Topology.Agent.OnView(agent.NewView(r.Revision, h.resources))
}

// manifest returns the manifest of the host's view.
func (h unleasedHost) manifest() spec.Manifest {
	i := slices.IndexFunc(h.resources, func(r *wire.Resource) bool { return r.Kind == string(spec.Manifests) })
	m, err := spec.DecodeManifest(h.resources[i].Spec)
	So(err, ShouldBeNil)
	return m
}

// TestWriteOfRevokedTermIsNotAcknowledged guards against writes that a former primary answers after the choice of the
// next one, which lacks them (review case 12).
func TestWriteOfRevokedTermIsNotAcknowledged(t *testing.T) {
	Convey("Given a host with an open transaction that has written", t, func() {
		h := newUnleasedHost(t)
		s := h.open("own")
		So(run(s, flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
		So(run(s, flow.Write, "WRITE a 1").Code, ShouldEqual, flow.OK)
		Convey("If the term of its primary is revoked, the caller is not told that it is committed", func() {
			h.endTerm(true)
			So(run(s, flow.Commit, "COMMIT").Code, ShouldEqual, flow.InDoubt)
			So(s.State(), ShouldEqual, flow.Idle)
			So(h.Meter.CounterValue("refused.revoked"), ShouldEqual, 1)
		})
		Convey("If the term has only ended, the primary still decides", func() {
			h.endTerm(false)
			So(run(s, flow.Commit, "COMMIT").Code, ShouldEqual, flow.OK)
		})
	})
	Convey("A write outside of a transaction that is answered after the revocation is not acknowledged", t, func() {
		h := newUnleasedHostOf(t, &mimic.Group{Name: "g", MaxConns: 16, Slots: 2, QueueLimit: 4, StatementTime: 200 * time.Millisecond})
		answer := make(chan flow.Answer, 1)
		s := h.open("own")
		go func() { answer <- run(s, flow.Write, "WRITE a 1") }()
		time.Sleep(h.group.StatementTime / 2) // The write has been sent.
		h.endTerm(true)
		So((<-answer).Code, ShouldEqual, flow.InDoubt)
	})
}

// TestHostWithoutLeaseAcknowledgesNoCopies guards against writes that a host passes on as carried out because it does
// not learn that the term of their primary was revoked.
func TestHostWithoutLeaseAcknowledgesNoCopies(t *testing.T) {
	Convey("Given a host without a lease, and a group whose writes require a copy", t, func() {
		h := newUnleasedHost(t)
		m := h.manifest()
		m.Number, m.Groups[0].SyncReplicas = 3, 1
		h.apply(&wire.Resource{Kind: string(spec.Manifests), Name: spec.CurrentManifest, Version: 3, Revision: 3, Spec: m.Encode()})
		Convey("Writes are refused as not run", func() {
			s := h.open("own")
			a := run(s, flow.Write, "WRITE a 1")
			So(a.Code.GuaranteesNoEffect(), ShouldBeTrue)
			So(run(s, flow.Begin, "BEGIN").Code, ShouldEqual, flow.OK)
			So(run(s, flow.Write, "WRITE a 1").Code.GuaranteesNoEffect(), ShouldBeTrue)
			So(h.group.WriteCount("1"), ShouldEqual, 0)
		})
		Convey("Reads are served", func() {
			So(run(h.open("strong"), flow.Read, "READ a").Code, ShouldEqual, flow.OK)
		})
	})
}
