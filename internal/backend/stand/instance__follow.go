package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// errStaleTerm rejects a command, a log stream or a replicated entry of a term that is no longer
// current.
var errStaleTerm = errors.New("term is lower than the accepted one")

// acceptTerm stores a term that is higher than the current one, ends the primary or replica role,
// and closes the connections of open writing transactions. It returns errStaleTerm for a lower term.
// The caller holds mu.
func (in *Instance) acceptTerm(term uint64) error {
	if term < in.term {
		return errStaleTerm
	}
	if term == in.term {
		return nil
	}
	if err := writeTerm(in.termFile(), term); err != nil {
		return err
	}
	in.term = term
	in.primary = false
	in.stopFollowing()
	for s := range in.sessions {
		if s.writing.Load() {
			s.conn.Close()
		}
	}
	in.notify()
	return nil
}

// stopFollowing ends replication from the primary. The caller holds mu.
func (in *Instance) stopFollowing() {
	in.following = false
	if in.stopReplication != nil {
		in.stopReplication()
		in.stopReplication = nil
	}
}

// fence accepts a term, so that writes of lower terms are rejected.
func (in *Instance) fence(term uint64) (adapt.Status, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	err := in.acceptTerm(term)
	return in.status(), err
}

// promote makes the instance the primary of a term if its log ends at position start. The first entry
// of a term is empty and marks its start.
func (in *Instance) promote(term, start uint64) (adapt.Status, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.acceptTerm(term); err != nil {
		return in.status(), err
	}
	if in.primary {
		return in.status(), nil
	}
	if in.following || in.log.lastPosition() != start || in.log.lastTerm() >= term {
		return in.status(), fmt.Errorf("log ends at %d in term %d, not at %d before term %d", in.log.lastPosition(), in.log.lastTerm(), start, term)
	}
	if err := in.log.append(entry{Term: term, Position: start + 1}); err != nil {
		return in.status(), err
	}
	in.primary = true
	in.notify()
	return in.status(), nil
}

// follow truncates the log to f.Forks and starts replication from the primary.
func (in *Instance) follow(f adapt.FollowRequest) (adapt.Status, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.acceptTerm(f.Term); err != nil {
		return in.status(), err
	}
	if in.primary {
		return in.status(), errors.New("instance is the primary of this term")
	}
	if in.following {
		return in.status(), nil
	}
	if err := in.truncateLog(f.Forks); err != nil {
		return in.status(), err
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.stopReplication = cancel
	in.following = true
	in.wg.Add(1)
	go in.replicate(ctx, f)
	in.notify()
	return in.status(), nil
}

// truncateLog drops the entries after the start of a later term, closes the data connections and
// rebuilds the engine's database if it dropped any.
// The caller holds mu.
func (in *Instance) truncateLog(termStarts []adapt.TermStart) error {
	keep := in.log.lastPosition()
	for _, f := range termStarts {
		if f.Term > in.log.lastTerm() {
			keep = min(keep, f.Position)
		}
	}
	if keep == in.log.lastPosition() {
		return nil
	}
	if err := in.log.truncateAfter(keep); err != nil {
		return err
	}
	for s := range in.sessions {
		s.conn.Close()
	}
	return in.rebuildEngine()
}

// replicate reads the primary's log until replication is stopped, and reconnects after errors.
func (in *Instance) replicate(ctx context.Context, f adapt.FollowRequest) {
	defer in.wg.Done()
	for ctx.Err() == nil {
		_ = in.replicateOnce(ctx, f)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// replicateOnce applies entries of the primary's log until the connection fails or ctx ends.
func (in *Instance) replicateOnce(ctx context.Context, f adapt.FollowRequest) error {
	conn, err := adapt.Postgres(f.Addr, in.cfg.Name, adapt.AdminDatabase).Connect(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.Query{String: fmt.Sprintf("LOG %d %d", f.Term, in.Status().Position)})
	if err := frontend.Flush(); err != nil {
		return err
	}
	for {
		m, err := frontend.Receive()
		if err != nil {
			return err
		}
		row, ok := m.(*pgproto3.DataRow)
		if !ok {
			continue
		}
		if err := in.applyShipped(ctx, f.Term, row.Values[0]); err != nil {
			return err
		}
	}
}

// shippedEntry is a log entry sent to a replica, with the Unix time in nanoseconds when it was sent.
type shippedEntry struct {
	Entry  entry `json:"entry"`
	SentAt int64 `json:"at"`
}

// applyShipped waits until the replication lag has passed since an entry was sent, then applies it to
// the engine and the log.
func (in *Instance) applyShipped(ctx context.Context, term uint64, b []byte) error {
	var s shippedEntry
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	in.mu.Lock()
	lag := in.lag
	in.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(time.Unix(0, s.SentAt).Add(lag))):
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.term != term || !in.following || ctx.Err() != nil {
		return errStaleTerm
	}
	if s.Entry.Position != in.log.lastPosition()+1 {
		return fmt.Errorf("entry %d does not follow entry %d", s.Entry.Position, in.log.lastPosition())
	}
	if err := applyEntry(in.db, s.Entry); err != nil {
		return err
	}
	if err := in.log.append(s.Entry); err != nil {
		return err
	}
	in.notify()
	return nil
}

// announceInterval is the time between announcements.
const announceInterval = 500 * time.Millisecond

// announce sends announcements until ctx ends, each to the next of the configured hosts.
func (in *Instance) announce(ctx context.Context) {
	defer in.wg.Done()
	a := adapt.Announcement{
		Name: in.cfg.Name, Group: in.cfg.Group, Center: in.cfg.Center, Incarnation: in.incarnation,
		Addr: in.cfg.Listener.Addr().String(),
	}
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		if n := len(in.cfg.Hosts); n > 0 {
			postJSON(ctx, client, "http://"+in.cfg.Hosts[i%n]+adapt.AnnouncePath, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// postJSON sends a POST and ignores errors, since announcements are repeated.
func postJSON(ctx context.Context, client *http.Client, url string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}
