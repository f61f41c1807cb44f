// Package store provides the durable log of a control host: a folder with one segment file of
// checksummed, synced writes and one snapshot file.
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
	segmentName         = "segment"
	snapshotName        = "snapshot"
	identityName        = "identity"
	fileMode            = 0o600
	dirMode             = 0o700
	identitySuffixBytes = 6
)

// Store is the on-disk log of one control host. It is not safe for concurrent use.
// After a failed write, the content of the disk is unknown, and Store rejects all writes until
// Reopen succeeds.
type Store struct {
	// Sync flushes a file to disk. Tests may replace it.
	Sync func(*os.File) error

	dir       string
	segment   *os.File
	persisted quorum.PersistentState
	failure   error
}

// Open opens the log in the folder dir, which it creates if needed, and returns the content. A
// torn last write is removed. The error wraps ErrCorrupt if the log is corrupt elsewhere.
func Open(dir string) (*Store, quorum.PersistentState, error) {
	return OpenWithSync(dir, (*os.File).Sync)
}

// OpenWithSync is like Open, with a function in place of fsync.
func OpenWithSync(dir string, sync func(*os.File) error) (*Store, quorum.PersistentState, error) {
	s := &Store{dir: dir, Sync: sync}
	if err := s.createFolder(); err != nil {
		return nil, quorum.PersistentState{}, oops.In("store").Wrapf(err, "create folder")
	}
	if err := s.load(); err != nil {
		return nil, quorum.PersistentState{}, oops.In("store").With("dir", dir).Wrapf(err, "load log")
	}
	return s, s.persisted, nil
}

// createFolder creates the folder if needed, and makes its name durable: without that, a loss of power
// could take the folder away with all synced files in it.
func (s *Store) createFolder() error {
	if err := os.MkdirAll(s.dir, dirMode); err != nil {
		return err
	}
	return s.syncFolder(filepath.Dir(s.dir))
}

// load reads snapshot and segment, and truncates the segment after its last complete write.
func (s *Store) load() error {
	snap, err := readSnapshot(s.path(snapshotName))
	if err != nil {
		return err
	}
	s.persisted.Snapshot = snap
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
	return s.syncFileAndDir(f)
}

// replay applies all complete writes in the segment and returns the offset of their end in bytes.
func (s *Store) replay() (int64, error) {
	b, err := os.ReadFile(s.segment.Name())
	if err != nil {
		return 0, err
	}
	var end int64
	for {
		payload, n, err := readFrame(b[end:])
		if err == errTruncated || err == errChecksum {
			return end, checkTornTail(b[end:])
		}
		if payload == nil {
			return end, nil
		}
		if err := s.applyWrite(payload); err != nil {
			return end, err
		}
		end += int64(n)
	}
}

// applyWrite applies one decoded write to s.persisted.
func (s *Store) applyWrite(payload []byte) error {
	w := &wire.LogWrite{}
	if err := proto.Unmarshal(payload, w); err != nil {
		return fmt.Errorf("decode write in segment: %w", err)
	}
	s.persisted.Term = w.Term
	s.persisted.Vote = w.Vote
	var err error
	s.persisted.Entries, err = mergeEntries(s.persisted.Snapshot.Index, s.persisted.Entries, w.Entries)
	return err
}

// mergeEntries appends entries to existing, whose first index is snapIndex+1, and replaces the
// tail of existing that they overlap. Entries up to snapIndex are skipped.
func mergeEntries(snapIndex uint64, existing, entries []*wire.Entry) ([]*wire.Entry, error) {
	for _, e := range entries {
		if e.Index <= snapIndex {
			continue
		}
		kept := e.Index - snapIndex - 1
		if kept > uint64(len(existing)) {
			return nil, fmt.Errorf("gap in log: entry %d follows entry %d", e.Index, snapIndex+uint64(len(existing)))
		}
		existing = append(existing[:kept:kept], e)
	}
	return existing, nil
}

// Save appends one write to the segment and returns once it is synced.
func (s *Store) Save(w quorum.Save) error {
	if s.failure != nil {
		return s.failure
	}
	b, err := encodeFrame(&wire.LogWrite{Term: w.Term, Vote: w.Vote, Entries: w.Entries})
	if err != nil {
		return err
	}
	if _, err := s.segment.Write(b); err != nil {
		return s.recordFailure(err, "write log")
	}
	if err := s.Sync(s.segment); err != nil {
		return s.recordFailure(err, "sync log")
	}
	s.persisted.Term = w.Term
	s.persisted.Vote = w.Vote
	s.persisted.Entries, err = mergeEntries(s.persisted.Snapshot.Index, s.persisted.Entries, w.Entries)
	return err
}

