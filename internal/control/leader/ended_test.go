package leader_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/group"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// errDown is returned by an instance of fakeInstances that does not run.
var errDown = errors.New("instance is down")

// fakeInstances are instances that answer status queries, and the platform that promotes them.
type fakeInstances struct {
	mu sync.Mutex
	// numbers are the ends of the logs of the instances that run, by name.
	numbers map[string]uint64
	primary string
	term    uint64
}

// platform returns the functions that talk to the instances.
func (f *fakeInstances) platform() *leader.Platform {
	return &leader.Platform{QueryStatus: f.queryStatus, Promote: f.promote, LeaveDeadline: func(string, int64) time.Time { return time.Now().Add(time.Hour) }}
}

func (f *fakeInstances) queryStatus(_ context.Context, in leader.Instance, _ group.QueryStatus) (group.InstanceStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, up := f.numbers[in.Name]
	if !up {
		return group.InstanceStatus{}, errDown
	}
	return group.InstanceStatus{Primary: in.Name == f.primary, PrimaryTerm: f.term, Received: group.LogPosition{Term: 1, Number: number}}, nil
}

func (f *fakeInstances) promote(_ context.Context, in leader.Instance, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, up := f.numbers[in.Name]; !up {
		return leader.ErrPromotionRefused
	}
	f.primary, f.term = in.Name, f.term+1
	return nil
}

// set lets an instance run with a log that ends at number.
func (f *fakeInstances) set(name string, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.numbers[name] = number
}

// stop ends an instance.
func (f *fakeInstances) stop(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.numbers, name)
}

func (f *fakeInstances) promoted() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary
}

// copiedGroup is a group with a primary p and replicas a and b, whose writes require a copy.
type copiedGroup struct {
	*fakeInstances
	ctx    context.Context
	leader *leader.Leader
}

// startCopiedGroup starts a leader and declares the group. It returns once the group has a primary.
func startCopiedGroup(t *testing.T) *copiedGroup {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &fakeInstances{numbers: map[string]uint64{"p": 9, "a": 9, "b": 9}, primary: "p", term: 1}
	l, _ := startLeaderOn(t, ctx, f.platform())
	g := &copiedGroup{fakeInstances: f, ctx: ctx, leader: l}
	m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", SyncReplicas: 1}}}
	g.propose(&wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: 1, Spec: m.Encode(), Source: []byte("s")}}})
	g.announce("p", "h:1", 1)
	g.announce("a", "h:2", 1)
	g.announce("b", "h:3", 1)
	g.await(wire.Phase_OPEN)
	return g
}

func (g *copiedGroup) propose(cmd *wire.Command) {
	out, err := g.leader.Driver.Propose(g.ctx, cmd)
	So(err, ShouldBeNil)
	So(out.Ok, ShouldBeTrue)
}

// announce lets an instance announce itself at an address.
func (g *copiedGroup) announce(name, addr string, born int64) {
	run := &wire.BackendState{Group: "g", Addr: addr, Instance: name, Born: born, Seq: 1, Primary: name == g.promoted(), Slots: 1}
	g.propose(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: name, Run: run}}})
}

// await waits until the term of the group is in a phase.
func (g *copiedGroup) await(want wire.Phase) {
	phase := func() (phase wire.Phase) {
		g.leader.Driver.View(func(s *state.State) { phase = s.Get(spec.Groups, "g").GetGroup().GetPhase() })
		return phase
	}
	for end := time.Now().Add(10 * time.Second); phase() != want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	So(phase(), ShouldEqual, want)
}

// TestLogOfEndedReplicaIsWaitedFor guards against the promotion of a replica that lacks acknowledged writes,
// because the only other one that had received them has ended (review case 6).
func TestLogOfEndedReplicaIsWaitedFor(t *testing.T) {
	Convey("Given a replica that lacks the last writes, one that had them and has ended, and a failed primary", t, func() {
		g := startCopiedGroup(t)
		g.set("b", 5)
		g.stop("a")
		g.propose(&wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: "a", Born: 1}}})
		g.stop("p")
		g.await(wire.Phase_SEALED)
		Convey("The replica is not promoted, but the instance that takes over the log of the ended one", func() {
			time.Sleep(group.DefaultPlatformOptions().CatchUpTimeout)
			So(g.promoted(), ShouldEqual, "p")
			g.set("c", 9)
			g.announce("c", "h:2", 2)
			g.await(wire.Phase_OPEN)
			So(g.promoted(), ShouldEqual, "c")
		})
		Convey("If the primary comes back under another name, it is promoted again", func() {
			g.set("q", 9)
			g.announce("q", "h:1", 2)
			g.await(wire.Phase_OPEN)
			So(g.promoted(), ShouldEqual, "q")
		})
	})
}

// TestEarlierNamesAreNotWaitedFor guards against a group that stays closed for good although its instances
// answer, because they had other names before they crashed.
func TestEarlierNamesAreNotWaitedFor(t *testing.T) {
	Convey("Given replicas that have crashed and come back under other names, and a primary that crashes", t, func() {
		g := startCopiedGroup(t)
		for name, addr := range map[string]string{"a": "h:2", "b": "h:3"} {
			g.stop(name)
			g.set(name+"2", 9)
			g.announce(name+"2", addr, 2)
		}
		g.stop("p")
		for end := time.Now().Add(10 * time.Second); g.promoted() == "p" && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(g.promoted(), ShouldBeIn, "a2", "b2")
		g.await(wire.Phase_OPEN)
	})
}
