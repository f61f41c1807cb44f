// Package intake handles the manifests of operators and the announcements of instances that a
// control host receives, and forwards them to the current leader.
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
	"github.com/agatespindle/agatespindle/internal/control/state"
)

// callTimeout limits a call to the leader. Clients wait 1 s for a host before they try another.
const callTimeout = 940 * time.Millisecond

// Forwarder forwards manifests and announcements to the current leader. Set the exported fields
// before the first call.
type Forwarder struct {
	Agent *agent.Agent
	Log   *logs.Logger
	Meter *meter.Meter
}

// Announcement is the state that an instance reports about itself under its name.
type Announcement struct {
	Name          string
	InstanceState *wire.BackendState
}

// DeclareManifest appends a manifest and its source text to the replicated log and returns once
// they are durable. If the manifest is invalid, it returns a fault with reason Invalid that
// describes its errors.
func (f *Forwarder) DeclareManifest(ctx context.Context, m spec.Manifest, source []byte) error {
	if fieldErrors := m.Validate(); len(fieldErrors) > 0 {
		f.Meter.CountRefusal(fault.Invalid)
		return fault.New(fault.NotRun, fault.Invalid, "%s", spec.Describe(fieldErrors))
	}
	start := time.Now()
	err := f.submit(ctx, &wire.Command{Body: &wire.Command_Declare{Declare: &wire.DeclareManifest{Number: m.Number, Spec: m.Encode(), Source: source}}})
	logger := f.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).WithField("took", time.Since(start).String())
	if err != nil {
		logger.WithField("error", err.Error()).Info("manifest not acknowledged")
		return err
	}
	logger.Info("manifest acknowledged")
	return nil
}

// ManifestSource returns the source text of the newest manifest. It fails unless a quorum
// confirms that there is no newer one, and returns a fault with reason NotFound if no manifest
// has been declared.
func (f *Forwarder) ManifestSource(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := f.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodFetch, Kind: string(spec.ManifestSources), Name: spec.CurrentManifest})
	if err != nil {
		return nil, err
	}
	if len(reply.Resources) == 0 {
		return nil, fault.New(fault.NotRun, fault.NotFound, "no manifest has been declared yet")
	}
	return reply.Resources[0].Spec, nil
}

// Announce records the state that an instance reports. Only changes are written to the log. An
// announcement older than the recorded state is counted and ignored.
func (f *Forwarder) Announce(ctx context.Context, a Announcement) error {
	if f.isKnown(a) {
		return nil
	}
	f.Log.WithField("instance", a.Name).WithField("group", a.InstanceState.Group).WithField("addr", a.InstanceState.Addr).
		WithField("standing", a.InstanceState.Standing.String()).WithField("primary", a.InstanceState.Primary).
		WithField("born", a.InstanceState.Born).WithField("seq", a.InstanceState.Seq).Info("instance announced a change")
	err := f.submit(ctx, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.AnnounceInstance{Name: a.Name, Run: a.InstanceState}}})
	if fault.HasReason(err, fault.TooOld) {
		f.Meter.CountRefusal(fault.TooOld)
		return nil
	}
	return err
}

// isKnown reports whether this host's copy of the log already has the announced state; a higher
// sequence number alone is no change.
func (f *Forwarder) isKnown(a Announcement) bool {
	logged := f.Agent.View().Get(spec.Backends, a.Name).GetBackend()
	if logged == nil || logged.Born != a.InstanceState.Born {
		return false
	}
	expected := proto.Clone(logged).(*wire.BackendState)
	expected.Seq = a.InstanceState.Seq
	return a.InstanceState.Seq >= logged.Seq && proto.Equal(expected, state.WithLeaving(a.InstanceState, logged))
}

// Withdraw records that an instance is shutting down. The incarnation is the instance's start
// time in Unix milliseconds; zero matches any. A withdrawal of an unknown instance or of an
// older incarnation is ignored.
func (f *Forwarder) Withdraw(ctx context.Context, name string, incarnation int64) error {
	f.Log.WithField("instance", name).WithField("born", incarnation).Info("instance announced its shutdown")
	err := f.submit(ctx, &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.WithdrawInstance{Name: name, Born: incarnation}}})
	if fault.HasReason(err, fault.TooOld) || fault.HasReason(err, fault.NotFound) {
		return nil
	}
	return err
}

// submit sends a command to the leader and returns an error unless it is committed and accepted.
func (f *Forwarder) submit(ctx context.Context, cmd *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := f.Agent.Call(ctx, &wire.ControlRequest{Method: leader.MethodChange, Command: cmd})
	if err != nil {
		return err
	}
	if !reply.GetOutcome().GetOk() {
		return fault.New(fault.NotRun, fault.Reason(reply.GetOutcome().GetReason()), "%s", reply.GetOutcome().GetText())
	}
	return nil
}
