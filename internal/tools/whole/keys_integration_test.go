package whole_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// keyed is sessions that send each write with a request key until it has an answer.
type keyed struct {
	c     *cluster
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	done  []int
	sends int
}

// session writes rows one after another; the first send of a row is sent again on purpose.
func (k *keyed) session(client int) {
	defer k.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-k.stop:
			return
		default:
		}
		id := client*100000 + n
		at := client + n
		for answers := 0; answers < 2; at++ {
			if k.send(at, id) == nil {
				answers++
			}
		}
		k.mu.Lock()
		k.done = append(k.done, id)
		k.mu.Unlock()
	}
}

func (k *keyed) send(at, id int) error {
	entries := k.c.entries()
	k.mu.Lock()
	k.sends++
	k.mu.Unlock()
	conn, err := k.c.connect(entries[at%len(entries)], "keyed")
	if err != nil {
		time.Sleep(poll)
		return err
	}
	defer conn.Close(context.Background())
	if _, err := query(conn, fmt.Sprintf("SET agatespindle.key = 'row-%d'", id)); err != nil {
		return err
	}
	_, err = query(conn, fmt.Sprintf("INSERT INTO rows VALUES (%d)", id))
	return err
}

func (k *keyed) await(more int) {
	k.c.t.Helper()
	count := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.done)
	}
	want := count() + more
	k.c.eventually("keyed writes go on", func() error {
		if n := count(); n < want {
			return fmt.Errorf("%d of %d", n, want)
		}
		return nil
	})
}

// TestKeyedWritesRunOnce kills primary, holder, another entry host and the control leader
// while every write is sent at least twice.
func TestKeyedWritesRunOnce(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 3, Lag: 5 * time.Millisecond})
	k := &keyed{c: c, stop: make(chan struct{})}
	for i := range 5 {
		k.wg.Add(1)
		go k.session(i + 1)
	}
	harms := []func() string{
		func() string { return c.group().Primary },
		func() string { return c.group().Holder },
		func() string { return c.entries()[0] },
		c.leader,
		func() string { return c.group().Primary },
	}
	for _, pick := range harms {
		k.await(30)
		name := pick()
		c.kill(name)
		k.await(10)
		c.start(name)
		c.awaitReplicas()
	}
	k.await(20)
	close(k.stop)
	k.wg.Wait()
	conn, err := c.connect("entry-2", "checker")
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, id := range must(t, conn, "SELECT id FROM rows") {
		count[id]++
	}
	for id, n := range count {
		if n != 1 {
			t.Errorf("row %s is there %d times", id, n)
		}
	}
	for _, id := range k.done {
		if count[fmt.Sprint(id)] != 1 {
			t.Errorf("row %d had an answer and is there %d times", id, count[fmt.Sprint(id)])
		}
	}
	t.Logf("%d rows, %d sends", len(k.done), k.sends)
}
