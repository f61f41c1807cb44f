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

// The methods of a call.
const (
	// Change puts a command into the log.
	Change = "change"
	// Fetch returns resources and the leader's view of them.
	Fetch = "fetch"
	// Member asks for a place in the quorum.
	Member = "member"
)

// ServeCall serves the calls of one stream; it is a link.Handler.
func (l *Leader) ServeCall(ctx context.Context, _ string, c *link.Conn) {
	for ctx.Err() == nil {
		call := &wire.Call{}
		if c.Recv(call) != nil {
			return
		}
		if c.Send(l.call(ctx, call)) != nil {
			return
		}
	}
}

func (l *Leader) call(ctx context.Context, call *wire.Call) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	switch call.Method {
	case Change:
		out, err := l.Driver.Propose(ctx, call.Command)
		if err != nil {
			return l.failure(err)
		}
		return &wire.Reply{Outcome: out}
	case Fetch:
		return l.fetch(ctx, call)
	case Member:
		return l.member(call)
	}
	return l.failure(fault.New(fault.NotRun, fault.Unsupported, "method %q is not known", call.Method))
}

func (l *Leader) failure(err error) *wire.Reply {
	e := fault.Of(err)
	l.Meter.Refused(e.Reason)
	return &wire.Reply{
		Verdict: e.Verdict.String(), Reason: string(e.Reason), Text: e.Error(),
		Leader: l.Driver.Status().LeaderAddr,
	}
}

// fetch returns what was committed before the call, with what is in force.
func (l *Leader) fetch(ctx context.Context, call *wire.Call) *wire.Reply {
	if err := l.Driver.ReadIndex(ctx); err != nil {
		return l.failure(err)
	}
	st := l.Driver.Status()
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads(st) {
		return l.failure(fault.New(fault.NotRun, fault.NoLeader, "lead was lost"))
	}
	reply := &wire.Reply{Inforce: l.inforce, Members: st.Members, Term: st.Term, Margin: uint64(st.FailureTolerance), Leader: st.Leader}
	for _, m := range st.Members.GetMembers() {
		if !m.Learner {
			reply.Voters++
		}
	}
	l.Driver.View(func(s *state.State) {
		reply.Revision = s.Revision()
		reply.Inforce = max(reply.Inforce, l.grantor.InForce(now, hostNames(s), s.Revision()))
		reply.Resources = selected(s, call)
		reply.Hosts = l.hostViews(now, s)
		reply.Groups = l.groupViews(now, s)
	})
	return reply
}

func selected(s *state.State, call *wire.Call) []*wire.Resource {
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
			Host: name, Applied: l.grantor.Applied(name), Left: uint64(l.grantor.Left(now, name)),
		})
	}
	return list
}

// groupViews tells, for each group that is not open, what its failover waits for.
func (l *Leader) groupViews(now time.Time, s *state.State) []*wire.GroupView {
	var list []*wire.GroupView
	hosts := l.entries(now, s)
	for _, r := range s.List(spec.Groups) {
		v := l.view(now, r, nil, hosts)
		one := &wire.GroupView{
			Group: r.Name, Needed: uint64(v.Needed()), Answers: uint64(v.Counted()), Released: v.Released, Failed: v.Failed,
		}
		list = append(list, one)
	}
	return list
}

// member notes a control host that asks for a place in the quorum.
func (l *Leader) member(call *wire.Call) *wire.Reply {
	if call.Member.GetId() == "" || call.Member.GetAddr() == "" {
		return l.failure(fault.New(fault.NotRun, fault.Invalid, "a place in the quorum was asked for without a name or an address"))
	}
	st := l.Driver.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads(st) {
		return l.failure(fault.New(fault.NotRun, fault.NoLeader, "this host does not lead the control quorum"))
	}
	l.joining[call.Member.Id] = call.Member
	return &wire.Reply{Outcome: &wire.Outcome{Ok: true}, Members: st.Members}
}
