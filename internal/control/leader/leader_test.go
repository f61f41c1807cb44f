package leader_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/driver"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

// joiningHosts is the number of hosts that start together, as in the large deployment.
const joiningHosts = 300

// startLeader runs a leader that is a quorum by itself, and returns it with the address of its
// lease service.
func startLeader(t *testing.T, ctx context.Context) (*leader.Leader, string) {
	return startLeaderOn(t, ctx, &leader.Platform{})
}

// startLeaderOn is like startLeader, with functions that talk to instances and the platform.
func startLeaderOn(t *testing.T, ctx context.Context, platform *leader.Platform) (*leader.Leader, string) {
	l, addr := startControlHost(t, ctx, 20*time.Millisecond, platform)
	for end := time.Now().Add(10 * time.Second); !l.Driver.Status().Leading && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return l, addr
}

// startControlHost is like startLeader but does not wait until the host leads, which takes the
// election timeout.
func startControlHost(t *testing.T, ctx context.Context, electionTimeout time.Duration, platform *leader.Platform) (*leader.Leader, string) {
	s, restored, err := store.Open(t.TempDir())
	So(err, ShouldBeNil)
	id, restored, err := driver.SeedBootstrap{Addr: "h:1", Seeds: []string{"h:1"}, FirstStart: true}.Initialize(s, restored)
	So(err, ShouldBeNil)
	d := &driver.Driver{
		ID: id, Store: s, Restored: restored, Dialer: &link.Dialer{Host: "core"}, Log: logs.Discard(), Meter: meter.New(), Now: clock.Monotonic,
		Options: quorum.Options{ElectionTimeout: electionTimeout, HeartbeatInterval: 5 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }},
	}
	So(d.Prepare(), ShouldBeNil)
	l := &leader.Leader{Driver: d, Log: logs.Discard(), Meter: meter.New(), LeaseDuration: time.Second, Now: clock.Monotonic, Host: "core", Platform: platform}
	l.Prepare()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	done := []<-chan error{
		(&link.Server{Listener: ln, Handlers: map[string]link.Handler{leader.LeaseService: l.ServeLease}}).Run(ctx), l.Run(ctx), d.Run(ctx),
	}
	t.Cleanup(func() {
		for _, end := range done {
			if err := <-end; err != nil {
				t.Error(err)
			}
		}
	})
	return l, ln.Addr().String()
}

// TestRenewalsWaitForTheFirstLeader renews a lease at a control host that has just started, as after a
// loss of power of all hosts.
func TestRenewalsWaitForTheFirstLeader(t *testing.T) {
	Convey("A renewal that arrives before the first leader is known is answered by it", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		_, addr := startControlHost(t, ctx, 100*time.Millisecond, &leader.Platform{})
		dialer := &link.Dialer{Host: "e"}
		defer dialer.Close()
		c, err := dialer.Open(ctx, addr, leader.LeaseService)
		So(err, ShouldBeNil)
		So(c.Send(&wire.LeaseRenewal{Host: "e", Seq: 1, Run: &wire.HostState{Link: "e:1", Instance: "1"}}), ShouldBeNil)
		g := &wire.LeaseGrant{}
		So(c.Recv(g), ShouldBeNil)
		So(g.Reason, ShouldNotEqual, string(fault.NoLeader))
		So(g.Reset_, ShouldBeTrue)
	})
	Convey("Renewals wait only where a leader will soon be known", t, func() {
		voter := &wire.Members{Members: []*wire.Member{{Id: "a"}}}
		learner := &wire.Members{Members: []*wire.Member{{Id: "a", Learner: true}}}
		pending := func(st driver.Status) bool { return leader.LeaderPending("a", st) }
		So(pending(driver.Status{Members: voter}), ShouldBeTrue)
		So(pending(driver.Status{Members: voter, Role: quorum.Candidate}), ShouldBeTrue)
		So(pending(driver.Status{Members: voter, Role: quorum.Leader, LeaderKnown: true}), ShouldBeTrue)
		So(pending(driver.Status{Members: voter, Role: quorum.Leader, LeaderKnown: true, Leading: true}), ShouldBeFalse)
		So(pending(driver.Status{Members: voter, Leader: "c", LeaderKnown: true}), ShouldBeFalse)
		So(pending(driver.Status{Members: voter, Role: quorum.Candidate, LeaderKnown: true}), ShouldBeFalse)
		So(pending(driver.Status{Members: learner}), ShouldBeFalse)
		So(pending(driver.Status{}), ShouldBeFalse)
	})
}

