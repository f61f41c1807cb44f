package quorum

import "github.com/agatespindle/agatespindle/internal/base/wire"

// tail is the part of the log after the last snapshot.
type tail struct {
	snap    Snapshot
	entries []*wire.Entry
}

func newTail(s Snapshot, entries []*wire.Entry) tail {
	t := tail{snap: s}
	for _, e := range entries {
		if e.Index > s.Index {
			t.entries = append(t.entries, e)
		}
	}
	return t
}

func (t tail) first() uint64 { return t.snap.Index + 1 }

func (t tail) last() uint64 { return t.snap.Index + uint64(len(t.entries)) }

func (t tail) lastTerm() uint64 {
	n, _ := t.termAt(t.last())
	return n
}

// termAt returns the term of the entry at index; it is unknown before the snapshot.
func (t tail) termAt(index uint64) (uint64, bool) {
	if index == t.snap.Index {
		return t.snap.Term, true
	}
	if index < t.snap.Index || index > t.last() {
		return 0, false
	}
	return t.entries[index-t.first()].Term, true
}

// slice returns at most limit entries from index on.
func (t tail) slice(index uint64, limit int) []*wire.Entry {
	if index < t.first() || index > t.last() {
		return nil
	}
	from := t.entries[index-t.first():]
	return from[:min(len(from), limit)]
}

// between returns the entries after low up to high.
func (t tail) between(low, high uint64) []*wire.Entry {
	if high <= low {
		return nil
	}
	return t.slice(low+1, int(high-low))
}

// replaced returns the tail with entries in place of all from the first one's index on.
func (t tail) replaced(entries []*wire.Entry) tail {
	keep := entries[0].Index - t.first()
	t.entries = append(t.entries[:keep:keep], entries...)
	return t
}

// compacted returns the tail that starts after s.
func (t tail) compacted(s Snapshot) tail {
	if s.Index <= t.snap.Index {
		return t
	}
	if s.Index >= t.last() {
		return tail{snap: s}
	}
	rest := t.entries[s.Index-t.snap.Index:]
	return tail{snap: s, entries: append([]*wire.Entry(nil), rest...)}
}

// members returns the last membership in the tail, else that of the snapshot.
func (t tail) members() (m *wire.Members, index uint64) {
	return t.membersUpTo(t.last())
}

// membersAt returns the membership that stands in the log up to index.
func (t tail) membersAt(index uint64) *wire.Members {
	m, _ := t.membersUpTo(index)
	return m
}

func (t tail) membersUpTo(index uint64) (*wire.Members, uint64) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		e := t.entries[i]
		if e.Kind == wire.EntryKind_MEMBERS && e.Index <= index {
			return decodeMembers(e.Data), e.Index
		}
	}
	return t.snap.Members, t.snap.Index
}

// leaderOf returns the identity of the leader of the log's last term, if that is term and its
// first entry stands in the tail, else "".
func (t tail) leaderOf(term uint64) string {
	for i := len(t.entries) - 1; i >= 0 && t.entries[i].Term == term; i-- {
		if t.entries[i].Kind == wire.EntryKind_BARRIER {
			return string(t.entries[i].Data)
		}
	}
	return ""
}
