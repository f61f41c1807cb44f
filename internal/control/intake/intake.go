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

// callTimeout bounds a call from outside: callers give a host a second, and then ask another.
const callTimeout = 940 * time.Millisecond

// Handler takes calls from outside. The exported fields are set before the first call.
type Handler struct {
	Agent *agent.Agent
	Log   *logs.Logger
	Meter *meter.Meter
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Name  string
	State *wire.BackendRun
}

// DeclareManifest puts a manifest into the log. It returns once that is durable, or with a mistake of
// the manifest as a fault with the reason Invalid.
func (h *Handler) DeclareManifest(ctx context.Context, m spec.Manifest, source []byte) error {
	if fieldErrors := m.Validate(); len(fieldErrors) > 0 {
		h.Meter.Refused(fault.Invalid)
		return fault.New(fault.NotRun, fault.Invalid, "%s: %s", fieldErrors[0].Field, fieldErrors[0].Text)
	}
	start := time.Now()
	err := h.submit(ctx, &wire.Command{Body: &wire.Command_Declare{Declare: &wire.Declare{Number: m.Number, Spec: m.Encode(), Source: source}}})
	logger := h.Log.WithField("number", m.Number).WithField("databases", len(m.Databases)).WithField("took", time.Since(start).String())
	if err != nil {
		logger.WithField("error", err.Error()).Info("declaration not acknowledged")
		return err
	}
	logger.Info("declaration acknowledged")
	return nil
}

// ManifestSource returns the newest declaration as it was sent. It fails unless a quorum confirms
// that there is no newer one.
func (h *Handler) ManifestSource(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.Agent.Call(ctx, &wire.Call{Method: leader.Fetch, Kind: string(spec.ManifestSources), Name: spec.CurrentManifest})
	if err != nil {
		return nil, err
	}
	if len(reply.Resources) == 0 {
		return nil, fault.New(fault.NotRun, fault.NotFound, "nothing was declared yet")
	}
	return reply.Resources[0].Spec, nil
}

// Announce takes what an instance says of itself. Only a change goes into the log.
func (h *Handler) Announce(ctx context.Context, a Announcement) error {
	if h.isKnown(a) {
		return nil
	}
	h.Log.WithField("instance", a.Name).WithField("group", a.State.Group).WithField("addr", a.State.Addr).
		WithField("standing", a.State.Standing.String()).WithField("primary", a.State.Primary).
		WithField("born", a.State.Born).WithField("seq", a.State.Seq).Info("instance announced a change")
	err := h.submit(ctx, &wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announce{Name: a.Name, Run: a.State}}})
	if fault.Is(err, fault.TooOld) {
		h.Meter.Refused(fault.TooOld)
		return nil
	}
	return err
}

// isKnown reports whether the log holds the announcement already, by this host's copy.
func (h *Handler) isKnown(a Announcement) bool {
	logged := h.Agent.View().Get(spec.Backends, a.Name).GetBackend()
	if logged == nil || logged.Born != a.State.Born {
		return false
	}
	expected := proto.Clone(logged).(*wire.BackendRun)
	expected.Seq = a.State.Seq
	return a.State.Seq >= logged.Seq && proto.Equal(expected, a.State)
}

// Withdraw takes an instance's word that it ends. A start of zero stands for any.
func (h *Handler) Withdraw(ctx context.Context, name string, incarnation int64) error {
	h.Log.WithField("instance", name).WithField("born", incarnation).Info("instance withdrew")
	err := h.submit(ctx, &wire.Command{Body: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Name: name, Born: incarnation}}})
	if fault.Is(err, fault.TooOld) || fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}

// submit has a command put into the log and returns what became of it.
func (h *Handler) submit(ctx context.Context, cmd *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.Agent.Call(ctx, &wire.Call{Method: leader.Change, Command: cmd})
	if err != nil {
		return err
	}
	if !reply.GetOutcome().GetOk() {
		return fault.New(fault.NotRun, fault.Reason(reply.GetOutcome().GetReason()), "%s", reply.GetOutcome().GetText())
	}
	return nil
}
