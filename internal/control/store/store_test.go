package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
	"github.com/agatespindle/agatespindle/internal/control/store"
)

func entries(first, last, term uint64) []*wire.Entry {
	var list []*wire.Entry
	for i := first; i <= last; i++ {
		list = append(list, &wire.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", i, term))})
	}
	return list
}

func open(dir string) (*store.Store, quorum.PersistentState) {
	s, r, err := store.Open(dir)
	So(err, ShouldBeNil)
	return s, r
}

func TestStore(t *testing.T) {
	Convey("Given a log with three writes", t, func() {
		dir := t.TempDir()
		s, _ := open(dir)
		So(s.Save(quorum.Save{Term: 1, Vote: "a", Entries: entries(1, 5, 1)}), ShouldBeNil)
		So(s.Save(quorum.Save{Term: 2, Vote: "b", Entries: entries(4, 6, 2)}), ShouldBeNil)
		So(s.Save(quorum.Save{Term: 3, Vote: ""}), ShouldBeNil)
		segment := filepath.Join(dir, "segment")

		Convey("It comes back whole, the replaced tail gone", func() {
			s.Close()
			_, r := open(dir)
			So(r.Term, ShouldEqual, 3)
			So(r.Entries, ShouldHaveLength, 6)
			So(r.Entries[3].Term, ShouldEqual, 2)
		})
		Convey("A torn last write is cut off at every length", func() {
			s.Close()
			whole, err := os.ReadFile(segment)
			So(err, ShouldBeNil)
			last := lastFrame(whole)
			for n := last; n < len(whole); n++ {
				So(os.WriteFile(segment, whole[:n], 0o600), ShouldBeNil)
				again, r := open(dir)
				So(r.Term, ShouldEqual, 2)
				So(r.Vote, ShouldEqual, "b")
				again.Close()
			}
		})
		Convey("Damage before the last write is refused", func() {
			s.Close()
			whole, err := os.ReadFile(segment)
			So(err, ShouldBeNil)
			whole[20] ^= 1
			So(os.WriteFile(segment, whole, 0o600), ShouldBeNil)
			_, _, err = store.Open(dir)
			So(errors.Is(err, store.ErrDamaged), ShouldBeTrue)
		})
		Convey("A snapshot takes the place of the log before it", func() {
			So(s.Install(quorum.Snapshot{Index: 5, Term: 2, Data: []byte("state")}), ShouldBeNil)
			So(s.Save(quorum.Save{Term: 3, Entries: entries(7, 7, 3)}), ShouldBeNil)
			s.Close()
			_, r := open(dir)
			So(string(r.Snapshot.Data), ShouldEqual, "state")
			So(r.Entries, ShouldHaveLength, 2)
			So(r.Entries[0].Index, ShouldEqual, 6)
			So(r.Term, ShouldEqual, 3)
		})
		Convey("After a failed sync nothing is written any more", func() {
			s.Sync = func(*os.File) error { return errors.New("disk is full") }
			So(s.Save(quorum.Save{Term: 4}), ShouldNotBeNil)
			s.Sync = (*os.File).Sync
			So(s.Save(quorum.Save{Term: 5}), ShouldNotBeNil)
		})
		Convey("The identity stays with the folder and changes with it", func() {
			one, err := s.Identity("kingston-1")
			So(err, ShouldBeNil)
			two, err := s.Identity("kingston-1")
			So(err, ShouldBeNil)
			So(two, ShouldEqual, one)
			_, err = s.Identity("other")
			So(err, ShouldNotBeNil)
			fresh, _ := open(t.TempDir())
			three, err := fresh.Identity("kingston-1")
			So(err, ShouldBeNil)
			So(three, ShouldNotEqual, one)
		})
	})
}

// lastFrame returns where the last write of a segment starts.
func lastFrame(b []byte) int {
	at := 0
	for {
		size := 8 + int(uint32(b[at])|uint32(b[at+1])<<8|uint32(b[at+2])<<16|uint32(b[at+3])<<24)
		if at+size >= len(b) {
			return at
		}
		at += size
	}
}

// TestStoreComesBack checks that what was saved is what is restored, over any writes,
// snapshots and restarts.
func TestStoreComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "store-")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		s, _, err := store.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		s.Sync = func(*os.File) error { return nil }
		var log []*wire.Entry
		var term, snap uint64
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				term++
				first := rapid.Uint64Range(snap+1, snap+uint64(len(log))+1).Draw(t, "first")
				next := entries(first, first+rapid.Uint64Range(0, 3).Draw(t, "more"), term)
				log = append(log[:first-snap-1:first-snap-1], next...)
				err = s.Save(quorum.Save{Term: term, Entries: next})
			case 1:
				index := rapid.Uint64Range(snap, snap+uint64(len(log))).Draw(t, "index")
				log = log[index-snap:]
				snap = index
				err = s.Install(quorum.Snapshot{Index: index, Term: term})
			case 2:
				s.Close()
				var r quorum.PersistentState
				s, r, err = store.Open(dir)
				if err == nil && (r.Term != term || len(r.Entries) != len(log) || r.Snapshot.Index != snap) {
					t.Fatalf("restored term %d, %d entries after %d; want %d, %d after %d", r.Term, len(r.Entries), r.Snapshot.Index, term, len(log), snap)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		s.Close()
	})
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Add([]byte{1, 0, 0, 0, 9, 9, 9, 9, 8}, []byte("snapshot"))
	f.Fuzz(func(t *testing.T, segment, snapshot []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "segment"), segment, 0o600)
		if len(snapshot) > 0 {
			os.WriteFile(filepath.Join(dir, "snapshot"), snapshot, 0o600)
		}
		if s, _, err := store.Open(dir); err == nil {
			s.Close()
		}
	})
}

// TestReopen plays a disk that was full for a while.
func TestReopen(t *testing.T) {
	Convey("Given a log whose last write failed", t, func() {
		dir := t.TempDir()
		s, _ := open(dir)
		So(s.Save(quorum.Save{Term: 1, Vote: "a", Entries: entries(1, 3, 1)}), ShouldBeNil)
		refuses := true
		s.Sync = func(f *os.File) error {
			if refuses {
				return errors.New("no space left")
			}
			return f.Sync()
		}
		So(s.Save(quorum.Save{Term: 2, Vote: "b"}), ShouldNotBeNil)
		So(s.Failed(), ShouldNotBeNil)
		Convey("It stays refused while the disk refuses, and leaves no half file", func() {
			_, err := s.Reopen()
			So(err, ShouldNotBeNil)
			So(s.Save(quorum.Save{Term: 3}), ShouldNotBeNil)
			_, err = os.Stat(filepath.Join(dir, "segment.part"))
			So(os.IsNotExist(err), ShouldBeTrue)
		})
		Convey("Then it holds what was acknowledged, on a new segment, and takes writes", func() {
			_, _ = s.Reopen()
			refuses = false
			r, err := s.Reopen()
			So(err, ShouldBeNil)
			So(r.Entries, ShouldHaveLength, 3)
			So(s.Save(quorum.Save{Term: 4, Vote: "c", Entries: entries(4, 4, 4)}), ShouldBeNil)
			s.Close()
			_, r = open(dir)
			So(r.Term, ShouldEqual, 4)
			So(r.Entries, ShouldHaveLength, 4)
		})
	})
}
