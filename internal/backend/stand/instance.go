// Package stand is a small backend server for development and tests. It speaks the PostgreSQL
// protocol, runs statements on an embedded SQLite engine, and has a statement log, terms and
// asynchronous replication.
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

	_ "modernc.org/sqlite" // registers the "sqlite" driver

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
)

// Config configures an instance.
type Config struct {
	// Name, Group and Center (the data centre) are sent in announcements.
	Name   string
	Group  string
	Center string
	// Listener accepts client connections. Run closes it.
	Listener net.Listener
	// Dir is the data directory. It holds the log, the term and the disk identity; the engine's
	// files in it are rebuilt from the log at each start.
	Dir string
	// Hosts are the API addresses (host:port) of proxy hosts that receive the announcements, in
	// turn. Without any the instance is not announced.
	Hosts []string
	// Slots is the number of statements that run concurrently.
	Slots int
	// MaxConnections is the maximum number of open data connections.
	MaxConnections int
	// ConnectCost is the simulated time to open a data connection.
	ConnectCost time.Duration
	// StatementCost is the simulated execution time that is added to each statement.
	StatementCost time.Duration
	// Lag is the time after which a replica applies an entry of the primary.
	Lag time.Duration
}

// Defaults of Config.
const (
	DefaultSlots          = 2
	DefaultMaxConnections = 16
	DefaultConnectCost    = 12 * time.Millisecond
	// heartbeatInterval is the time between WATCH rows without a change, and between attempts
	// to connect to the primary.
	heartbeatInterval = 100 * time.Millisecond
)

// Instance is one backend server, a primary or a replica of its group.
type Instance struct {
	cfg         Config
	slots       chan struct{}
	log         *entryLog
	incarnation string // name and start time; changes at each start
	diskID      string

	mu               sync.Mutex
	changed          chan struct{} // closed and replaced at each change of the status
	term             uint64
	primary          bool
	following        bool
	db               *sql.DB
	engineGeneration int // numbers the engine's database files
	openConns        int // data connections
	sessions         map[*session]struct{}
	stopReplication  context.CancelFunc // nil unless replicating from a primary
	sessionsByPID    map[uint32]*session
	lastPID          uint32 // process ID of the newest data connection, for cancel requests
	wg               sync.WaitGroup
	lag              time.Duration
}

// New returns an instance that continues the log in cfg.Dir. It creates the directory if needed and
// returns an error if the stored state cannot be read or replayed.
func New(cfg Config) (*Instance, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create instance directory: %w", err)
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
	if in.diskID, err = loadDiskID(filepath.Join(cfg.Dir, "disk")); err != nil {
		return nil, err
	}
	return in, in.rebuildEngine()
}

// loadDiskID returns the identity of the data directory. It generates the identity at the first start.
func loadDiskID(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil {
		return string(b), nil
	}
	id := rand.Text()
	return id, os.WriteFile(path, []byte(id), 0o600)
}

// rebuildEngine creates a new engine database and replays the log into it. Sessions on the old
// database fail.
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

// applyEntry runs the statements of an entry in one transaction.
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

// Run serves connections and sends announcements until ctx ends. Then it closes all
// connections and files and sends the result on the returned channel: nil, or the error with which
// accepting connections failed.
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

// accept serves each new connection until ctx ends.
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

// Status returns the current status of the instance.
func (in *Instance) Status() adapt.Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.status()
}

// status is like Status; the caller holds mu.
func (in *Instance) status() adapt.Status {
	return adapt.Status{
		Name: in.cfg.Name, Group: in.cfg.Group, Disk: in.diskID, Term: in.term, LastTerm: in.log.lastTerm(),
		Position: in.log.lastPosition(), Primary: in.primary, Following: in.following,
	}
}

// SetLag sets the replication lag, which applies from the next received entry.
func (in *Instance) SetLag(d time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lag = d
}

// notify wakes the goroutines that wait for a change of the status. The caller holds mu.
func (in *Instance) notify() {
	close(in.changed)
	in.changed = make(chan struct{})
}

// statusAndChanged returns the status and a channel that is closed at its next change.
func (in *Instance) statusAndChanged() (adapt.Status, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.status(), in.changed
}

// errFenced rejects the commit of a transaction whose term has been replaced by a higher one.
var errFenced = errors.New("term was replaced; this instance takes no write in it")

// commit commits a writing transaction of a term and returns its log position. The engine's commit
// and the log entry are made under one lock, so that the term cannot be fenced between them.
func (in *Instance) commit(ctx context.Context, term uint64, statements []statement, commitEngine func() error) (uint64, error) {
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

// closeSessions closes all data connections except one, which may be nil.
func (in *Instance) closeSessions(except *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for s := range in.sessions {
		if s != except {
			s.conn.Close()
		}
	}
}
