// Package stand provides a small stand-in for a backend server: PostgreSQL protocol in front
// of an SQL engine, with a statement log, terms and asynchronous replication. It serves
// development and tests.
package stand

import (
	"context"
	"crypto/rand"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	_ "modernc.org/sqlite" // registers the SQL engine

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// Config are the properties of an instance.
type Config struct {
	// Name, Group and Center are what the instance announces.
	Name   string
	Group  string
	Center string
	// Listener accepts connections.
	Listener net.Listener
	// Dir is the folder for the log; the engine's files in it are made anew at each start.
	Dir string
	// Hosts are API addresses of the system that the instance announces itself to.
	Hosts []string
	// Slots is the number of statements that run at once.
	Slots int
	// MaxConnections is the number of connections that are accepted.
	MaxConnections int
	// ConnectCost is the time that a new connection takes.
	ConnectCost time.Duration
	// StatementCost is the time that each statement takes in its slot.
	StatementCost time.Duration
	// Lag delays the application of the primary's entries.
	Lag time.Duration
}

// Defaults of the brief's instances.
const (
	DefaultSlots          = 2
	DefaultMaxConnections = 16
	DefaultConnectCost    = 12 * time.Millisecond
	heartbeatInterval     = 100 * time.Millisecond
)

// Instance is one backend server.
type Instance struct {
	cfg         Config
	slots       chan struct{}
	log         *entryLog
	incarnation string
	disk        string

	mu               sync.Mutex
	changed          chan struct{}
	term             uint64
	primary          bool
	following        bool
	db               *sql.DB
	engineGeneration int
	openConns        int
	sessions         map[*session]struct{}
	stopReplication  context.CancelFunc
	sessionsByPID    map[uint32]*session
	lastPID          uint32
	wg               sync.WaitGroup
	lag              time.Duration
}

// New returns an instance with the log that stands in its folder.
func New(cfg Config) (*Instance, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("make folder of instance: %w", err)
	}
	l, err := openLog(filepath.Join(cfg.Dir, "log"))
	if err != nil {
		return nil, err
	}
	in := &Instance{
		cfg: cfg, log: l, slots: make(chan struct{}, cfg.Slots), changed: make(chan struct{}),
		sessions: map[*session]struct{}{}, sessionsByPID: map[uint32]*session{}, lag: cfg.Lag,
		incarnation: fmt.Sprintf("%s-%d", cfg.Name, time.Now().UnixNano()),
	}
	in.term = l.lastTerm()
	if in.term, err = readTerm(in.termFile(), in.term); err != nil {
		return nil, err
	}
	if in.disk, err = readDisk(filepath.Join(cfg.Dir, "disk")); err != nil {
		return nil, err
	}
	return in, in.rebuildEngine()
}

// readDisk returns the identity of a folder, which is made with it.
func readDisk(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil {
		return string(b), nil
	}
	id := rand.Text()
	return id, os.WriteFile(path, []byte(id), 0o600)
}

// rebuildEngine makes the engine's database anew from the log. Open sessions end.
func (in *Instance) rebuildEngine() error {
	if in.db != nil {
		in.db.Close()
	}
	in.engineGeneration++
	path := filepath.Join(in.cfg.Dir, fmt.Sprintf("engine-%d.db", in.engineGeneration))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		os.Remove(path + suffix)
	}
	db, err := sql.Open("sqlite", "file:"+path+"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(5000)")
	if err != nil {
		return err
	}
	in.db = db
	for _, e := range in.log.entries {
		if err := applyEntry(db, e); err != nil {
			return fmt.Errorf("replay entry %d: %w", e.Position, err)
		}
	}
	return nil
}

func applyEntry(db *sql.DB, e entry) error {
	tx, err := db.Begin()
	if err != nil {
		return err
	}
	defer tx.Rollback()
	for _, s := range e.Statements {
		if _, err := tx.Exec(toEngineSQL(s.Text), s.args()...); err != nil {
			return err
		}
	}
	return tx.Commit()
}

// Run serves until ctx ends; the end is reported on the returned channel.
func (in *Instance) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		in.cfg.Listener.Close()
		in.closeSessions(nil)
		in.mu.Lock()
		in.stopFollowing()
		in.mu.Unlock()
	})
	in.wg.Add(1)
	go in.announce(ctx)
	go func() {
		defer stop()
		err := in.accept(ctx)
		in.wg.Wait()
		in.mu.Lock()
		in.db.Close()
		in.log.close()
		in.mu.Unlock()
		done <- err
	}()
	return done
}

func (in *Instance) accept(ctx context.Context) error {
	for {
		conn, err := in.cfg.Listener.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connections: %w", err)
		}
		in.wg.Add(1)
		go func() {
			defer in.wg.Done()
			defer conn.Close()
			in.serve(ctx, conn)
		}()
	}
}

// Status returns what the instance says of itself.
func (in *Instance) Status() adapt.Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.status()
}

func (in *Instance) status() adapt.Status {
	return adapt.Status{
		Name: in.cfg.Name, Group: in.cfg.Group, Disk: in.disk, Term: in.term, LastTerm: in.log.lastTerm(),
		Position: in.log.lastPosition(), Primary: in.primary, Following: in.following,
	}
}

// SetLag changes the delay of replication.
func (in *Instance) SetLag(d time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lag = d
}

// notify wakes all that wait for a change. The caller holds mu.
func (in *Instance) notify() {
	close(in.changed)
	in.changed = make(chan struct{})
}

// statusAndChanged returns the channel that is closed at the next change, with the status before it.
func (in *Instance) statusAndChanged() (adapt.Status, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.status(), in.changed
}

var errFenced = errors.New("term was replaced; this instance takes no write in it")

// commitEngine ends a writing transaction: the engine's commit and the log entry are one step
// under the lock, so that no fence falls between them.
func (in *Instance) commitEngine(ctx context.Context, term uint64, statements []statement, commitEngine func() error) (uint64, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.primary || in.term != term {
		return 0, errFenced
	}
	if err := commitEngine(); err != nil {
		return 0, err
	}
	position := in.log.lastPosition() + 1
	if err := in.log.append(entry{Term: term, Position: position, Statements: statements}); err != nil {
		return 0, err
	}
	in.notify()
	return position, nil
}

// closeSessions closes the data connections, but for keep.
func (in *Instance) closeSessions(except *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for s := range in.sessions {
		if s != except {
			s.conn.Close()
		}
	}
}
