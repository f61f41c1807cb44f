package whole_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// load runs sessions that write unique rows and read them back, and records the outcome of each
// write by row id.
type load struct {
	c          *cluster
	stop       chan struct{}
	wg         sync.WaitGroup
	mu         sync.Mutex
	acked      map[int]time.Time
	notRun     map[int]bool
	unknown    map[int]bool
	staleReads []string // descriptions of read-your-writes violations
	nextID     int      // id of the row written last
}

// startLoad starts the sessions. Session i begins on entry host i and moves to the next host after
// an error or after requestsPerConnection rows.
func startLoad(c *cluster, sessions int) *load {
	l := &load{c: c, stop: make(chan struct{}), acked: map[int]time.Time{}, notRun: map[int]bool{}, unknown: map[int]bool{}}
	for i := range sessions {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.runSession(i)
		}()
	}
	return l
}

// requestsPerConnection is the number of rows (in load) or requests (in history) after which a
// session moves to the next entry host.
const requestsPerConnection = 25

// runSession opens connections and writes rows on each until the load stops. The attempt number
// selects the entry host and the caller's name, and rises by one per connection.
func (l *load) runSession(attempt int) {
	entries := l.c.entryHosts()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		conn, err := l.c.connect(entries[attempt%len(entries)], fmt.Sprintf("session-%d", attempt))
		attempt++
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		l.writeRows(conn)
		conn.Close(context.Background())
	}
}

// writeRows writes and reads back rows on one connection until the load stops or a request fails.
func (l *load) writeRows(conn *pgconn.PgConn) {
	for range requestsPerConnection {
		select {
		case <-l.stop:
			return
		default:
		}
		l.mu.Lock()
		l.nextID++
		id := l.nextID
		l.mu.Unlock()
		_, err := query(conn, fmt.Sprintf("INSERT INTO rows VALUES (%d)", id))
		l.recordOutcome(id, err)
		if err != nil {
			return
		}
		if !l.checkReadBack(conn, id) {
			return
		}
	}
}

// recordOutcome records whether the write was acknowledged, did not run, or has an unknown outcome.
func (l *load) recordOutcome(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked[id] = time.Now()
	case verdict(err) == "NotRun":
		l.notRun[id] = true
		l.c.t.Logf("row %d: %v", id, err)
	default:
		l.unknown[id] = true
		l.c.t.Logf("row %d may have run: %v", id, err)
	}
}

// checkReadBack reads a written row back on the same connection and records a read-your-writes
// violation if the row is missing. It returns false if the read failed.
func (l *load) checkReadBack(conn *pgconn.PgConn, id int) bool {
	rows, err := query(conn, fmt.Sprintf("SELECT COUNT(*) FROM rows WHERE id = %d", id))
	if err != nil {
		return false
	}
	if len(rows) != 1 || rows[0] != "1" {
		l.mu.Lock()
		l.staleReads = append(l.staleReads, fmt.Sprintf("row %d: count was %v, want 1", id, rows))
		l.mu.Unlock()
	}
	return true
}

// firstAckAfter returns the time of the first acknowledgment later than after, and false if there
// is none.
func (l *load) firstAckAfter(after time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, t := range l.acked {
		if t.After(after) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first, !first.IsZero()
}

// waitForAcks waits until n rows were acknowledged later than after, and returns the time of the
// first of these acknowledgments.
func (l *load) waitForAcks(after time.Time, n int) time.Time {
	l.c.t.Helper()
	var first time.Time
	l.c.eventually("writes are acknowledged", func() error {
		l.mu.Lock()
		count := 0
		for _, t := range l.acked {
			if t.After(after) {
				count++
			}
		}
		l.mu.Unlock()
		if count < n {
			return fmt.Errorf("%d of %d acknowledgments", count, n)
		}
		first, _ = l.firstAckAfter(after)
		return nil
	})
	return first
}

// stopAndCheck ends the sessions and checks that each acknowledged row exists exactly once, that no
// row reported as not run exists, and that no session read stale data.
func (l *load) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	var rows []string
	l.c.eventually("rows can be read", func() error {
		conn, err := l.c.connect(l.c.entryHosts()[len(l.c.entryHosts())-1], "checker")
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		rows, err = query(conn, "SELECT id FROM rows")
		return err
	})
	count := map[string]int{}
	for _, id := range rows {
		count[id]++
	}
	for id := range l.acked {
		if count[fmt.Sprint(id)] != 1 {
			t.Errorf("row %d was acknowledged but exists %d times, want 1", id, count[fmt.Sprint(id)])
		}
	}
	for id := range l.notRun {
		if count[fmt.Sprint(id)] != 0 {
			t.Errorf("row %d was reported as not run but exists", id)
		}
	}
	for _, read := range l.staleReads {
		t.Errorf("read-your-writes violated: %s", read)
	}
	t.Logf("acknowledged %d, not run %d, outcome unknown %d", len(l.acked), len(l.notRun), len(l.unknown))
	if len(l.acked) == 0 {
		t.Error("no write was acknowledged")
	}
}
