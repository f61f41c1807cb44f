package host_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	mixedSeed  = flag.Uint64("mixed.seed", 1, "first seed of TestShutdownsCutNoRequest")
	mixedSeeds = flag.Int("mixed.seeds", 2, "number of seeds of TestShutdownsCutNoRequest")
)

// outcomes records what callers were told about each row that they wrote, and connections that ended
// without an answer.
type outcomes struct {
	mu     sync.Mutex
	acked  []int
	notRun []int
	cut    []string
}

func (o *outcomes) record(id int, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case a.err != nil:
		o.cut = append(o.cut, fmt.Sprintf("row %d: %v", id, a.err))
	case a.verdict == "":
		o.acked = append(o.acked, id)
	case a.verdict == "NotRun":
		o.notRun = append(o.notRun, id)
	}
}

// mixedCaller sends writes on one connection until it ends.
type mixedCaller struct {
	f   *pgproto3.Frontend
	rng *rand.Rand
	out *outcomes
	// firstID is the number of its first row.
	firstID int
	// ahead is the number of writes that are sent before an answer is read, up to ten. extended selects the
	// extended query protocol, and inTransaction wraps each write.
	ahead         int
	extended      bool
	inTransaction bool
}

// run writes rows until the session ends.
func (c *mixedCaller) run() {
	for id := c.firstID; ; id += c.ahead {
		texts := c.texts(id)
		for _, text := range texts {
			c.add(text)
		}
		flushErr := c.f.Flush()
		for i := range c.ahead {
			a := c.readOutcome(len(texts) / c.ahead)
			if a.err != nil && flushErr != nil {
				// The session had ended before these were sent.
				return
			}
			c.out.record(id+i, a)
			if a.fatal || a.err != nil {
				c.recordRest(id+i+1, id+c.ahead, a)
				return
			}
		}
		time.Sleep(time.Duration(c.rng.IntN(4)) * time.Millisecond)
	}
}

// recordRest records the writes after the one that ended the session: they did not run either.
func (c *mixedCaller) recordRest(from, to int, a answer) {
	for id := from; id < to && a.err == nil; id++ {
		c.out.record(id, answer{verdict: "NotRun"})
	}
}

// texts returns the statements that write the rows from id on.
func (c *mixedCaller) texts(id int) []string {
	var list []string
	for i := range c.ahead {
		insert := fmt.Sprintf("INSERT INTO rows VALUES (%d) /* wait %dms */", id+i, c.rng.IntN(200))
		if c.inTransaction {
			list = append(list, "BEGIN", insert, "COMMIT")
		} else {
			list = append(list, insert)
		}
	}
	return list
}

func (c *mixedCaller) add(text string) {
	if !c.extended {
		c.f.Send(&pgproto3.Query{String: text})
		return
	}
	c.f.Send(&pgproto3.Parse{Query: text})
	c.f.Send(&pgproto3.Bind{})
	c.f.Send(&pgproto3.Execute{})
	c.f.Send(&pgproto3.Sync{})
}

// readOutcome reads the answers to the statements of one write and returns the first error or the last
// answer.
func (c *mixedCaller) readOutcome(statements int) answer {
	var first answer
	for range statements {
		a := readAnswer(c.f)
		if a.err != nil || a.fatal {
			if first.verdict != "" {
				first.fatal = true
				return first
			}
			return a
		}
		if first.verdict == "" {
			first = a
		}
	}
	return first
}

// TestShutdownsCutNoRequest guards against requests that end without an answer, or with an untrue one, while
// hosts shut down one shortly after the other.
func TestShutdownsCutNoRequest(t *testing.T) {
	for i := range *mixedSeeds {
		seed := *mixedSeed + uint64(i)
		Convey(fmt.Sprintf("Callers of all kinds learn what became of their writes (seed %d)", seed), t, func() {
			runMixed(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func runMixed(t *testing.T, rng *rand.Rand) {
	const hosts = 3
	d := startDeployment(t, hosts, time.Duration(2+rng.IntN(6))*time.Second)
	So(d.tryStatement("entry-1", "CREATE TABLE rows (id INTEGER)"), ShouldBeNil)
	out := &outcomes{}
	var wg sync.WaitGroup
	for i := range 8 * hosts {
		conn, f := d.dialRaw(fmt.Sprintf("entry-%d", i%hosts+1))
		defer conn.Close()
		send(f, "SET agatespindle.timeout = '1s'")
		So(readAnswer(f), ShouldResemble, answer{})
		c := &mixedCaller{
			f: f, rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), out: out, firstID: (i + 1) * 100000,
			ahead: 1, extended: rng.IntN(2) == 0, inTransaction: rng.IntN(3) == 0,
		}
		if rng.IntN(2) == 0 {
			c.ahead = 2 + rng.IntN(9)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run()
		}()
	}
	var stopped []<-chan time.Duration
	last := ""
	for _, i := range rng.Perm(hosts) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		last = fmt.Sprintf("entry-%d", i+1)
		stopped = append(stopped, d.shutDown(last))
	}
	wg.Wait()
	for _, took := range stopped {
		<-took
	}
	So(out.cut, ShouldBeEmpty)
	d.checkRows(out)
}

// checkRows compares what callers were told with the rows in the table.
func (d *deployment) checkRows(out *outcomes) {
	d.t.Helper()
	name := "checker"
	cfg := d.config(name, "entry")
	cfg.ControlPeers, cfg.CallerAddr = d.hosts["control-1"].Config.ControlPeers, freeAddr(d.t)
	d.start(cfg)
	rows := map[string]int{}
	d.eventually(startTimeout, func() error {
		conn, err := d.connect(name)
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		r, err := conn.Exec(context.Background(), "SELECT id FROM rows").ReadAll()
		if err != nil {
			return err
		}
		for _, row := range r[0].Rows {
			rows[string(row[0])]++
		}
		return nil
	})
	for _, id := range out.acked {
		So(rows[fmt.Sprint(id)], ShouldEqual, 1)
	}
	for _, id := range out.notRun {
		So(rows[fmt.Sprint(id)], ShouldEqual, 0)
	}
	d.t.Logf("%d rows acknowledged, %d not run, %d in the table", len(out.acked), len(out.notRun), len(rows))
}
