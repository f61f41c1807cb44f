// Package driver runs a control host: it executes the decisions of package quorum, writes the
// log to disk, exchanges messages with other hosts, and applies committed entries to the state.
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
	inboxSize    = 1024 // requests
	maxBatchSize = 512  // requests
	// maxEntriesSinceSnapshot is the number of applied entries after which a snapshot is taken.
	maxEntriesSinceSnapshot = 4096
	// maxBytesSinceSnapshot is the size of applied entries after which a snapshot is taken. It
	// limits the log in memory and on disk when commands are large.
	maxBytesSinceSnapshot = 4 << 20
)

// QuorumService is the name of the link service for messages between control hosts.
const QuorumService = "quorum"

// Status is this host's view of the quorum at one moment.
type Status struct {
	Role quorum.Role
	Term uint64
	// Leader is the ID of the leader, and LeaderAddr its address (host:port); "" if unknown.
	Leader     string
	LeaderAddr string
	// LeaderKnown is set once this host has known a leader since its start.
	LeaderKnown bool
	// Leading is set once this host is the leader and has committed an entry of its term.
	Leading bool
	// LeaseUntil is the time until which no other host can become leader.
	LeaseUntil time.Time
	// ElectedAt is when this host became the leader of its term.
	ElectedAt time.Time
	// CommitIndex is the log index of the last entry that this host knows to be committed.
	CommitIndex uint64
	// Members is the latest membership in this host's log, committed or not.
	Members *wire.Members
	// FailureTolerance is how many healthy voters may fail without losing the quorum. It is 0
	// unless this host is the leader.
	FailureTolerance int
	// CaughtUp maps member ID to whether the member's log has all committed entries. It is nil
	// unless this host is the leader.
	CaughtUp map[string]bool
	// Healthy maps member ID to whether the member confirmed a recent heartbeat. It is nil unless
	// this host is the leader.
	Healthy map[string]bool
	// LastContact is when this host last received a message from a leader.
	LastContact time.Time
	// LeaseHolder is the other control host that may hold a lease which this host confirmed; nil if
	// there is none.
	LeaseHolder *wire.Member
}

// ActiveVoter reports whether the host with the identity id, whose status this is, is a voter and
// either leads or heard from the leader within silenceLimit.
func (s Status) ActiveVoter(now time.Time, id string, silenceLimit time.Duration) bool {
	for _, m := range s.Members.GetMembers() {
		if m.Id == id {
			return !m.Learner && (s.Role == quorum.Leader || now.Sub(s.LastContact) < silenceLimit)
		}
	}
	return false
}

// Driver runs one control host. The exported fields must be set before Prepare.
type Driver struct {
	// ID is the identity of this host's log in Store.
	ID string
	// Options are passed to the core. Prepare sets Options.ID to ID.
	Options quorum.Options
	Store   *store.Store
	// Restored is what Store held when it was opened.
	Restored quorum.PersistentState
	Dialer   *link.Dialer
	Log      *logs.Logger
	Meter    *meter.Meter
	// Now returns the current time. Tests may replace it.
	Now func() time.Time

	inbox  chan request
	status atomic.Pointer[Status]
	// mu guards state, changed and leaderChanged.
	mu    sync.RWMutex
	state *state.State
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	// leaderChanged is closed and replaced when Status names another leader or Leading changes.
	leaderChanged chan struct{}
	core          *quorum.Core
	// pendingCommits has the appended proposals by log index.
	pendingCommits map[uint64]pendingCommit
	// pendingRequests has the proposals and reads that the core has not answered, by request ID.
	pendingRequests   map[uint64]chan result
	nextRequestID     uint64
	lastSnapshotIndex uint64
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot.
	bytesSinceSnapshot int
	senders            map[string]*sender
	// announcedLeader has the address that the leader gave in its messages.
	announcedLeader atomic.Pointer[wire.Member]
	wg              sync.WaitGroup
}

// request is an event, a proposal or a read that the loop handles.
type request struct {
	event quorum.Event
	kind  wire.EntryKind
	data  []byte
	// read asks for the read index instead of proposing an entry.
	read bool
	// result has a buffer of one. It is nil for events, which get no result.
	result chan result
}

// result is the result of a proposal (outcome, index) or of a read (index).
type result struct {
	outcome *wire.Outcome
	index   uint64
	err     error
}

// pendingCommit is a proposal that was appended to the log in a term and is not committed yet.
type pendingCommit struct {
	term   uint64
	result chan result
}

// Prepare makes the driver ready for calls. Run must follow. The error says that the snapshot in
// Restored could not be decoded.
func (d *Driver) Prepare() error {
	d.inbox = make(chan request, inboxSize)
	d.changed = make(chan struct{})
	d.leaderChanged = make(chan struct{})
	d.pendingCommits = map[uint64]pendingCommit{}
	d.pendingRequests = map[uint64]chan result{}
	d.senders = map[string]*sender{}
	d.Options.ID = d.ID
	return d.startCore()
}

