package stand

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// adminCommand runs one admin command and sends its response. It returns an error for an unknown or
// malformed command and for one that the instance rejects.
func (s *session) adminCommand(text string) error {
	command, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch command {
	case "STATUS":
		return s.sendJSON(s.in.Status())
	case "WATCH":
		return s.watch()
	case "FENCE":
		var term uint64
		if _, err := fmt.Sscan(rest, &term); err != nil {
			return err
		}
		return s.sendStatus(s.in.fence(term))
	case "PROMOTE":
		var term, start uint64
		if _, err := fmt.Sscan(rest, &term, &start); err != nil {
			return err
		}
		return s.sendStatus(s.in.promote(term, start))
	case "FOLLOW":
		var f adapt.FollowRequest
		if err := json.Unmarshal([]byte(rest), &f); err != nil {
			return err
		}
		return s.sendStatus(s.in.follow(f))
	case "LOG":
		var term, after uint64
		if _, err := fmt.Sscan(rest, &term, &after); err != nil {
			return err
		}
		return s.streamLog(term, after)
	case "LAG":
		d, err := time.ParseDuration(rest)
		if err != nil {
			return err
		}
		s.in.SetLag(d)
		return s.sendJSON(s.in.Status())
	}
	return fmt.Errorf("order %q is not known", command)
}

// sendStatus sends a status unless err is set, which it returns.
func (s *session) sendStatus(st adapt.Status, err error) error {
	if err != nil {
		return err
	}
	return s.sendJSON(st)
}

// sendJSON sends a row with one column, the value as JSON.
func (s *session) sendJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{b}})
	return nil
}

// watch sends the status at each change, and an empty row every heartbeatInterval without a
// change, until the connection ends.
func (s *session) watch() error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var sent adapt.Status
	for {
		st, changed := s.in.statusAndChanged()
		if st == sent {
			s.backend.Send(&pgproto3.DataRow{})
		} else if err := s.sendJSON(st); err != nil {
			return err
		}
		sent = st
		s.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if err := s.backend.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ticker.C:
		}
	}
}

// streamLog sends the log entries after a position, and new ones as they are committed, while the
// instance is the primary of the term. Then it returns errStaleTerm.
func (s *session) streamLog(term, after uint64) error {
	for {
		entries, changed, ok := s.in.entriesAfter(term, after)
		if !ok {
			return errStaleTerm
		}
		for _, e := range entries {
			if err := s.sendJSON(shippedEntry{Entry: e, SentAt: time.Now().UnixNano()}); err != nil {
				return err
			}
			after = e.Position
		}
		s.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if err := s.backend.Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// entriesAfter returns the log entries after a position and a channel that is closed at the next
// change. It returns false if the instance is not the primary of the term or its log ends before
// the position.
func (in *Instance) entriesAfter(term, after uint64) ([]entry, <-chan struct{}, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.primary || in.term != term || after > in.log.lastPosition() {
		return nil, nil, false
	}
	return in.log.entries[after:in.log.lastPosition():in.log.lastPosition()], in.changed, true
}
