// Package driver provides a running control host: it carries out what package quorum
// decides, on disk and between hosts, and applies what is committed.
package driver

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/base/meter"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/state"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

const (
	tickInterval = 10 * time.Millisecond
	inboxSize    = 1024
	maxBatch     = 512
	// snapshotEvery is the number of applied entries between two snapshots.
	snapshotEvery = 4096
	// snapshotBytes is the size of applied entries between two snapshots; it keeps the log in
	// memory and on disk small where commands are large.
	snapshotBytes = 4 << 20
)

// Service is the name of the stream between control hosts.
const Service = "quorum"

// Status is the driver's view of the quorum at one moment.
type Status struct {
	Role       quorum.Role
	Term       uint64
	Leader     string
	LeaderAddr string
	// Leading is set once this host has committed an entry of its term.
	Leading bool
	// LeaseUntil is until when no other host can have become leader.
	LeaseUntil time.Time
	Elected    time.Time
	Commit     uint64
	Members    *wire.Members
	Margin     int
	// CaughtUp are the members whose log holds all that is committed, where this host leads.
	CaughtUp map[string]bool
	// Healthy are the members that confirmed a heartbeat lately, where this host leads.
	Healthy map[string]bool
	// Heard is when this host last heard a leader.
	Heard time.Time
}

// Driver runs one control host. The exported fields are set before Run.
type Driver struct {
	// ID is the identity of the log in Store.
	ID string
	// Options are passed to the core; their ID is set from ID.
	Options  quorum.Options
	Store    *store.Store
	Restored quorum.PersistentState
	Dialer   *link.Dialer
	Log      *logs.Logger
	Meter    *meter.Meter
	// Now returns the present time; it is a seam for tests.
	Now func() time.Time

	inbox   chan request
	status  atomic.Pointer[Status]
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}
	core    *quorum.Core
	waiting map[uint64]waiter
	asked   map[uint64]chan answer
	nextID  uint64
	lastCut uint64
	// logged is the size of the entries applied since the last snapshot.
	logged  int
	senders map[string]*sender
	// said is the address of the leader by its own word.
	said atomic.Pointer[wire.Member]
	wg   sync.WaitGroup
}

// request is something that the loop takes in.
type request struct {
	event  quorum.Event
	kind   wire.EntryKind
	data   []byte
	read   bool
	answer chan answer
}

type answer struct {
	outcome *wire.Outcome
	index   uint64
	err     error
}

// waiter waits for the entry at an index to be committed in a term.
type waiter struct {
	term   uint64
	answer chan answer
}

// Prepare makes the driver ready for calls; Run must follow.
func (d *Driver) Prepare() error {
	d.inbox = make(chan request, inboxSize)
	d.changed = make(chan struct{})
	d.waiting = map[uint64]waiter{}
	d.asked = map[uint64]chan answer{}
	d.senders = map[string]*sender{}
	d.Options.ID = d.ID
	return d.resume()
}

// Run serves until ctx ends; the end is reported on the channel.
func (d *Driver) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		err := d.run(ctx)
		cancel()
		d.wg.Wait()
		d.Store.Close()
		done <- err
	}()
	return done
}

func (d *Driver) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			err = d.step(ctx, quorum.Tick{})
		case r := <-d.inbox:
			err = d.takeIn(ctx, r)
		}
		if err != nil {
			return err
		}
	}
}

// takeIn handles a request and those that wait behind it; proposals become one batch.
func (d *Driver) takeIn(ctx context.Context, r request) error {
	var batch []quorum.Proposal
	for n := 0; ; n++ {
		if r.answer != nil && !r.read {
			batch = append(batch, d.proposal(r))
		} else if err := d.other(ctx, r); err != nil {
			return err
		}
		if n >= maxBatch || len(d.inbox) == 0 {
			break
		}
		r = <-d.inbox
	}
	if len(batch) == 0 {
		return nil
	}
	return d.step(ctx, quorum.Propose{Items: batch})
}

func (d *Driver) proposal(r request) quorum.Proposal {
	d.nextID++
	d.asked[d.nextID] = r.answer
	return quorum.Proposal{ID: d.nextID, Kind: r.kind, Data: r.data}
}

