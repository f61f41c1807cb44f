package quorum

import "github.com/agatespindle/agatespindle/internal/base/wire"

// raftLog is the log of this host in memory: the latest snapshot and all entries after it, with
// no gap. Its methods return a changed copy rather than modify it in place.
type raftLog struct {
	snapshot Snapshot
	entries  []*wire.Entry
}

// newRaftLog returns a log without the entries that the snapshot covers.
func newRaftLog(s Snapshot, entries []*wire.Entry) raftLog {
	l := raftLog{snapshot: s}
	for _, e := range entries {
		if e.Index > s.Index {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l raftLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l raftLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l raftLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index. It reports false if the index is before the
// snapshot's or after the last entry.
func (l raftLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// entriesFrom returns at most limit entries from index on, or nil if the log has no entry at
// index.
func (l raftLog) entriesFrom(index uint64, limit int) []*wire.Entry {
	if index < l.firstIndex() || index > l.lastIndex() {
		return nil
	}
	from := l.entries[index-l.firstIndex():]
	return from[:min(len(from), limit)]
}

// entriesBetween returns the entries after low, up to and including high.
func (l raftLog) entriesBetween(low, high uint64) []*wire.Entry {
	if high <= low {
		return nil
	}
	return l.entriesFrom(low+1, int(high-low))
}

// withEntries returns the log with the given entries in place of all from the first one's index
// on. The list must not be empty.
func (l raftLog) withEntries(entries []*wire.Entry) raftLog {
	keep := entries[0].Index - l.firstIndex()
	l.entries = append(l.entries[:keep:keep], entries...)
	return l
}

// compactedTo returns the log without the entries that s covers. An s older than the current
// snapshot changes nothing.
func (l raftLog) compactedTo(s Snapshot) raftLog {
	if s.Index <= l.snapshot.Index {
		return l
	}
	if s.Index >= l.lastIndex() {
		return raftLog{snapshot: s}
	}
	rest := l.entries[s.Index-l.snapshot.Index:]
	return raftLog{snapshot: s, entries: append([]*wire.Entry(nil), rest...)}
}

// latestMembers returns the membership of the last MEMBERS entry and the index of that entry, or
// those of the snapshot if the log has no such entry.
func (l raftLog) latestMembers() (m *wire.Members, index uint64) {
	return l.membersUpTo(l.lastIndex())
}

// membersAt returns the latest membership up to index.
func (l raftLog) membersAt(index uint64) *wire.Members {
	m, _ := l.membersUpTo(index)
	return m
}

// membersUpTo returns the latest membership up to index, and the index of its entry or snapshot.
func (l raftLog) membersUpTo(index uint64) (*wire.Members, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Kind == wire.EntryKind_MEMBERS && e.Index <= index {
			return decodeMembers(e.Data), e.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// leaderOf returns the ID of the leader of term, which it finds in the BARRIER entry that opens
// a term. It returns "" if term is not that of the last entry or if the snapshot covers the
// BARRIER entry.
func (l raftLog) leaderOf(term uint64) string {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Term == term; i-- {
		if l.entries[i].Kind == wire.EntryKind_BARRIER {
			return string(l.entries[i].Data)
		}
	}
	return ""
}
