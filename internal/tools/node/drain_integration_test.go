package node_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

const (
	// lossSlack is the age up to which a statement that reached no instance may end without an answer.
	lossSlack = 200 * time.Millisecond
	// nearTimeout is how long a statement on an item whose name starts with "slow" takes, near the timeout
	// of 800 ms.
	nearTimeout = 650 * time.Millisecond
	// drainLimit is the part of the grace period in which a host drains.
	drainLimit = 5500 * time.Millisecond
)

// buildBinary builds the host program once per test process and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "agatespindle-node")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "agatespindle-node")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/agatespindle/agatespindle/cmd/agatespindle-node").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := buildBinary(); err == nil {
		os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// process is an entry host that runs as a process.
type process struct {
	*exec.Cmd
	addr  string
	ended chan struct{}
	// err is the result of the process and endedAt the time of its end, once ended is closed.
	err     error
	endedAt time.Time
}

// startProcess starts entry host i as a process.
func (c *cluster) startProcess(i int) *process {
	name := fmt.Sprintf("edge-%d", i)
	b, err := toml.Marshal(c.settings(name, c.ip(50+i), false, false))
	So(err, ShouldBeNil)
	path := filepath.Join(c.dir, name+".toml")
	So(os.WriteFile(path, b, 0o600), ShouldBeNil)
	binary, err := buildBinary()
	So(err, ShouldBeNil)
	p := &process{Cmd: exec.Command(binary, "run", "--config", path), addr: c.callerAddr(i), ended: make(chan struct{})}
	So(p.Start(), ShouldBeNil)
	go func() {
		p.err, p.endedAt = p.Wait(), time.Now()
		close(p.ended)
	}()
	c.t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.ended
	})
	return p
}

// startDrainCluster starts a cluster with entry hosts as processes; statements on slow items take
// nearTimeout.
func startDrainCluster(t *testing.T, entryHosts int) (*cluster, []*process) {
	t.Helper()
	c := startCluster(t, 3, 0, false, func(g *mimic.Group) {
		g.MaxConns, g.Slots, g.QueueLimit, g.RecordRuns = 64, 32, 64, true
		g.ExtraTime = func(text string) time.Duration {
			if strings.Contains(text, " slow") {
				return nearTimeout
			}
			return 0
		}
	})
	c.declareAndAwaitReady(0)
	processes := make([]*process, entryHosts)
	for i := range processes {
		processes[i] = c.startProcess(i)
	}
	for i := range processes {
		c.awaitEntry(i)
	}
	return c, processes
}

// sentQuery is a query that a caller has sent.
type sentQuery struct {
	id string
	at time.Time
}

// watcher is a caller that knows which of its queries have no answer yet.
type watcher struct {
	net.Conn
	r       *bufio.Reader
	cluster *cluster
	name    string
	n       int
	pending []sentQuery
}

