package whole_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
)

// registerOp is one request to a register: a write of a value, or a read.
type registerOp struct {
	key   int
	write bool
	value string
}

// registerModel is porcupine's sequential specification of independent registers: a read returns
// the latest write to the same key.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerOp).key
			parts[key] = append(parts[key], op)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerOp)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// history records the requests of all sessions. The start and end times of the operations are in ns
// since start.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// unknownEnd is the end time, in ns, of a write whose outcome is unknown. It lies after the end of
// any test, because the write may take effect at any time.
const unknownEnd = int64(1 << 62)

// record adds a request to the history; end is its end time in ns since start, or unknownEnd.
func (h *history) record(client int, in registerOp, out string, call time.Time, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Sub(h.start).Nanoseconds(), Return: end})
}

// runSession sends random reads and writes and records them until stop is closed. It leaves out
// reads that fail or return no row, and writes reported as NotRun, because they don't constrain the
// history.
func (h *history) runSession(c *cluster, client int, stop <-chan struct{}) {
	rng := rand.New(rand.NewSource(int64(client)))
	entries := c.entryHosts()
	for attempt := client; ; attempt++ {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := c.connect(entries[attempt%len(entries)], "historian")
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		for i := 0; i < requestsPerConnection && err == nil; i++ {
			in := registerOp{key: rng.Intn(3), write: rng.Intn(3) == 0, value: fmt.Sprintf("%d%04d%03d", client+1, attempt%10000, i)}
			sql := fmt.Sprintf("SELECT v FROM registers WHERE id = %d", in.key)
			if in.write {
				sql = fmt.Sprintf("UPDATE registers SET v = '%s' WHERE id = %d", in.value, in.key)
			}
			call := time.Now()
			var rows []string
			rows, err = query(conn, sql)
			end := time.Since(h.start).Nanoseconds()
			switch {
			case err == nil && in.write:
				h.record(client, in, "", call, end)
			case err == nil && len(rows) == 1:
				h.record(client, in, rows[0], call, end)
			case err != nil && in.write && verdict(err) != "NotRun":
				h.record(client, in, "", call, unknownEnd)
			}
			select {
			case <-stop:
				err = context.Canceled
			default:
			}
		}
		conn.Close(context.Background())
	}
}

// waitForMore waits until the given number of further requests is recorded.
func (h *history) waitForMore(c *cluster, more int) {
	c.t.Helper()
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.ops)
	}
	want := count() + more
	c.eventually("sessions record more requests", func() error {
		if n := count(); n < want {
			return fmt.Errorf("%d of %d requests recorded", n, want)
		}
		return nil
	})
}

// TestHistoriesAreLinearizable kills the primary twice and the holder once under load. It guards
// against stale reads and lost writes after a failover.
func TestHistoriesAreLinearizable(t *testing.T) {
	c := newClusterWithRowsTable(t, clusterConfig{ControlHosts: 3, EntryHosts: 3, ReplicationLag: 5 * time.Millisecond})
	c.eventually("table registers is created", func() error {
		return c.tryStatement("entry-1", "CREATE TABLE IF NOT EXISTS registers (id INTEGER PRIMARY KEY, v TEXT)")
	})
	c.eventually("registers have initial values", func() error {
		return c.tryStatement("entry-1", "INSERT INTO registers VALUES (0, '0'), (1, '0'), (2, '0') ON CONFLICT DO NOTHING")
	})
	h := &history{start: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.runSession(c, i, stop)
		}()
	}
	for range 2 {
		h.waitForMore(c, 400)
		primary := c.groupStatus().Primary
		c.kill(primary)
		c.eventually("failover to another primary", func() error {
			if g := c.groupStatus(); g.Phase != "open" || g.Primary == primary {
				return fmt.Errorf("group status is %+v", g)
			}
			return nil
		})
		c.start(primary)
		c.waitForReplicas()
	}
	h.waitForMore(c, 400)
	holder := c.groupStatus().Holder
	c.kill(holder)
	c.start(holder)
	c.eventually("callers are served after the holder restarted", func() error { return c.tryStatement("entry-1", "SELECT 1") })
	close(stop)
	wg.Wait()
	Convey("The recorded history is linearizable, and an injected stale read is detected", t, func() {
		t.Logf("%d requests recorded", len(h.ops))
		So(len(h.ops), ShouldBeGreaterThan, 50)
		So(porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute), ShouldEqual, porcupine.Ok)
		for i := range h.ops {
			if in := h.ops[i].Input.(registerOp); !in.write && i > len(h.ops)/2 {
				h.ops[i].Output = "0"
				break
			}
		}
		So(porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute), ShouldEqual, porcupine.Illegal)
	})
}