// TestChangesAreBatched restarts all hosts of a large deployment. Each join is a change, so one
// message per join to each of the 300 hosts would be 90,000 messages.
func TestChangesAreBatched(t *testing.T) {
	Convey("Given a host that receives changes while hundreds of hosts join", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		l, addr := startLeader(t, ctx)
		dialer := &link.Dialer{Host: "watcher"}
		defer dialer.Close()
		c, err := dialer.Open(ctx, addr, leader.LeaseService)
		So(err, ShouldBeNil)
		registration := &wire.HostState{Link: "w:1", Instance: "1"}
		So(c.Send(&wire.LeaseRenewal{Host: "watcher", Seq: 1, Run: registration}), ShouldBeNil)
		So(c.Recv(&wire.LeaseGrant{}), ShouldBeNil)
		began := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range joiningHosts {
				name := fmt.Sprint("e", i)
				_, _ = l.Driver.Propose(ctx, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinHost{Host: name, Run: &wire.HostState{Link: name, Instance: "1"}}}})
			}
		}()
		seen, messages := map[string]bool{}, 0
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		for len(seen) < joiningHosts {
			g := &wire.LeaseGrant{}
			So(c.Recv(g), ShouldBeNil)
			messages++
			for _, r := range g.Changes {
				if r.Name != "watcher" {
					seen[r.Name] = true
				}
			}
		}
		<-done
		Convey("It receives all of them in at most fifty messages a second", func() {
			So(messages, ShouldBeLessThanOrEqualTo, int(time.Since(began)/(20*time.Millisecond))+2)
		})
		Convey("A single change is sent at once", func() {
			time.Sleep(100 * time.Millisecond)
			proposedAt := time.Now()
			go func() {
				_, _ = l.Driver.Propose(ctx, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinHost{Host: "late", Run: &wire.HostState{Link: "late", Instance: "1"}}}})
			}()
			for found := false; !found; {
				g := &wire.LeaseGrant{}
				So(c.Recv(g), ShouldBeNil)
				for _, r := range g.Changes {
					found = found || r.Name == "late"
				}
			}
			// The guarantee is in force within seconds; batching alone delays by 20 ms.
			So(time.Since(proposedAt), ShouldBeLessThan, time.Second)
		})
	})
}

// TestSlowHostGetsOnlyLatestManifest declares several manifests in a row while a host on a slow
// link receives nothing. The host must then get only the last manifest.
func TestSlowHostGetsOnlyLatestManifest(t *testing.T) {
	Convey("Given a host that received nothing during three declarations", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		l, addr := startLeader(t, ctx)
		declare := func(number uint64) {
			m := spec.Manifest{Number: number, Groups: []spec.ManifestGroup{{Name: "g"}}}
			out, err := l.Driver.Propose(ctx, &wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: number, Spec: m.Encode(), Source: []byte("s")}}})
			So(err, ShouldBeNil)
			So(out.Ok, ShouldBeTrue)
		}
		declare(1)
		dialer := &link.Dialer{Host: "watcher"}
		defer dialer.Close()
		var from uint64
		l.Driver.View(func(s *state.State) { from = s.Revision() })
		declare(2)
		declare(3)
		declare(4)
		c, err := dialer.Open(ctx, addr, leader.LeaseService)
		So(err, ShouldBeNil)
		So(c.Send(&wire.LeaseRenewal{Host: "watcher", Seq: 1, Applied: from, Run: &wire.HostState{Link: "w:1", Instance: "1"}}), ShouldBeNil)
		g := &wire.LeaseGrant{}
		So(c.Recv(g), ShouldBeNil)
		So(g.Reset_, ShouldBeFalse)
		var numbers []uint64
		for _, r := range g.Changes {
			if r.Kind == string(spec.Manifests) {
				numbers = append(numbers, r.Version)
			}
		}
		So(numbers, ShouldResemble, []uint64{4})
	})
}