// watch connects to a host and sends nothing.
func (c *cluster) watch(addr, name string) (*watcher, error) {
	conn, err := net.DialTimeout("tcp", addr, replyTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &watcher{Conn: conn, r: bufio.NewReader(conn), cluster: c, name: name}, nil
}

// line returns the line of a new query.
func (w *watcher) line(text string) string {
	w.n++
	id := fmt.Sprintf("%s-%d", w.name, w.n)
	w.pending = append(w.pending, sentQuery{id, time.Now()})
	return fmt.Sprintf("QUERY %s %s\r\n", id, text)
}

// startup opens a session and sends the queries with the same write. It reports whether the session was
// accepted.
func (w *watcher) startup(texts ...string) (bool, error) {
	message := "STARTUP orders tester\r\n"
	for _, text := range texts {
		message += w.line(text)
	}
	if _, err := fmt.Fprint(w, message); err != nil {
		return false, err
	}
	line, err := w.r.ReadString('\n')
	return strings.HasPrefix(line, "READY"), err
}

// await reads the answer to the oldest query without one.
func (w *watcher) await() error {
	for {
		line, err := w.r.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.HasPrefix(line, "READY") {
			w.pending = w.pending[1:]
			return nil
		}
	}
}

// cut returns an error that describes the queries that were cut, given that the connection has ended.
func (w *watcher) cut(cause error) error {
	var errs []error
	for _, q := range w.pending {
		age, reached := time.Since(q.at), len(w.cluster.group.Runs(q.id)) > 0
		if reached || age > lossSlack {
			errs = append(errs, fmt.Errorf("%s cut after %s, reached an instance: %v: %w", q.id, age.Round(time.Millisecond), reached, cause))
		}
	}
	return errors.Join(errs...)
}

// closedByHost reports whether the host closes the connection within a moment.
func (w *watcher) closedByHost() bool {
	_ = w.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	_, err := w.r.Peek(1)
	_ = w.SetReadDeadline(time.Now().Add(20 * time.Second))
	return errors.Is(err, io.EOF)
}

// repeat keeps that many queries without an answer until the connection ends, and returns those that were
// cut.
func (w *watcher) repeat(ahead int, text string) error {
	for {
		for len(w.pending) < ahead {
			if _, err := fmt.Fprint(w, w.line(text)); err != nil {
				return w.cut(err)
			}
		}
		if err := w.await(); err != nil {
			return w.cut(err)
		}
		if len(w.pending) == 0 && w.closedByHost() {
			return nil
		}
	}
}

// watchers are callers that run in the background.
type watchers struct {
	cluster *cluster
	wg      sync.WaitGroup
	mu      sync.Mutex
	errs    []error
	started int
	served  int
	// unanswered counts the queries whose connection ended without an answer, cut or not.
	unanswered int
}

// run starts a caller that connects and queries, sending that many queries ahead, until its connection
// ends; once says that it sends a single query together with its startup message.
func (ws *watchers) run(addr, name string, ahead int, once bool, text string) {
	ws.started++
	ws.wg.Add(1)
	go func() {
		defer ws.wg.Done()
		served, unanswered, err := ws.play(addr, name, ahead, once, text)
		ws.mu.Lock()
		defer ws.mu.Unlock()
		ws.errs = append(ws.errs, err)
		ws.served, ws.unanswered = ws.served+served, ws.unanswered+unanswered
	}()
}

// play runs one caller and returns how many of its queries were answered, and how many were not when the
// connection ended.
func (ws *watchers) play(addr, name string, ahead int, once bool, text string) (served, unanswered int, err error) {
	w, err := ws.cluster.watch(addr, name)
	if err != nil {
		return 0, 0, nil // The host takes no connections.
	}
	defer w.Close()
	var texts []string
	if once {
		texts = []string{text}
	}
	accepted, err := w.startup(texts...)
	switch {
	case err != nil:
		err = w.cut(err)
	case !accepted:
		return 0, 0, nil
	case !once:
		err = w.repeat(ahead, text)
	default:
		if cause := w.await(); cause != nil {
			err = w.cut(cause)
		}
	}
	return w.n - len(w.pending), len(w.pending), err
}

// wait waits for all callers and returns the queries that were cut.
func (ws *watchers) wait() error {
	ws.wg.Wait()
	return errors.Join(ws.errs...)
}

// connectDuring starts a caller with a single query every interval from now until then.
func (ws *watchers) connectDuring(addr, prefix string, interval time.Duration, until time.Time, text string) {
	for started := time.Now(); time.Now().Before(until); time.Sleep(interval) {
		ws.run(addr, fmt.Sprintf("%s%d", prefix, time.Since(started).Milliseconds()), 1, true, text)
	}
}

// TestShutdownCutsNoStatementNearItsTimeout guards against statements that are cut at the limit of a drain
// which a caller that always sends ahead keeps from ending.
func TestShutdownCutsNoStatementNearItsTimeout(t *testing.T) {
	t.Parallel()
	Convey("Given a process with a caller that always sends ahead", t, func() {
		c, processes := startDrainCluster(t, 1)
		p, ws := processes[0], &watchers{cluster: c}
		ws.run(p.addr, "ahead", 4, false, "WRITE slow 1")
		time.Sleep(200 * time.Millisecond)
		Convey("A SIGTERM cuts no statement of callers that connect from then on", func() {
			started := time.Now()
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			time.Sleep(2700 * time.Millisecond)
			ws.connectDuring(p.addr, "late", 150*time.Millisecond, started.Add(drainLimit), "WRITE slow 1")
			<-p.ended
			ended, cut := p.endedAt.Sub(started), ws.wait()
			t.Logf("%d callers, %d statements answered, %d not, process ended %s after SIGTERM: %v", ws.started, ws.served, ws.unanswered, ended, p.err)
			So(cut, ShouldBeNil)
			So(p.err, ShouldBeNil)
		})
	})
}

// TestShutdownIgnoresFurtherSignals covers signals that arrive while a process drains.
func TestShutdownIgnoresFurtherSignals(t *testing.T) {
	t.Parallel()
	Convey("Given processes with callers", t, func() {
		signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
		c, processes := startDrainCluster(t, len(signals))
		ws := &watchers{cluster: c}
		for i, p := range processes {
			for j := range 3 {
				ws.run(p.addr, fmt.Sprintf("host%d-%d", i, j), 1, false, "WRITE slow 1")
			}
		}
		time.Sleep(200 * time.Millisecond)
		Convey("A further signal during the drain cuts no statement, and the process ends in order", func() {
			started := time.Now()
			for _, p := range processes {
				So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			}
			for _, at := range []time.Duration{50 * time.Millisecond, 2500 * time.Millisecond, 2900 * time.Millisecond} {
				time.Sleep(time.Until(started.Add(at)))
				for i, p := range processes {
					So(p.Process.Signal(signals[i]), ShouldBeNil)
				}
			}
			for _, p := range processes {
				<-p.ended
				t.Logf("process ended %s after SIGTERM: %v", p.endedAt.Sub(started), p.err)
				So(p.err, ShouldBeNil)
			}
			So(ws.wait(), ShouldBeNil)
		})
	})
}

// TestShutdownAnswersUntilTheProcessIsGone covers callers that connect at the end of a drain and after it.
func TestShutdownAnswersUntilTheProcessIsGone(t *testing.T) {
	t.Parallel()
	Convey("Given a process without other callers", t, func() {
		c, processes := startDrainCluster(t, 1)
		p, ws := processes[0], &watchers{cluster: c}
		Convey("Callers that connect until the process is gone are answered or refused", func() {
			started := time.Now()
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			time.Sleep(2400 * time.Millisecond)
			for n := 0; !p.hasEnded(); n++ {
				ws.run(p.addr, fmt.Sprint("end", n), 1, true, "WRITE quick 1")
				time.Sleep(3 * time.Millisecond)
			}
			ended, cut := p.endedAt.Sub(started), ws.wait()
			t.Logf("%d callers, %d statements answered, %d not, process ended %s after SIGTERM: %v", ws.started, ws.served, ws.unanswered, ended, p.err)
			So(cut, ShouldBeNil)
			So(p.err, ShouldBeNil)
		})
	})
}

// hasEnded reports whether the process is gone.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// TestShutdownWithoutControlCutsNoStatement covers a lease that lapses while a process drains.
func TestShutdownWithoutControlCutsNoStatement(t *testing.T) {
	t.Parallel()
	Convey("Given processes with callers whose control hosts stop during the drain", t, func() {
		c, processes := startDrainCluster(t, 1)
		p, ws := processes[0], &watchers{cluster: c}
		for i := range 3 {
			ws.run(p.addr, fmt.Sprint("slow", i), 1, false, "WRITE slow 1")
			ws.run(p.addr, fmt.Sprint("read", i), 1, false, "READ slow")
		}
		time.Sleep(200 * time.Millisecond)
		Convey("No statement is cut", func() {
			started := time.Now()
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			var stopped sync.WaitGroup
			for i := range 3 {
				stopped.Go(func() { _ = c.stopHost(fmt.Sprint("core-", i)) })
			}
			<-p.ended
			stopped.Wait()
			for i := range 3 {
				delete(c.running, fmt.Sprint("core-", i))
			}
			ended, cut := p.endedAt.Sub(started), ws.wait()
			t.Logf("%d callers, %d statements answered, %d not, process ended %s after SIGTERM: %v", ws.started, ws.served, ws.unanswered, ended, p.err)
			So(cut, ShouldBeNil)
		})
	})
}

// TestSignalsWhileAProcessStarts covers a process that gets SIGHUP and SIGTERM while it starts.
func TestSignalsWhileAProcessStarts(t *testing.T) {
	t.Parallel()
	Convey("Given processes that start", t, func() {
		c := startCluster(t, 3, 0, false, func(g *mimic.Group) { g.RecordRuns = true })
		c.declareAndAwaitReady(0)
		// The signals are sent as soon as the process listens there.
		addrs := []string{c.ip(50) + ":7440", c.callerAddr(1), c.readyAddr(2)}
		ws := &watchers{cluster: c}
		var processes []*process
		for i, addr := range addrs {
			p := c.startProcess(i)
			processes = append(processes, p)
			c.listens(addr)
			So(p.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			for n := range 20 {
				ws.run(p.addr, fmt.Sprintf("start%d-%d", i, n), 1, true, "WRITE quick 1")
				time.Sleep(10 * time.Millisecond)
			}
		}
		Convey("They end in order and cut no statement", func() {
			for _, p := range processes {
				<-p.ended
				So(p.err, ShouldBeNil)
			}
			cut := ws.wait()
			t.Logf("%d callers, %d statements answered, %d not", ws.started, ws.served, ws.unanswered)
			So(cut, ShouldBeNil)
		})
	})
}

// listens waits until a process listens on addr.
func (c *cluster) listens(addr string) {
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		}
	}
	c.t.Fatalf("no process listens on %s", addr)
}

