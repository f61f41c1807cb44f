package leader

import (
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/spec"
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// CallService is the name of the stream that carries calls to the leader.
const CallService = "call"

// Values of ControlRequest.Method.
const (
	// MethodChange proposes ControlRequest.Command to the log and returns its outcome.
	MethodChange = "change"
	// MethodFetch returns resources, by ControlRequest.Kind and Name, and the leader's view of hosts
	// and groups.
	MethodFetch = "fetch"
	// MethodJoinQuorum asks to add the control host ControlRequest.Member to the quorum.
	MethodJoinQuorum = "member"
	// MethodLeaveQuorum says that the control host ControlRequest.Member is about to stop.
	MethodLeaveQuorum = "stopping"
)

// maxCallBytes is the maximum size of a call: the largest declaration, twice over.
const maxCallBytes = 32 << 20

// ServeCall answers the calls of one stream until it ends. It is a link.Handler.
func (l *Leader) ServeCall(ctx context.Context, _ string, c *link.Conn) {
	c.SetMaxBytes(maxCallBytes)
	for ctx.Err() == nil {
		call := &wire.ControlRequest{}
		if c.Recv(call) != nil {
			return
		}
		if c.Send(l.dispatch(ctx, call)) != nil {
			return
		}
	}
}

func (l *Leader) dispatch(ctx context.Context, call *wire.ControlRequest) *wire.ControlReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call.Method {
	case MethodChange:
		out, err := l.Driver.Propose(ctx, call.Command)
		if err != nil {
			return l.errorReply(err)
		}
		return &wire.ControlReply{Outcome: out}
	case MethodFetch:
		return l.fetch(ctx, call)
	case MethodJoinQuorum:
		return l.joinQuorum(call)
	case MethodLeaveQuorum:
		return l.leaveQuorum(call)
	}
	return l.errorReply(fault.New(fault.NotRun, fault.Unsupported, "call method %q is not supported", call.Method))
}

func (l *Leader) errorReply(err error) *wire.ControlReply {
	e := fault.From(err)
	l.Meter.CountRefusal(e.Reason)
	return &wire.ControlReply{
		Verdict: e.Verdict.String(), Reason: string(e.Reason), Text: e.Error(),
		Leader: l.Driver.Status().LeaderAddr,
	}
}

// fetch returns the resources as committed before the call, and the revision in force.
func (l *Leader) fetch(ctx context.Context, call *wire.ControlRequest) *wire.ControlReply {
	if err := l.Driver.ReadIndex(ctx); err != nil {
		return l.errorReply(err)
	}
	st := l.Driver.Status()
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) {
		return l.errorReply(fault.New(fault.NotRun, fault.NoLeader, "this host no longer leads the control quorum"))
	}
	reply := &wire.ControlReply{Inforce: l.inForce, Members: st.Members, Term: st.Term, Margin: uint64(st.FailureTolerance), Leader: st.Leader}
	for _, m := range st.Members.GetMembers() {
		if !m.Learner {
			reply.Voters++
		}
	}
	l.Driver.View(func(s *state.State) {
		reply.Revision = s.Revision()
		reply.Inforce = max(reply.Inforce, l.grantor.InForce(now, hostNames(s), s.Revision()))
		reply.Resources = requestedResources(s, call)
		reply.Hosts = l.hostViews(now, s)
		reply.Groups = l.groupViews(now, s)
	})
	return reply
}

func requestedResources(s *state.State, call *wire.ControlRequest) []*wire.Resource {
	if call.Name == "" {
		return s.List(spec.Kind(call.Kind))
	}
	if r := s.Get(spec.Kind(call.Kind), call.Name); r != nil {
		return []*wire.Resource{r}
	}
	return nil
}

func (l *Leader) hostViews(now time.Time, s *state.State) []*wire.HostView {
	var list []*wire.HostView
	for _, name := range hostNames(s) {
		list = append(list, &wire.HostView{
			Host: name, Applied: l.grantor.AppliedRevision(name), Left: uint64(l.grantor.Remaining(now, name)),
		})
	}
	return list
}

// groupViews returns the state of each group's failover: how many instance reports it has and
// needs, and whether all hosts have released the group. The caller holds mu.
func (l *Leader) groupViews(now time.Time, s *state.State) []*wire.GroupView {
	var list []*wire.GroupView
	hosts := l.liveEntryHosts(now, s)
	for _, r := range s.List(spec.Groups) {
		v := l.failoverView(now, r, nil, hosts)
		result := &wire.GroupView{
			Group: r.Name, Needed: uint64(v.RequiredCount()), Answers: uint64(v.EligibleCount()), Released: v.SealInForce, Failed: v.PrimaryFailed,
		}
		list = append(list, result)
	}
	return list
}

// joinQuorum records a control host that asks to join the quorum. updateMembership adds it later.
func (l *Leader) joinQuorum(call *wire.ControlRequest) *wire.ControlReply {
	if call.Member.GetId() == "" || call.Member.GetAddr() == "" {
		return l.errorReply(fault.New(fault.NotRun, fault.Invalid, "request to join the quorum has no member id or no address"))
	}
	return l.recordMemberRequest(func() { l.joining[call.Member.Id] = call.Member })
}

// leaveQuorum records that a control host is about to stop. updateMembership removes it if a successor
// is there. The leader itself must hand over first.
func (l *Leader) leaveQuorum(call *wire.ControlRequest) *wire.ControlReply {
	if call.Member.GetId() == "" {
		return l.errorReply(fault.New(fault.NotRun, fault.Invalid, "request to leave the quorum has no member id"))
	}
	if call.Member.Id == l.Driver.ID {
		return l.errorReply(fault.New(fault.NotRun, fault.NoLeader, "this host still leads the control quorum"))
	}
	now := l.Now()
	return l.recordMemberRequest(func() {
		delete(l.joining, call.Member.Id)
		l.roster.MarkLeaving(now, call.Member.Id)
		l.wake()
	})
}

// recordMemberRequest calls record if this host leads. The next reconcile round acts on it.
func (l *Leader) recordMemberRequest(record func()) *wire.ControlReply {
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkLeading(st) {
		return l.errorReply(fault.New(fault.NotRun, fault.NoLeader, "this host does not lead the control quorum"))
	}
	record()
	return &wire.ControlReply{Outcome: &wire.Outcome{Ok: true}, Members: st.Members}
}