// Run starts the driver in the background. When ctx ends or an error stops the driver, it closes
// Store and sends the error or nil on the channel.
func (d *Driver) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		d.wg.Add(1)
		go d.probeLeaseHolder(ctx)
		err := d.runWithDiskRecovery(ctx)
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
			err = d.handleRequests(ctx, r)
		}
		if err != nil {
			return err
		}
	}
}

// handleRequests handles a request and the ones queued behind it, up to the batch limit. All
// proposals among them go to the core as one batch.
func (d *Driver) handleRequests(ctx context.Context, r request) error {
	var batch []quorum.Proposal
	for n := 0; ; n++ {
		if r.result != nil && !r.read {
			batch = append(batch, d.newProposal(r))
		} else if err := d.handleEventOrRead(ctx, r); err != nil {
			return err
		}
		if n >= maxBatchSize || len(d.inbox) == 0 {
			break
		}
		r = <-d.inbox
	}
	if len(batch) == 0 {
		return nil
	}
	return d.step(ctx, quorum.Propose{Items: batch})
}

func (d *Driver) newProposal(r request) quorum.Proposal {
	d.nextRequestID++
	d.pendingRequests[d.nextRequestID] = r.result
	return quorum.Proposal{ID: d.nextRequestID, Kind: r.kind, Data: r.data}
}

func (d *Driver) handleEventOrRead(ctx context.Context, r request) error {
	if !r.read {
		return d.step(ctx, r.event)
	}
	d.nextRequestID++
	d.pendingRequests[d.nextRequestID] = r.result
	return d.step(ctx, quorum.Read{ID: d.nextRequestID})
}

// step passes an event to the core and executes the resulting actions.
func (d *Driver) step(ctx context.Context, ev quorum.Event) error {
	for _, a := range d.core.Step(d.Now(), ev) {
		if err := d.execute(ctx, a); err != nil {
			return err
		}
	}
	d.publishStatus()
	return d.compact()
}

func (d *Driver) execute(ctx context.Context, a quorum.Action) error {
	switch a := a.(type) {
	case quorum.Save:
		d.Meter.AddCounter("log.saves", 1)
		return d.Store.Save(a)
	case quorum.Send:
		d.queueMessage(ctx, a.Message)
	case quorum.Apply:
		d.apply(a.Entries)
	case quorum.InstallSnapshot:
		return d.installSnapshot(a.Snapshot)
	case quorum.ProposalAppended:
		d.pendingCommits[a.Index] = pendingCommit{a.Term, d.pendingRequests[a.ID]}
		delete(d.pendingRequests, a.ID)
	case quorum.Refused:
		d.complete(a.ID, result{err: notLeaderError()})
	case quorum.ReadReady:
		d.complete(a.ID, result{index: a.Index})
	case quorum.LeadershipChanged:
		d.Log.WithField("term", a.Term).WithField("part", a.Role.String()).WithField("leader", a.Leader).Info("quorum role, term or leader changed")
	}
	return nil
}

func notLeaderError() *fault.Error {
	return fault.New(fault.NotRun, fault.NoLeader, "this host does not lead the control quorum")
}

// complete sends the result of a pending request to its caller.
func (d *Driver) complete(id uint64, res result) {
	if ch, ok := d.pendingRequests[id]; ok {
		ch <- res
		delete(d.pendingRequests, id)
	}
}