// TestShutdownCutsNoStatementOfTransactions covers transactions that are open when a drain begins and go on
// beyond its limit for them.
func TestShutdownCutsNoStatementOfTransactions(t *testing.T) {
	t.Parallel()
	Convey("Given a process with callers in transactions", t, func() {
		c, processes := startDrainCluster(t, 1)
		p := processes[0]
		results := make(chan error, 12)
		for i := range cap(results) {
			w, err := c.watch(p.addr, fmt.Sprint("tx", i))
			So(err, ShouldBeNil)
			defer w.Close()
			_, err = w.startup("BEGIN", "WRITE quick 1")
			So(err, ShouldBeNil)
			So(w.await(), ShouldBeNil)
			So(w.await(), ShouldBeNil)
			texts := []string{"WRITE quick 1", "WRITE slow 1", "READ slow"}
			go func() { results <- w.goOn(texts[i%len(texts)], time.Duration(i)*70*time.Millisecond) }()
		}
		Convey("A SIGTERM cuts no statement of theirs", func() {
			started := time.Now()
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			<-p.ended
			t.Logf("process ended %s after SIGTERM: %v", p.endedAt.Sub(started), p.err)
			var errs []error
			for range cap(results) {
				errs = append(errs, <-results)
			}
			So(errors.Join(errs...), ShouldBeNil)
			So(p.err, ShouldBeNil)
		})
	})
}

