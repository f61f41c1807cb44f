package agent

import (
	"context"
	"errors"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/leader"
)

// callAttemptTimeout bounds one attempt of a call.
const callAttemptTimeout = 4 * time.Second

// Call sends a call to the control leader and returns its reply. It retries until ctx ends while
// the verdict is NotRun because there is no leader or no quorum. It also retries a change with a
// request id that may have run, because the state keeps the outcome of each request and returns it
// again.
//
// Errors are of type *fault.Error. If an earlier attempt may have run, the verdict is MayHaveRun.
func (a *Agent) Call(ctx context.Context, call *wire.ControlRequest) (*wire.ControlReply, error) {
	mayHaveRun := false
	var last error = fault.New(fault.NotRun, fault.NoLeader, "no control host answered")
	for ctx.Err() == nil {
		reply, err := a.callOnce(ctx, call)
		if err == nil {
			return reply, nil
		}
		last = err
		e := fault.From(err)
		if e.Verdict != fault.NotRun {
			mayHaveRun = true
			if call.Command.GetRequest() == "" {
				break
			}
		} else if e.Reason != fault.NoLeader && e.Reason != fault.NoQuorum {
			break
		}
		a.Meter.CountRetry(e.Reason)
		clock.Sleep(ctx, retryInterval)
	}
	if e := fault.From(last); mayHaveRun && e.Verdict == fault.NotRun {
		return nil, &fault.Error{Verdict: fault.MayHaveRun, Reason: e.Reason, Text: "an earlier attempt of the call may have run", Cause: last}
	}
	return nil, last
}

func (a *Agent) callOnce(ctx context.Context, call *wire.ControlRequest) (*wire.ControlReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callAttemptTimeout)
	defer cancel()
	c, err := a.Dialer.Open(ctx, a.nextControlAddr(), leader.CallService)
	if err != nil {
		a.setLeader("")
		return nil, fault.New(fault.NotRun, fault.NoLeader, "cannot connect to the control host").WithCause(err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := c.Send(call); errors.Is(err, link.ErrEncode) {
		return nil, fault.New(fault.NotRun, fault.Invalid, "a name or id in the call is not UTF-8").WithCause(err)
	} else if err != nil {
		return nil, fault.New(verdictWithoutReply(call), fault.NoQuorum, "connection to the control host failed while sending the call").WithCause(err)
	}
	reply := &wire.ControlReply{}
	if err := c.Recv(reply); err != nil {
		a.setLeader("")
		return nil, fault.New(verdictWithoutReply(call), fault.NoQuorum, "connection to the control host failed before the reply arrived").WithCause(err)
	}
	if reply.Reason != "" {
		return nil, a.refusedError(reply)
	}
	return reply, nil
}

// Leave ends the renewal of the lease and removes this host from the replicated state, so that nothing
// waits for its lease to expire. Failure is only logged.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.left = true
	a.mu.Unlock()
	cmd := &wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveHost{Host: a.Host, Instance: a.Registration.Instance}}}
	if _, err := a.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd}); err != nil {
		a.Log.WithError(err).Warn("removing this host from the control state failed")
	}
}

// LeaveQuorum tells the control leader that the control host with the identity id is about to stop, so
// that a successor takes its place before it does. Failure is only logged.
func (a *Agent) LeaveQuorum(ctx context.Context, id string) {
	if _, err := a.Call(ctx, &wire.ControlRequest{Method: leader.MethodLeaveQuorum, Member: &wire.Member{Id: id}}); err != nil {
		a.Log.WithError(err).Warn("telling the control leader that this host stops failed")
	}
}

// verdictWithoutReply returns the verdict of a call whose reply did not arrive.
func verdictWithoutReply(call *wire.ControlRequest) fault.Verdict {
	if call.Method == leader.MethodChange {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

func (a *Agent) refusedError(reply *wire.ControlReply) error {
	if reply.Reason == string(fault.NoLeader) {
		a.setLeader(reply.Leader)
	}
	v := fault.MayHaveRun
	if reply.Verdict == fault.NotRun.String() {
		v = fault.NotRun
	}
	return fault.New(v, fault.Reason(reply.Reason), "%s", reply.Text)
}