// recordFailure makes later writes fail too: after a failed sync, a later one may report success
// although the operating system has dropped the unwritten pages.
func (s *Store) recordFailure(err error, operation string) error {
	s.failure = oops.In("store").Hint("free space on the disk, or replace the disk and restart the host").Wrapf(err, "%s", operation)
	return s.failure
}

// Err returns the error of the failed write, or nil if no write failed since the log was opened.
func (s *Store) Err() error { return s.failure }

// Reopen reads the log again after a failed write and rewrites all of it to a new segment, because
// the data of the failed write may be only in the page cache. It returns the content of the log.
func (s *Store) Reopen() (quorum.PersistentState, error) {
	s.segment.Close()
	s.persisted, s.failure = quorum.PersistentState{}, nil
	if err := s.load(); err != nil {
		return quorum.PersistentState{}, s.recordFailure(err, "reread log")
	}
	if err := s.rewriteSegment(); err != nil {
		return quorum.PersistentState{}, err
	}
	return s.persisted, nil
}

// InstallSnapshot writes a snapshot to disk and removes the log entries that it covers. It is used
// both for snapshots from the leader and for those of this host's own state.
func (s *Store) InstallSnapshot(snap quorum.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.replaceFile(snapshotName, encodeSnapshot(snap)); err != nil {
		return s.recordFailure(err, "write snapshot")
	}
	var remaining []*wire.Entry
	for _, e := range s.persisted.Entries {
		if e.Index > snap.Index {
			remaining = append(remaining, e)
		}
	}
	if len(remaining) > 0 && remaining[0].Index != snap.Index+1 {
		remaining = nil
	}
	s.persisted.Snapshot = snap
	s.persisted.Entries = remaining
	return s.rewriteSegment()
}

// rewriteSegment replaces the segment by one with the term, the vote and the entries after the
// snapshot.
func (s *Store) rewriteSegment() error {
	b, err := encodeFrame(&wire.LogWrite{Term: s.persisted.Term, Vote: s.persisted.Vote, Entries: s.persisted.Entries})
	if err != nil {
		return err
	}
	if err := s.replaceFile(segmentName, b); err != nil {
		return s.recordFailure(err, "write segment")
	}
	old := s.segment
	f, err := os.OpenFile(s.path(segmentName), os.O_RDWR, fileMode)
	if err != nil {
		return s.recordFailure(err, "open segment")
	}
	old.Close()
	if _, err := f.Seek(0, 2); err != nil {
		return s.recordFailure(err, "seek segment")
	}
	s.segment = f
	return nil
}

// SeedIdentity returns the identity of this host's log if the host is an initial member of the
// quorum. All initial members can derive it from the settings. It is stored like any other
// identity; if the folder has one already, SeedIdentity returns that one, as Identity does.
func (s *Store) SeedIdentity(name string) (string, error) {
	id := SeedID(name)
	if _, err := os.Stat(s.path(identityName)); !os.IsNotExist(err) {
		return s.Identity(name)
	}
	return id, s.replaceFile(identityName, []byte(id))
}

// SeedID returns the identity of the initial member with the given name.
func SeedID(name string) string { return name + "#first" }

// Identity returns the identity of this host's log: the name and a random suffix, generated once
// and stored in the folder. So a host that lost its disk gets a new identity. It is an error if
// the folder has the identity of a host with another name.
func (s *Store) Identity(name string) (string, error) {
	b, err := os.ReadFile(s.path(identityName))
	if err == nil && strings.HasPrefix(string(b), name+"#") {
		return string(b), nil
	}
	if err == nil {
		return "", fmt.Errorf("folder %s belongs to %q, not to host %q; use a separate folder for each host", s.dir, b, name)
	}
	if !os.IsNotExist(err) {
		return "", err
	}
	suffix := make([]byte, identitySuffixBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", err
	}
	id := name + "#" + hex.EncodeToString(suffix)
	return id, s.replaceFile(identityName, []byte(id))
}

// Close closes the segment.
func (s *Store) Close() error { return s.segment.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// replaceFile atomically replaces a file: it writes and syncs a temporary file and renames it.
func (s *Store) replaceFile(name string, b []byte) error {
	tempPath := s.path(name + ".part")
	f, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
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
		// On a full disk, a partial file would take the space that the next attempt needs.
		_ = os.Remove(tempPath)
		return err
	}
	if err := os.Rename(tempPath, s.path(name)); err != nil {
		return err
	}
	return s.syncDir()
}

func (s *Store) syncFileAndDir(f *os.File) error {
	if err := s.Sync(f); err != nil {
		return err
	}
	return s.syncDir()
}

func (s *Store) syncDir() error { return s.syncFolder(s.dir) }

func (s *Store) syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return s.Sync(d)
}
