package whole_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// load is sessions that write rows of their own and read them back, and what became of each.
type load struct {
	c      *cluster
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	acked  map[int]time.Time
	notRun map[int]bool
	maybe  map[int]bool
	broken []string
	nextID int
}

// startLoad starts sessions; session i starts at entry host i and goes to the next one after
// each error and every few rows.
func startLoad(c *cluster, sessions int) *load {
	l := &load{c: c, stop: make(chan struct{}), acked: map[int]time.Time{}, notRun: map[int]bool{}, maybe: map[int]bool{}}
	for i := range sessions {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.session(i)
		}()
	}
	return l
}

// roamAfter is the number of rows after which a session goes to the next host.
const roamAfter = 25

func (l *load) session(at int) {
	entries := l.c.entries()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		conn, err := l.c.connect(entries[at%len(entries)], fmt.Sprintf("session-%d", at))
		at++
		if err != nil {
			time.Sleep(poll)
			continue
		}
		l.rows(conn)
		conn.Close(context.Background())
	}
}

func (l *load) rows(conn *pgconn.PgConn) {
	for range roamAfter {
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
		l.note(id, err)
		if err != nil {
			return
		}
		if !l.reads(conn, id) {
			return
		}
	}
}

func (l *load) note(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked[id] = time.Now()
	case verdict(err) == "NotRun":
		l.notRun[id] = true
		l.c.t.Logf("row %d: %v", id, err)
	default:
		l.maybe[id] = true
		l.c.t.Logf("row %d may have run: %v", id, err)
	}
}

// reads reads the row back; an answer without it breaks read-your-writes.
func (l *load) reads(conn *pgconn.PgConn, id int) bool {
	got, err := query(conn, fmt.Sprintf("SELECT COUNT(*) FROM rows WHERE id = %d", id))
	if err != nil {
		return false
	}
	if len(got) != 1 || got[0] != "1" {
		l.mu.Lock()
		l.broken = append(l.broken, fmt.Sprintf("row %d: read %v", id, got))
		l.mu.Unlock()
	}
	return true
}

// ackedAfter returns the time of the first acknowledgment after a moment.
func (l *load) ackedAfter(at time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, t := range l.acked {
		if t.After(at) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first, !first.IsZero()
}

// waitAcked waits for acknowledgments of rows that were written after a moment.
func (l *load) waitAcked(at time.Time, n int) time.Time {
	l.c.t.Helper()
	var first time.Time
	l.c.eventually("writes are acknowledged again", func() error {
		l.mu.Lock()
		count := 0
		for _, t := range l.acked {
			if t.After(at) {
				count++
			}
		}
		l.mu.Unlock()
		if count < n {
			return fmt.Errorf("%d of %d", count, n)
		}
		first, _ = l.ackedAfter(at)
		return nil
	})
	return first
}

// finish ends the sessions and checks what must always hold.
func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	var rows []string
	l.c.eventually("rows are read", func() error {
		conn, err := l.c.connect(l.c.entries()[len(l.c.entries())-1], "checker")
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
			t.Errorf("row %d was acknowledged and is there %d times", id, count[fmt.Sprint(id)])
		}
	}
	for id := range l.notRun {
		if count[fmt.Sprint(id)] != 0 {
			t.Errorf("row %d was reported as not run and is there", id)
		}
	}
	for _, b := range l.broken {
		t.Errorf("read-your-writes broken: %s", b)
	}
	t.Logf("acknowledged %d, not run %d, outcome unknown %d", len(l.acked), len(l.notRun), len(l.maybe))
	if len(l.acked) == 0 {
		t.Error("nothing was acknowledged")
	}
}