// goOn sends statements of a transaction with pauses between them until the host closes the connection, and
// returns those that were cut.
func (w *watcher) goOn(text string, pause time.Duration) error {
	for {
		if _, err := fmt.Fprint(w, w.line(text)); err != nil {
			return w.cut(err)
		}
		if err := w.await(); err != nil {
			return w.cut(err)
		}
		if w.closedByHost() {
			return nil
		}
		time.Sleep(pause)
	}
}

// TestShutdownCutsNoLargeAnswer covers answers larger than the buffers of both sockets to callers that read
// slowly while the host drains.
func TestShutdownCutsNoLargeAnswer(t *testing.T) {
	t.Parallel()
	Convey("Given a process with callers that read slowly", t, func() {
		c, processes := startDrainCluster(t, 1)
		p := processes[0]
		const callers = 6
		results := make(chan error, callers)
		for i := range callers {
			w, err := c.watch(p.addr, fmt.Sprint("large", i))
			So(err, ShouldBeNil)
			defer w.Close()
			_, err = w.startup()
			So(err, ShouldBeNil)
			go func() {
				time.Sleep(time.Duration(i) * 300 * time.Millisecond)
				results <- w.readSlowly(i%3, "READ large:8000")
			}()
		}
		Convey("A SIGTERM cuts no answer, with or without further queries sent ahead", func() {
			started := time.Now()
			So(p.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			var errs []error
			for range callers {
				errs = append(errs, <-results)
			}
			<-p.ended
			t.Logf("process ended %s after SIGTERM: %v", p.endedAt.Sub(started), p.err)
			So(errors.Join(errs...), ShouldBeNil)
			So(p.err, ShouldBeNil)
		})
	})
}

// readSlowly sends a query and that many further ones during the answer, and reads the answers slowly. It
// returns those that were cut.
func (w *watcher) readSlowly(ahead int, text string) error {
	w.r = bufio.NewReaderSize(pausingReader{w, 10 * time.Millisecond}, 64<<10)
	if _, err := fmt.Fprint(w, w.line(text)); err != nil {
		return w.cut(err)
	}
	for i := range ahead {
		time.AfterFunc(time.Duration(i+1)*300*time.Millisecond, func() { fmt.Fprintf(w, "QUERY %s-next%d WRITE quick 1\r\n", w.name, i) })
	}
	if err := w.await(); err != nil {
		return w.cut(err)
	}
	return nil
}

// pausingReader pauses after each read.
type pausingReader struct {
	io.Reader
	pause time.Duration
}

func (r pausingReader) Read(b []byte) (int, error) {
	defer time.Sleep(r.pause)
	return r.Reader.Read(b)
}
