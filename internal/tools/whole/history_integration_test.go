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

// access is one request to a register: a write of a value, or a read.
type access struct {
	key   int
	write bool
	value string
}

// registers is the sequential specification: a read returns the latest write.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(access).key
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
		in := input.(access)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// history records requests of many sessions with their times.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// unknownEnd is the end of a write whose outcome is unknown: it may take effect at any time.
const unknownEnd = int64(1 << 62)

func (h *history) add(client int, in access, out string, call time.Time, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Sub(h.start).Nanoseconds(), Return: end})
}

func (h *history) session(c *cluster, client int, stop <-chan struct{}) {
	r := rand.New(rand.NewSource(int64(client)))
	entries := c.entries()
	for at := client; ; at++ {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := c.connect(entries[at%len(entries)], "historian")
		if err != nil {
			time.Sleep(poll)
			continue
		}
		for i := 0; i < roamAfter && err == nil; i++ {
			in := access{key: r.Intn(3), write: r.Intn(3) == 0, value: fmt.Sprintf("%d%04d%03d", client+1, at%10000, i)}
			text := fmt.Sprintf("SELECT v FROM registers WHERE id = %d", in.key)
			if in.write {
				text = fmt.Sprintf("UPDATE registers SET v = '%s' WHERE id = %d", in.value, in.key)
			}
			call := time.Now()
			var rows []string
			rows, err = query(conn, text)
			end := time.Since(h.start).Nanoseconds()
			switch {
			case err == nil && in.write:
				h.add(client, in, "", call, end)
			case err == nil && len(rows) == 1:
				h.add(client, in, rows[0], call, end)
			case err != nil && in.write && verdict(err) != "NotRun":
				h.add(client, in, "", call, unknownEnd)
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

// await waits for more requests.
func (h *history) await(c *cluster, more int) {
	c.t.Helper()
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.ops)
	}
	want := count() + more
	c.eventually("sessions go on", func() error {
		if n := count(); n < want {
			return fmt.Errorf("%d of %d requests", n, want)
		}
		return nil
	})
}

func TestHistoriesAreLinearizable(t *testing.T) {
	c := rowsCluster(t, clusterConfig{Control: 3, Entry: 3, Lag: 5 * time.Millisecond})
	c.eventually("registers are there", func() error {
		return c.try("entry-1", "CREATE TABLE IF NOT EXISTS registers (id INTEGER PRIMARY KEY, v TEXT)")
	})
	c.eventually("registers have values", func() error {
		return c.try("entry-1", "INSERT INTO registers VALUES (0, '0'), (1, '0'), (2, '0') ON CONFLICT DO NOTHING")
	})
	h := &history{start: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.session(c, i, stop)
		}()
	}
	for range 2 {
		h.await(c, 400)
		primary := c.group().Primary
		c.kill(primary)
		c.eventually("another primary", func() error {
			if g := c.group(); g.Phase != "open" || g.Primary == primary {
				return fmt.Errorf("%+v", g)
			}
			return nil
		})
		c.start(primary)
		c.awaitReplicas()
	}
	h.await(c, 400)
	holder := c.group().Holder
	c.kill(holder)
	c.start(holder)
	c.eventually("a holder", func() error { return c.try("entry-1", "SELECT 1") })
	close(stop)
	wg.Wait()
	Convey("What sessions saw is one order of the writes, and a planted fault is found", t, func() {
		t.Logf("%d requests", len(h.ops))
		So(len(h.ops), ShouldBeGreaterThan, 50)
		So(porcupine.CheckOperationsTimeout(registers, h.ops, time.Minute), ShouldEqual, porcupine.Ok)
		for i := range h.ops {
			if in := h.ops[i].Input.(access); !in.write && i > len(h.ops)/2 {
				h.ops[i].Output = "0"
				break
			}
		}
		So(porcupine.CheckOperationsTimeout(registers, h.ops, time.Minute), ShouldEqual, porcupine.Illegal)
	})
}
