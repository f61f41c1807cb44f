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

// TestLogOfEndedReplicaIsWaitedFor guards against the promotion of a replica that lacks acknowledged writes,
// because the only other one that had received them has ended (review case 6).
func TestLogOfEndedReplicaIsWaitedFor(t *testing.T) {
	Convey("Given a group that requires a copy of each write, and a replica that has all of them and ends", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f := &fakeInstances{numbers: map[string]uint64{"p": 9, "a": 9, "b": 5}, primary: "p", term: 1}
		l, _ := startLeaderOn(t, ctx, f.platform())
		propose := func(cmd *wire.Command) {
			out, err := l.Driver.Propose(ctx, cmd)
			So(err, ShouldBeNil)
			So(out.Ok, ShouldBeTrue)
		}
		announce := func(name, addr string, born int64) {
			run := &wire.BackendState{Group: "g", Addr: addr, Instance: name, Born: born, Seq: 1, Primary: name == f.promoted(), Slots: 1}
			propose(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: name, Run: run}}})
		}
		phase := func() (phase wire.Phase) {
			l.Driver.View(func(s *state.State) { phase = s.Get(spec.Groups, "g").GetGroup().GetPhase() })
			return phase
		}
		await := func(want wire.Phase) {
			for end := time.Now().Add(10 * time.Second); phase() != want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			So(phase(), ShouldEqual, want)
		}
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "g", SyncReplicas: 1}}}
		propose(&wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: 1, Spec: m.Encode(), Source: []byte("s")}}})
		announce("p", "h:1", 1)
		announce("a", "h:2", 1)
		announce("b", "h:3", 1)
		await(wire.Phase_OPEN)
		f.stop("a")
		propose(&wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: "a", Born: 1}}})
		f.stop("p")
		await(wire.Phase_SEALED)

		Convey("When the primary crashes, the other replica is not promoted, but the one that takes over the log", func() {
			time.Sleep(group.DefaultPlatformOptions().CatchUpTimeout)
			So(f.promoted(), ShouldEqual, "p")
			f.set("c", 9)
			announce("c", "h:2", 2)
			await(wire.Phase_OPEN)
			So(f.promoted(), ShouldEqual, "c")
		})
	})
}