func (d *Driver) other(ctx context.Context, r request) error {
	if !r.read {
		return d.step(ctx, r.event)
	}
	d.nextID++
	d.asked[d.nextID] = r.answer
	return d.step(ctx, quorum.Read{ID: d.nextID})
}

// step lets the core decide and carries out what follows.
func (d *Driver) step(ctx context.Context, ev quorum.Event) error {
	for _, a := range d.core.Step(d.Now(), ev) {
		if err := d.carryOut(ctx, a); err != nil {
			return err
		}
	}
	d.publish()
	return d.compact()
}

func (d *Driver) carryOut(ctx context.Context, a quorum.Action) error {
	switch a := a.(type) {
	case quorum.Save:
		d.Meter.AddCounter("log.saves", 1)
		return d.Store.Save(a)
	case quorum.Send:
		d.sendTo(ctx, a.Message)
	case quorum.Apply:
		d.apply(a.Entries)
	case quorum.InstallSnapshot:
		return d.install(a.Snapshot)
	case quorum.ProposalAppended:
		d.waiting[a.Index] = waiter{a.Term, d.asked[a.ID]}
		delete(d.asked, a.ID)
	case quorum.Refused:
		d.reply(a.ID, answer{err: noLeader()})
	case quorum.ReadReady:
		d.reply(a.ID, answer{index: a.Index})
	case quorum.LeadershipChanged:
		d.Log.WithField("term", a.Term).WithField("part", a.Role.String()).WithField("leader", a.Leader).Info("quorum changed")
	}
	return nil
}

func noLeader() *fault.Error {
	return fault.New(fault.NotRun, fault.NoLeader, "this host does not lead the control quorum")
}

func (d *Driver) reply(id uint64, a answer) {
	if ch, ok := d.asked[id]; ok {
		ch <- a
		delete(d.asked, id)
	}
}

