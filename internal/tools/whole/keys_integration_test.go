package whole_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// keyedLoad runs sessions that send each write with a request key (idempotency key) and retry it
// until it is acknowledged.
type keyedLoad struct {
	c         *cluster
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	completed []int // ids of rows with two successful answers
	sends     int   // calls of send
}

// runSession writes rows one after another. It sends each row until it has two successful answers,
// so that every row is sent at least twice with the same key.
func (k *keyedLoad) runSession(client int) {
	defer k.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-k.stop:
			return
		default:
		}
		id := client*100000 + n
		attempt := client + n
		for answers := 0; answers < 2; attempt++ {
			if k.send(attempt, id) == nil {
				answers++
			}
		}
		k.mu.Lock()
		k.completed = append(k.completed, id)
		k.mu.Unlock()
	}
}

// send writes a row with its request key on a new connection to an entry host chosen by attempt.
func (k *keyedLoad) send(attempt, id int) error {
	entries := k.c.entryHosts()
	k.mu.Lock()
	k.sends++
	k.mu.Unlock()
	conn, err := k.c.connect(entries[attempt%len(entries)], "keyed")
	if err != nil {
		time.Sleep(pollInterval)
		return err
	}
	defer conn.Close(context.Background())
	if _, err := query(conn, fmt.Sprintf("SET agatespindle.key = 'row-%d'", id)); err != nil {
		return err
	}
	_, err = query(conn, fmt.Sprintf("INSERT INTO rows VALUES (%d)", id))
	return err
}

// waitForMore waits until the given number of further rows is completed.
func (k *keyedLoad) waitForMore(more int) {
	k.c.t.Helper()
	count := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.completed)
	}
	want := count() + more
	k.c.eventually("writes with a request key are completed", func() error {
		if n := count(); n < want {
			return fmt.Errorf("%d of %d rows completed", n, want)
		}
		return nil
	})
}

// TestWritesWithRequestKeyRunOnce kills the primary, the holder, an entry host and the control
// leader while every write is sent at least twice with the same key. It guards against duplicate
// rows when a retry reaches another host or a new primary, and against the loss of acknowledged
// rows.
func TestWritesWithRequestKeyRunOnce(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 3, ReplicationLag: 5 * time.Millisecond})
	k := &keyedLoad{c: c, stop: make(chan struct{})}
	for i := range 5 {
		k.wg.Add(1)
		go k.runSession(i + 1)
	}
	targets := []func() string{
		func() string { return c.groupStatus().Primary },
		func() string { return c.groupStatus().Holder },
		func() string { return c.entryHosts()[0] },
		c.controlLeader,
		func() string { return c.groupStatus().Primary },
	}
	for _, pick := range targets {
		k.waitForMore(30)
		name := pick()
		c.kill(name)
		k.waitForMore(10)
		c.start(name)
		c.waitForReplicas()
	}
	k.waitForMore(20)
	close(k.stop)
	k.wg.Wait()
	conn, err := c.connect("entry-2", "checker")
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, id := range mustQuery(t, conn, "SELECT id FROM rows") {
		count[id]++
	}
	for id, n := range count {
		if n != 1 {
			t.Errorf("row %s exists %d times, want 1", id, n)
		}
	}
	for _, id := range k.completed {
		if count[fmt.Sprint(id)] != 1 {
			t.Errorf("row %d was acknowledged but exists %d times, want 1", id, count[fmt.Sprint(id)])
		}
	}
	t.Logf("%d rows completed with %d sends", len(k.completed), k.sends)
}
