package quorum

import (
	"time"

	"github.com/agatespindle/agatespindle/internal/base/wire"
)

// Event is something that a core reacts to.
type Event interface {
	step(now time.Time, c *Core)
}

// Tick lets timeouts take effect.
type Tick struct{}

// Received is a message of another control host.
type Received struct{ Message *wire.Message }

// Propose asks for entries to be appended; ids are the proposer's.
type Propose struct{ Items []Proposal }

// Proposal is one entry that is asked for.
type Proposal struct {
	ID   uint64
	Kind wire.EntryKind
	Data []byte
}

// Read asks for an index whose state is current at or after this event.
type Read struct{ ID uint64 }

// Compact tells that the state up to an index is in a snapshot on disk.
type Compact struct{ Snapshot Snapshot }

// Handover asks the leader to let a caught-up voter take over.
type Handover struct{}

// Action is something that the driver of a core must do.
type Action interface{ action() }

// Save puts the term, the vote and entries on disk and syncs them. Where Entries is not
// empty, all entries from the first one's index on are replaced.
type Save struct {
	Term    uint64
	Vote    string
	Entries []*wire.Entry
}

// Send passes a message to another control host; it may be lost.
type Send struct{ Message *wire.Message }

// Apply hands committed entries to the state, in order.
type Apply struct{ Entries []*wire.Entry }

// Install replaces the state by a snapshot; it must be on disk before later actions.
type Install struct{ Snapshot Snapshot }

// Placed tells where a proposal stands in the log. It is not committed yet.
type Placed struct{ ID, Index, Term uint64 }

// Refused tells that a proposal or a read was not taken; it has no effect.
type Refused struct {
	ID     uint64
	Leader string
}

// ReadAt tells that the state applied up to Index answers the read.
type ReadAt struct{ ID, Index uint64 }

// Changed tells a new role, term or leader.
type Changed struct {
	Role   Role
	Term   uint64
	Leader string
}

func (Save) action()    {}
func (Send) action()    {}
func (Apply) action()   {}
func (Install) action() {}
func (Placed) action()  {}
func (Refused) action() {}
func (ReadAt) action()  {}
func (Changed) action() {}

func (Tick) step(now time.Time, c *Core) { c.tick(now) }

func (e Received) step(now time.Time, c *Core) { c.receive(now, e.Message) }

func (e Propose) step(now time.Time, c *Core) { c.propose(now, e.Items) }

func (e Read) step(now time.Time, c *Core) { c.read(now, e.ID) }

func (e Compact) step(_ time.Time, c *Core) { c.log = c.log.compacted(e.Snapshot) }

func (Handover) step(now time.Time, c *Core) { c.startHandover(now) }
