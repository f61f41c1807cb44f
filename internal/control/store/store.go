// Package store provides the durable log of a control host: one checksummed segment of
// synced writes and one snapshot file in a folder.
package store

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

const (
	segmentName  = "segment"
	snapshotName = "snapshot"
	identityName = "identity"
	fileMode     = 0o600
	folderMode   = 0o700
	idBytes      = 6
)

// Store is the log of one control host on disk. It is not safe for concurrent use.
// After an error it refuses everything until it was reopened: what is on disk is unknown.
type Store struct {
	// Sync is a seam for tests; it puts a file's content on disk.
	Sync func(*os.File) error

	dir     string
	segment *os.File
	saved   quorum.PersistentState
	broken  error
}

// Open opens the folder dir, which it makes where there is none, and returns what it holds.
// A torn last write is cut off; damage before it is an error.
func Open(dir string) (*Store, quorum.PersistentState, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, quorum.PersistentState{}, oops.In("store").Wrapf(err, "make folder")
	}
	s := &Store{dir: dir, Sync: (*os.File).Sync}
	if err := s.load(); err != nil {
		return nil, quorum.PersistentState{}, oops.In("store").With("dir", dir).Wrapf(err, "load log")
	}
	return s, s.saved, nil
}

func (s *Store) load() error {
	snap, err := readSnapshot(s.path(snapshotName))
	if err != nil {
		return err
	}
	s.saved.Snapshot = snap
	f, err := os.OpenFile(s.path(segmentName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	s.segment = f
	end, err := s.replay()
	if err != nil {
		f.Close()
		return err
	}
	if err := f.Truncate(end); err != nil {
		return err
	}
	if _, err := f.Seek(end, 0); err != nil {
		return err
	}
	return s.syncAll(f)
}

// replay reads all whole writes of the segment and returns where they end.
func (s *Store) replay() (int64, error) {
	b, err := os.ReadFile(s.segment.Name())
	if err != nil {
		return 0, err
	}
	var end int64
	for {
		payload, n, err := readFrame(b[end:])
		if err == errShort || err == errSum {
			return end, tornOnly(b[end:])
		}
		if payload == nil {
			return end, nil
		}
		if err := s.remember(payload); err != nil {
			return end, err
		}
		end += int64(n)
	}
}

func (s *Store) remember(payload []byte) error {
	w := &wire.LogWrite{}
	if err := proto.Unmarshal(payload, w); err != nil {
		return fmt.Errorf("decode write: %w", err)
	}
	s.saved.Term = w.Term
	s.saved.Vote = w.Vote
	var err error
	s.saved.Entries, err = merged(s.saved.Snapshot.Index, s.saved.Entries, w.Entries)
	return err
}

// merged puts entries after the ones before them, replacing a tail that they overlap.
func merged(snap uint64, have, entries []*wire.Entry) ([]*wire.Entry, error) {
	for _, e := range entries {
		if e.Index <= snap {
			continue
		}
		keep := e.Index - snap - 1
		if keep > uint64(len(have)) {
			return nil, fmt.Errorf("entry %d leaves a gap after entry %d", e.Index, snap+uint64(len(have)))
		}
		have = append(have[:keep:keep], e)
	}
	return have, nil
}

// Save puts one write on disk and returns once it is synced.
func (s *Store) Save(w quorum.Save) error {
	if s.broken != nil {
		return s.broken
	}
	b, err := encodeFrame(&wire.LogWrite{Term: w.Term, Vote: w.Vote, Entries: w.Entries})
	if err != nil {
		return err
	}
	if _, err := s.segment.Write(b); err != nil {
		return s.fail(err, "write log")
	}
	if err := s.Sync(s.segment); err != nil {
		return s.fail(err, "sync log")
	}
	s.saved.Term = w.Term
	s.saved.Vote = w.Vote
	s.saved.Entries, err = merged(s.saved.Snapshot.Index, s.saved.Entries, w.Entries)
	return err
}

// fail remembers a failed write: a later sync may claim success for lost pages.
func (s *Store) fail(err error, doing string) error {
	s.broken = oops.In("store").Hint("free space on the disk or replace it, then start the host again").Wrapf(err, "%s", doing)
	return s.broken
}

// Failed returns the error of the write that failed, nil where none did.
func (s *Store) Failed() error { return s.broken }

// Reopen reads the log again after a failed write, and writes all of it to a new segment: what the
// failed write left may be in the system's memory only. It returns what the log holds.
func (s *Store) Reopen() (quorum.PersistentState, error) {
	s.segment.Close()
	s.saved, s.broken = quorum.PersistentState{}, nil
	if err := s.load(); err != nil {
		return quorum.PersistentState{}, s.fail(err, "read log again")
	}
	if err := s.rewrite(); err != nil {
		return quorum.PersistentState{}, err
	}
	return s.saved, nil
}

// Install puts a snapshot on disk and drops the log before it. It serves for snapshots of
// the leader and for those of this host's own state.
func (s *Store) Install(snap quorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	if err := s.replaceFile(snapshotName, encodeSnapshot(snap)); err != nil {
		return s.fail(err, "write snapshot")
	}
	var rest []*wire.Entry
	for _, e := range s.saved.Entries {
		if e.Index > snap.Index {
			rest = append(rest, e)
		}
	}
	if len(rest) > 0 && rest[0].Index != snap.Index+1 {
		rest = nil
	}
	s.saved.Snapshot = snap
	s.saved.Entries = rest
	return s.rewrite()
}

// rewrite starts a new segment with the term, the vote and the entries after the snapshot.
func (s *Store) rewrite() error {
	b, err := encodeFrame(&wire.LogWrite{Term: s.saved.Term, Vote: s.saved.Vote, Entries: s.saved.Entries})
	if err != nil {
		return err
	}
	if err := s.replaceFile(segmentName, b); err != nil {
		return s.fail(err, "write segment")
	}
	old := s.segment
	f, err := os.OpenFile(s.path(segmentName), os.O_RDWR, fileMode)
	if err != nil {
		return s.fail(err, "open segment")
	}
	old.Close()
	if _, err := f.Seek(0, 2); err != nil {
		return s.fail(err, "seek segment")
	}
	s.segment = f
	return nil
}

// Founder returns the identity of a first member of a quorum, which all first members know
// from the settings. It is kept like any other; a log that has another one keeps that.
func (s *Store) Founder(name string) (string, error) {
	id := FounderID(name)
	if _, err := os.Stat(s.path(identityName)); !os.IsNotExist(err) {
		return s.Identity(name)
	}
	return id, s.replaceFile(identityName, []byte(id))
}

// FounderID returns the identity of the first member of that name.
func FounderID(name string) string { return name + "#first" }

// Identity returns the identity of this host's log: the name with a random suffix that is
// made with the folder. A host that lost its disk gets another one.
func (s *Store) Identity(name string) (string, error) {
	b, err := os.ReadFile(s.path(identityName))
	if err == nil && strings.HasPrefix(string(b), name+"#") {
		return string(b), nil
	}
	if err == nil {
		return "", fmt.Errorf("folder %s belongs to %q, not to host %q; give each host a folder of its own", s.dir, b, name)
	}
	if !os.IsNotExist(err) {
		return "", err
	}
	suffix := make([]byte, idBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", err
	}
	id := name + "#" + hex.EncodeToString(suffix)
	return id, s.replaceFile(identityName, []byte(id))
}

// Close closes the segment.
func (s *Store) Close() error { return s.segment.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// replaceFile writes a file under another name, syncs it and puts it in place.
func (s *Store) replaceFile(name string, b []byte) error {
	part := s.path(name + ".part")
	f, err := os.OpenFile(part, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = s.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// What a full disk took of it must not keep the next try from having room.
		_ = os.Remove(part)
		return err
	}
	if err := os.Rename(part, s.path(name)); err != nil {
		return err
	}
	return s.syncDir()
}

func (s *Store) syncAll(f *os.File) error {
	if err := s.Sync(f); err != nil {
		return err
	}
	return s.syncDir()
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return s.Sync(d)
}
