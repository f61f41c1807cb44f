package stand

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// order carries out one line of the admin database.
func (s *session) order(text string) error {
	verb, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch verb {
	case "STATUS":
		return s.row(s.in.Status())
	case "WATCH":
		return s.watch()
	case "FENCE":
		var term uint64
		if _, err := fmt.Sscan(rest, &term); err != nil {
			return err
		}
		return s.answer(s.in.fence(term))
	case "PROMOTE":
		var term, start uint64
		if _, err := fmt.Sscan(rest, &term, &start); err != nil {
			return err
		}
		return s.answer(s.in.promote(term, start))
	case "FOLLOW":
		var f adapt.Following
		if err := json.Unmarshal([]byte(rest), &f); err != nil {
			return err
		}
		return s.answer(s.in.follow(f))
	case "LOG":
		var term, after uint64
		if _, err := fmt.Sscan(rest, &term, &after); err != nil {
			return err
		}
		return s.ship(term, after)
	case "LAG":
		d, err := time.ParseDuration(rest)
		if err != nil {
			return err
		}
		s.in.SetLag(d)
		return s.row(s.in.Status())
	}
	return fmt.Errorf("order %q is not known", verb)
}

func (s *session) answer(st adapt.Status, err error) error {
	if err != nil {
		return err
	}
	return s.row(st)
}

// row sends one value as JSON.
func (s *session) row(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.back.Send(&pgproto3.DataRow{Values: [][]byte{b}})
	return nil
}

// watch sends the status at each change, and an empty row at each beat without one, until
// the connection ends.
func (s *session) watch() error {
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	var sent adapt.Status
	for {
		st, changed := s.in.wait()
		if st == sent {
			s.back.Send(&pgproto3.DataRow{})
		} else if err := s.row(st); err != nil {
			return err
		}
		sent = st
		s.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if err := s.back.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-beat.C:
		}
	}
}

// ship sends the entries after a position while the instance is the primary of the term.
func (s *session) ship(term, after uint64) error {
	for {
		entries, changed, ok := s.in.entriesAfter(term, after)
		if !ok {
			return errOldTerm
		}
		for _, e := range entries {
			if err := s.row(shipped{Entry: e, At: time.Now().UnixNano()}); err != nil {
				return err
			}
			after = e.Position
		}
		s.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if err := s.back.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

func (in *Instance) entriesAfter(term, after uint64) ([]entry, <-chan struct{}, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.primary || in.term != term || after > in.log.last() {
		return nil, nil, false
	}
	return in.log.entries[after:in.log.last():in.log.last()], in.changed, true
}
