package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Event is an input to Core.Step.
type Event interface {
	step(now time.Time, c *Core)
}

// Tick reports that time has passed: the Core checks its timeouts and starts heartbeats and
// elections that are due.
type Tick struct{}

// Received is a message from another control host.
type Received struct{ Message *wire.QuorumMessage }

// Propose asks the leader to append entries. Each item is answered by ProposalAppended or
// Refused.
type Propose struct{ Items []Proposal }

// Proposal is an entry to append. The ID is chosen by the proposer and returned in the answer.
type Proposal struct {
	ID   uint64
	Kind wire.EntryKind
	Data []byte
}

// Read asks for a log index whose state includes all entries that were committed before this
// event (a linearizable read). It is answered by ReadReady or Refused.
type Read struct{ ID uint64 }

// Compact reports that the snapshot is stored on disk, so that the entries that it covers can be
// dropped from memory.
type Compact struct{ Snapshot Snapshot }

// Replaced reports that a process with the identity Member.Id now runs at Member.Addr. The process that
// had another identity at that address has ended.
type Replaced struct{ Member *wire.Member }

// TransferLeadership asks the leader to hand over to a caught-up voter at once. It has no effect
// if there is none or if this host does not lead.
type TransferLeadership struct{}

// Action is something that the driver of a Core must perform.
type Action interface{ action() }

// Save writes the term, the vote and entries to disk and syncs them. The entries replace all
// stored ones from the first one's index on; without entries the stored log stays as it is.
type Save struct {
	Term    uint64
	Vote    string
	Entries []*wire.Entry
}

// Send sends a message to the control host in Message.To. It may be lost, delayed or repeated.
type Send struct{ Message *wire.QuorumMessage }

// Apply applies committed entries to the state, in order.
type Apply struct{ Entries []*wire.Entry }

// InstallSnapshot replaces the state and the stored log by a snapshot. It must be synced to disk
// before any later action is performed.
type InstallSnapshot struct{ Snapshot Snapshot }

// ProposalAppended reports the index and term at which a proposal was appended to the leader's log.
// The entry is not committed yet and may still be lost.
type ProposalAppended struct{ ID, Index, Term uint64 }

// Refused reports that a proposal or a read was refused and has no effect. Leader is the ID of the
// current leader, or "" if unknown.
type Refused struct {
	ID     uint64
	Leader string
}

// ReadReady reports that a read can be answered from the state once Index has been applied.
type ReadReady struct{ ID, Index uint64 }

// LeadershipChanged reports that this host's role, its term or the leader that it knows of has
// changed.
// Leader is an ID, or "" if unknown.
type LeadershipChanged struct {
	Role   Role
	Term   uint64
	Leader string
}

func (Save) action()              {}
func (Send) action()              {}
func (Apply) action()             {}
func (InstallSnapshot) action()   {}
func (ProposalAppended) action()  {}
func (Refused) action()           {}
func (ReadReady) action()         {}
func (LeadershipChanged) action() {}

func (Tick) step(now time.Time, c *Core) { c.handleTick(now) }

func (e Received) step(now time.Time, c *Core) { c.handleMessage(now, e.Message) }

func (e Propose) step(now time.Time, c *Core) { c.propose(now, e.Items) }

func (e Read) step(now time.Time, c *Core) { c.startRead(now, e.ID) }

func (e Compact) step(_ time.Time, c *Core) { c.log = c.log.compactedTo(e.Snapshot) }

func (e Replaced) step(now time.Time, c *Core) { c.handleReplaced(now, e.Member) }

func (TransferLeadership) step(now time.Time, c *Core) { c.startLeadershipTransfer(now) }
