// Package intake provides what a control host takes from outside: declarations of operators
// and the announcements of instances. It passes them to the leader, whoever that is.
package intake

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/agent"
	"github.com/agatespindle/agatespindle/internal/control/leader"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// answerWithin bounds a call from outside: callers give a host a second, and then ask another.
const answerWithin = 940 * time.Millisecond

// Desk takes calls from outside. The exported fields are set before the first call.
type Desk struct {
	Agent *agent.Agent
	Log   *logs.Logger
	Meter *meter.Meter
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Name string
	Run  *wire.BackendState
}

// Declare puts a manifest into the log. It returns once that is durable, or with a mistake of
// the manifest as a fault with the reason Invalid.
func (d *Desk) Declare(ctx context.Context, m spec.Manifest, source []byte) error {
	if broken := m.Check(); len(broken) > 0 {
		d.Meter.CountRefusal(fault.Invalid)
		return fault.New(fault.NotRun, fault.Invalid, "%s: %s", broken[0].Field, broken[0].Text)
	}
	began := time.Now()
	err := d.change(ctx, &wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: m.Number, Spec: m.Encode(), Source: source}}})
	line := d.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).WithField("took", time.Since(began).String())
	if err != nil {
		line.WithField("error", err.Error()).Info("declaration not acknowledged")
		return err
	}
	line.Info("declaration acknowledged")
	return nil
}

// Source returns the newest declaration as it was sent. It fails unless a quorum confirms
// that there is no newer one.
func (d *Desk) Source(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	reply, err := d.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodFetch, Kind: string(spec.Sources), Name: spec.Current})
	if err != nil {
		return nil, err
	}
	if len(reply.Resources) == 0 {
		return nil, fault.New(fault.NotRun, fault.NotFound, "nothing was declared yet")
	}
	return reply.Resources[0].Spec, nil
}

// Announce takes what an instance says of itself. Only a change goes into the log.
func (d *Desk) Announce(ctx context.Context, a Announcement) error {
	if d.known(a) {
		return nil
	}
	d.Log.WithField("instance", a.Name).WithField("group", a.Run.Group).WithField("addr", a.Run.Addr).
		WithField("standing", a.Run.Standing.String()).WithField("primary", a.Run.Primary).
		WithField("born", a.Run.Born).WithField("seq", a.Run.Seq).Info("instance announced a change")
	err := d.change(ctx, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: a.Name, Run: a.Run}}})
	if fault.HasReason(err, fault.TooOld) {
		d.Meter.CountRefusal(fault.TooOld)
		return nil
	}
	return err
}

// known reports whether the log holds the announcement already, by this host's copy.
func (d *Desk) known(a Announcement) bool {
	have := d.Agent.View().Get(spec.Backends, a.Name).GetBackend()
	if have == nil || have.Born != a.Run.Born {
		return false
	}
	same := proto.Clone(have).(*wire.BackendState)
	same.Seq = a.Run.Seq
	return a.Run.Seq >= have.Seq && proto.Equal(same, a.Run)
}

// Withdraw takes an instance's word that it ends. A start of zero stands for any.
func (d *Desk) Withdraw(ctx context.Context, name string, born int64) error {
	d.Log.WithField("instance", name).WithField("born", born).Info("instance withdrew")
	err := d.change(ctx, &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: name, Born: born}}})
	if fault.HasReason(err, fault.TooOld) || fault.HasReason(err, fault.NotFound) {
		return nil
	}
	return err
}

// change has a command put into the log and returns what became of it.
func (d *Desk) change(ctx context.Context, cmd *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	reply, err := d.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd})
	if err != nil {
		return err
	}
	if !reply.GetOutcome().GetOk() {
		return fault.New(fault.NotRun, fault.Reason(reply.GetOutcome().GetReason()), "%s", reply.GetOutcome().GetText())
	}
	return nil
}