func (d *Driver) apply(entries []*wire.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		out := d.applyOne(e)
		d.bytesSinceSnapshot += len(e.Data)
		if pending, ok := d.pendingCommits[e.Index]; ok {
			delete(d.pendingCommits, e.Index)
			pending.result <- proposalResult(pending, e, out)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.Log.SetRevision(d.state.Revision())
}

// proposalResult returns the result of a proposal that was appended at the index of e. If e has
// another term, the proposed entry was overwritten and will never be committed.
func proposalResult(pending pendingCommit, e *wire.Entry, outcome *wire.Outcome) result {
	if pending.term != e.Term {
		return result{err: fault.New(fault.NotRun, fault.NoLeader, "change was overwritten by another leader before it was committed")}
	}
	return result{outcome: outcome, index: e.Index}
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

func (d *Driver) installSnapshot(s quorum.Snapshot) error {
	if err := d.Store.InstallSnapshot(s); err != nil {
		return err
	}
	return d.restoreState(s)
}

// restoreState replaces the state with that of a snapshot.
func (d *Driver) restoreState(s quorum.Snapshot) error {
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
	d.lastSnapshotIndex = s.Index
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// compact writes a snapshot of the state once enough entries have been applied since the last one.
func (d *Driver) compact() error {
	if d.state.Revision() < d.lastSnapshotIndex+maxEntriesSinceSnapshot && d.bytesSinceSnapshot < maxBytesSinceSnapshot {
		return nil
	}
	if d.state.Revision() == d.lastSnapshotIndex {
		return nil
	}
	d.bytesSinceSnapshot = 0
	index := d.state.Revision()
	s := quorum.Snapshot{Index: index, Term: d.core.TermAt(index), Members: d.core.MembersAt(index), Data: d.state.Snapshot()}
	if err := d.Store.InstallSnapshot(s); err != nil {
		return err
	}
	d.lastSnapshotIndex = index
	d.core.Step(d.Now(), quorum.Compact{Snapshot: s})
	return nil
}

func (d *Driver) publishStatus() {
	s := &Status{
		Role: d.core.Role(), Term: d.core.Term(), Leader: d.core.Leader(), Leading: d.core.Leading(),
		LeaseUntil: d.core.LeaseUntil(), ElectedAt: d.core.ElectedAt(), CommitIndex: d.core.CommitIndex(),
		Members: d.core.Members(), FailureTolerance: d.core.FailureTolerance(), LastContact: d.core.LastContact(),
		LeaseHolder: d.core.LeaseHolder(),
	}
	if s.Role == quorum.Leader {
		s.CaughtUp = map[string]bool{}
		s.Healthy = map[string]bool{}
		for _, m := range s.Members.Members {
			s.CaughtUp[m.Id] = d.core.CaughtUp(m.Id)
			s.Healthy[m.Id] = d.core.Healthy(m.Id)
		}
	}
	s.LeaderAddr = memberAddr(s.Members, s.Leader)
	d.storeStatus(s)
}

// storeStatus stores a new status and wakes those who wait for a change of the leader.
func (d *Driver) storeStatus(s *Status) {
	previous := d.status.Load()
	s.LeaderKnown = s.Leader != "" || previous != nil && previous.LeaderKnown
	d.status.Store(s)
	if previous != nil && previous.LeaderAddr == s.LeaderAddr && previous.Leading == s.Leading {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.leaderChanged)
	d.leaderChanged = make(chan struct{})
}

// memberAddr returns the address of a member, or "" if id is not in m.
func memberAddr(m *wire.Members, id string) string {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return member.Addr
		}
	}
	return ""
}

// Status returns the latest view of the quorum.
func (d *Driver) Status() Status { return *d.status.Load() }

// View calls fn with the state under a read lock. fn must neither change nor retain the state.
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

// LeaderChanges returns a channel that is closed when Status next names another leader, or when
// this host next starts or stops leading.
func (d *Driver) LeaderChanges() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.leaderChanged
}

// Propose appends a command to the log and returns its outcome once it is committed and applied.
// The error is a *fault.Error with verdict NotRun if the command has no effect, and MayHaveRun if
// ctx ended or the disk failed before that was known.
func (d *Driver) Propose(ctx context.Context, cmd *wire.Command) (*wire.Outcome, error) {
	b, err := proto.Marshal(cmd)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Invalid, "encode command").WithCause(err)
	}
	res := d.submit(ctx, request{kind: wire.EntryKind_COMMAND, data: b})
	return res.outcome, res.err
}

// ChangeMembers appends a new membership to the log and returns once it is committed. It may
// differ from the current one by at most one voter. Errors are as for Propose.
func (d *Driver) ChangeMembers(ctx context.Context, m *wire.Members) error {
	return d.submit(ctx, request{kind: wire.EntryKind_MEMBERS, data: quorum.EncodeMembers(m)}).err
}

// ReadIndex returns once the state of this host includes everything that was committed before
// the call. The error's verdict is NotRun, or MayHaveRun if the disk failed.
func (d *Driver) ReadIndex(ctx context.Context) error {
	res := d.submit(ctx, request{read: true})
	if res.err != nil {
		return res.err
	}
	for {
		changed := d.Changes()
		var revision uint64
		d.View(func(s *state.State) { revision = s.Revision() })
		if revision >= res.index {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.NotRun, fault.NoQuorum, "state of this host did not reach the read index in time")
		case <-changed:
		}
	}
}

// submit queues a request and waits for its result or the end of ctx.
func (d *Driver) submit(ctx context.Context, r request) result {
	r.result = make(chan result, 1)
	select {
	case d.inbox <- r:
	case <-ctx.Done():
		return result{err: fault.New(fault.NotRun, fault.NoQuorum, "request queue of this control host stayed full")}
	}
	select {
	case res := <-r.result:
		return res
	case <-ctx.Done():
		verdict := fault.MayHaveRun
		if r.read {
			verdict = fault.NotRun
		}
		return result{err: fault.New(verdict, fault.NoQuorum, "no quorum of control hosts answered in time")}
	}
}

// TransferLeadership asks another control host to take over while this host is the leader. It
// returns once this host is no longer the leader, when the quorum has no other member, or when
// ctx ends.
func (d *Driver) TransferLeadership(ctx context.Context) {
	for d.Status().Role == quorum.Leader && ctx.Err() == nil {
		d.enqueue(request{event: quorum.TransferLeadership{}})
		select {
		case <-ctx.Done():
		case <-time.After(10 * tickInterval):
		}
		if len(d.Status().Members.GetMembers()) < 2 {
			return
		}
	}
}

// enqueue passes an event to the loop. It drops the event if the queue is full.
func (d *Driver) enqueue(r request) {
	select {
	case d.inbox <- r:
	default:
		d.Meter.AddCounter("log.dropped", 1)
	}
}

// HostOf returns the host name from a log identity of the form name#suffix.
func HostOf(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}