func (d *Driver) apply(entries []*wire.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		out := d.applyOne(e)
		d.logged += len(e.Data)
		if w, ok := d.waiting[e.Index]; ok {
			delete(d.waiting, e.Index)
			w.answer <- settled(w, e, out)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.Log.SetRevision(d.state.Revision())
}

// settled answers the proposer of the entry at an index: another term's entry there means
// that its own will never be committed.
func settled(w waiter, e *wire.Entry, out *wire.Outcome) answer {
	if w.term != e.Term {
		return answer{err: fault.New(fault.NotRun, fault.NoLeader, "another leader replaced the change before it was committed")}
	}
	return answer{outcome: out, index: e.Index}
}

func (d *Driver) applyOne(e *wire.Entry) *wire.Outcome {
	if e.Kind != wire.EntryKind_COMMAND {
		d.state.Skip(e.Index)
		return &wire.Outcome{Ok: true, Revision: e.Index}
	}
	cmd := &wire.Command{}
	if err := proto.Unmarshal(e.Data, cmd); err != nil {
		d.state.Skip(e.Index)
		return &wire.Outcome{Reason: string(fault.Invalid), Text: err.Error()}
	}
	return d.state.Apply(e.Index, cmd)
}

func (d *Driver) install(s quorum.Snapshot) error {
	if err := d.Store.Install(s); err != nil {
		return err
	}
	return d.adopt(s)
}

// adopt replaces the state by that of a snapshot.
func (d *Driver) adopt(s quorum.Snapshot) error {
	next := state.New()
	if len(s.Data) > 0 {
		var err error
		if next, err = state.Restore(s.Data); err != nil {
			return fmt.Errorf("restore state: %w", err)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next.Skip(s.Index)
	d.state = next
	d.lastCut = s.Index
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// compact puts the state into a snapshot once enough entries were applied.
func (d *Driver) compact() error {
	if d.state.Revision() < d.lastCut+snapshotEvery && d.logged < snapshotBytes {
		return nil
	}
	if d.state.Revision() == d.lastCut {
		return nil
	}
	d.logged = 0
	index := d.state.Revision()
	s := quorum.Snapshot{Index: index, Term: d.core.TermAt(index), Members: d.core.MembersAt(index), Data: d.state.Snapshot()}
	if err := d.Store.Install(s); err != nil {
		return err
	}
	d.lastCut = index
	d.core.Step(d.Now(), quorum.Compact{Snapshot: s})
	return nil
}

func (d *Driver) publish() {
	s := &Status{
		Role: d.core.Role(), Term: d.core.Term(), Leader: d.core.Leader(), Leading: d.core.Leading(),
		LeaseUntil: d.core.LeaseUntil(), Elected: d.core.ElectedAt(), Commit: d.core.CommitIndex(),
		Members: d.core.Members(), Margin: d.core.FailureTolerance(), Heard: d.core.LastContact(),
	}
	if s.Role == quorum.Leader {
		s.CaughtUp = map[string]bool{}
		s.Healthy = map[string]bool{}
		for _, m := range s.Members.Members {
			s.CaughtUp[m.Id] = d.core.CaughtUp(m.Id)
			s.Healthy[m.Id] = d.core.Healthy(m.Id)
		}
	}
	s.LeaderAddr = addrOf(s.Members, s.Leader)
	d.status.Store(s)
}

func addrOf(m *wire.Members, id string) string {
	for _, one := range m.GetMembers() {
		if one.Id == id {
			return one.Addr
		}
	}
	return ""
}

// Status returns the latest view of the quorum.
func (d *Driver) Status() Status { return *d.status.Load() }

// View calls fn with the state, which fn must neither change nor keep.
func (d *Driver) View(fn func(*state.State)) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	fn(d.state)
}

// Changes returns a channel that is closed at the next change of the state.
func (d *Driver) Changes() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Propose puts a command into the log and returns its outcome once it is committed. The
// error's verdict is NotRun where the command has no effect, and MayHaveRun where ctx ended
// before that was known.
func (d *Driver) Propose(ctx context.Context, cmd *wire.Command) (*wire.Outcome, error) {
	b, err := proto.Marshal(cmd)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Invalid, "encode command").WithCause(err)
	}
	a := d.ask(ctx, request{kind: wire.EntryKind_COMMAND, data: b})
	return a.outcome, a.err
}

// ChangeMembers puts a membership into the log; it differs by one voter at most.
func (d *Driver) ChangeMembers(ctx context.Context, m *wire.Members) error {
	return d.ask(ctx, request{kind: wire.EntryKind_MEMBERS, data: quorum.EncodeMembers(m)}).err
}

// ReadIndex returns once the state of this host holds all that was committed before the call.
func (d *Driver) ReadIndex(ctx context.Context) error {
	a := d.ask(ctx, request{read: true})
	if a.err != nil {
		return a.err
	}
	for {
		changed := d.Changes()
		var at uint64
		d.View(func(s *state.State) { at = s.Revision() })
		if at >= a.index {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.NotRun, fault.NoQuorum, "state did not catch up in time")
		case <-changed:
		}
	}
}

func (d *Driver) ask(ctx context.Context, r request) answer {
	r.answer = make(chan answer, 1)
	select {
	case d.inbox <- r:
	case <-ctx.Done():
		return answer{err: fault.New(fault.NotRun, fault.NoQuorum, "control is overloaded")}
	}
	select {
	case a := <-r.answer:
		return a
	case <-ctx.Done():
		v := fault.MayHaveRun
		if r.read {
			v = fault.NotRun
		}
		return answer{err: fault.New(v, fault.NoQuorum, "no quorum of control hosts answered in time")}
	}
}

// Handover lets another control host take over the lead, if this one has it.
func (d *Driver) Handover(ctx context.Context) {
	for d.Status().Role == quorum.Leader && ctx.Err() == nil {
		d.post(request{event: quorum.TransferLeadership{}})
		select {
		case <-ctx.Done():
		case <-time.After(10 * tickInterval):
		}
		if len(d.Status().Members.GetMembers()) < 2 {
			return
		}
	}
}

// post hands an event to the loop; it is dropped when the loop is overloaded.
func (d *Driver) post(r request) {
	select {
	case d.inbox <- r:
	default:
		d.Meter.AddCounter("log.dropped", 1)
	}
}

// HostOf returns the host's name in a log identity.
func HostOf(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}
