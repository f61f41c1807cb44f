package holder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/backend/stand"
	"github.com/agatespindle/agatespindle/internal/base/conf"
	"github.com/agatespindle/agatespindle/internal/tools/host"
)

const (
	groupName = "parts"
	// startTimeout limits the start of a deployment, and waitTimeout every other wait.
	startTimeout = time.Minute
	waitTimeout  = 20 * time.Second
	// settleTime is longer than bytes need to arrive on the loopback interface.
	settleTime = 100 * time.Millisecond
)

// meddler decides what of an answer the proxy receives. It is called with the requests since the last
// answer and writes to w; nothing else is sent.
type meddler func(w net.Conn, request string, answer []byte)

// deployment is a host and a backend server in one process, with a relay between them.
type deployment struct {
	t    *testing.T
	host *host.Host

	mu     sync.Mutex
	meddle meddler
	// wrap, if set, returns the proxy's end of new connections in place of the given one.
	wrap func(net.Conn) net.Conn
	// cancelDelay is how long cancel requests are under way to the backend server.
	cancelDelay time.Duration
}

// startDeployment starts a deployment and waits until callers are served.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t}
	cfg := conf.Default()
	cfg.Host, cfg.DataCentre, cfg.Roles = "host-1", "kingston", []conf.Role{conf.RoleControl, conf.RoleEntry}
	cfg.LinkAddr, cfg.APIAddr, cfg.CallerAddr = freeAddr(t), freeAddr(t), freeAddr(t)
	cfg.DataDir = filepath.Join(t.TempDir(), "host")
	cfg.ControlPeers = []conf.Peer{{Host: cfg.Host, LinkAddr: cfg.LinkAddr}}
	h, err := host.New(host.Options{Config: cfg, Log: io.Discard, Server: d.server})
	if err != nil {
		t.Fatal(err)
	}
	d.host = h
	d.runUntilCleanup(func(ctx context.Context) <-chan error {
		done := make(chan error, 1)
		go func() {
			err := h.Run(ctx)
			if err != nil {
				t.Logf("host ended: %v", err)
			}
			done <- err
		}()
		return done
	})
	d.startServer()
	d.put("groups/"+groupName, `{"spec":{"size":1,"acks":1,"slots":16,"connections":1}}`)
	d.put("services/"+groupName, `{"spec":{"groups":["`+groupName+`"]}}`)
	d.eventually(func() error {
		conn, err := d.connect()
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		_, err = conn.Exec(context.Background(), "SELECT 1").ReadAll()
		return err
	})
	return d
}

func (d *deployment) runUntilCleanup(run func(context.Context) <-chan error) {
	ctx, stop := context.WithCancel(context.Background())
	done := run(ctx)
	d.t.Cleanup(func() {
		stop()
		select {
		case <-done:
		case <-time.After(waitTimeout):
			d.t.Error("a part of the deployment did not stop")
		}
	})
}

// Test ports lie below the system's ephemeral port range: an outgoing connection could take a port between its
// choice and the start of the host.
const (
	firstPort = 20000
	portCount = 12000
)

// portOffset is the offset from firstPort of the port tried last. It starts at a value that depends on the process
// id, so that concurrent test processes try different ports.
var portOffset = os.Getpid() * 64 % portCount

// freeAddr returns a loopback address with a TCP port that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		portOffset = (portOffset + 1) % portCount
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	t.Fatal("no free TCP port in the test range")
	return ""
}

func (d *deployment) startServer() {
	d.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	in, err := stand.New(stand.Config{
		Name: groupName + "-a", Group: groupName, Center: "kingston", Listener: ln, Dir: filepath.Join(d.t.TempDir(), "server"),
		Hosts: []string{d.host.Config.APIAddr}, Slots: 16, MaxConnections: 32,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.runUntilCleanup(in.Run)
}

func (d *deployment) put(path, body string) {
	d.t.Helper()
	d.eventually(func() error {
		req, err := http.NewRequestWithContext(d.t.Context(), http.MethodPut, "http://"+d.host.Config.APIAddr+"/v1/"+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("put %s: status %d", path, resp.StatusCode)
		}
		return nil
	})
}

// eventually polls check until it returns nil, and fails the test after startTimeout.
func (d *deployment) eventually(check func() error) {
	d.t.Helper()
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("not within %s: %v", startTimeout, err)
		}
	}
}

func (d *deployment) connect() (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://tester@%s/%s?sslmode=disable", d.host.Config.CallerAddr, groupName))
}

// onAnswer sets the meddler of all later answers.
func (d *deployment) onAnswer(m meddler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meddle = m
}

// server returns the adapter of a backend server behind the relay.
func (d *deployment) server(addr, group string) adapt.Server {
	s := adapt.Postgres(addr, host.ProxyUser, group)
	connect := s.Connect
	s.Connect = func(ctx context.Context) (adapt.ServerConn, error) {
		c, err := connect(ctx)
		if err != nil {
			return c, err
		}
		cancel := c.Cancel
		c.Cancel = func(ctx context.Context) error {
			d.mu.Lock()
			delay := d.cancelDelay
			d.mu.Unlock()
			time.Sleep(delay)
			return cancel(ctx)
		}
		c.Conn, err = d.relay(c.Conn)
		return c, err
	}
	return s
}

// relay returns the proxy's end of a connection whose messages are relayed to and from the backend server.
func (d *deployment) relay(server net.Conn) (net.Conn, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, err
	}
	proxy, err := ln.Accept()
	if err != nil {
		return nil, err
	}
	r := &relayed{d: d, proxy: proxy, server: server}
	go r.requests()
	go r.answers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wrap != nil {
		client = d.wrap(client)
	}
	return client, nil
}

// relayed is one relayed connection.
type relayed struct {
	d             *deployment
	proxy, server net.Conn

	mu      sync.Mutex
	request []byte
	// flush is set if the last message was Flush: its answer has no end that the relay knows.
	flush bool
}

func (r *relayed) requests() {
	defer r.server.Close()
	for {
		kind, body, err := adapt.ReadMessage(r.proxy)
		if err != nil {
			return
		}
		m := adapt.AppendMessage(nil, kind, body)
		r.mu.Lock()
		r.request, r.flush = append(r.request, m...), kind == 'H'
		r.mu.Unlock()
		if _, err := r.server.Write(m); err != nil {
			return
		}
	}
}

func (r *relayed) answers() {
	defer r.proxy.Close()
	var answer []byte
	for {
		kind, body, err := adapt.ReadMessage(r.server)
		if err != nil {
			return
		}
		answer = adapt.AppendMessage(answer, kind, body)
		r.mu.Lock()
		request, flush := string(r.request), r.flush
		if kind == 'Z' {
			r.request = nil
		}
		r.mu.Unlock()
		if kind != 'Z' && !flush {
			continue
		}
		r.d.mu.Lock()
		meddle := r.d.meddle
		r.d.mu.Unlock()
		if meddle != nil {
			meddle(r.proxy, request, answer)
		} else if _, err := r.proxy.Write(answer); err != nil {
			return
		}
		answer = nil
	}
}

// session is a caller's connection.
type session struct {
	conn net.Conn
	f    *pgproto3.Frontend
	key  pgproto3.BackendKeyData
}

// open starts a session that lasts until the end of the test.
func (d *deployment) open() *session { return d.openAs("tester") }

// openAs is open for a caller of another name.
func (d *deployment) openAs(user string) *session {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.host.Config.CallerAddr)
	So(err, ShouldBeNil)
	d.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	s := &session{conn: conn, f: pgproto3.NewFrontend(conn, conn)}
	So(s.run(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": user, "database": groupName}}).err, ShouldBeNil)
	return s
}

// answer is what a caller has received for a request.
type answer struct {
	rows     []string
	tags     []string
	verdict  string
	sqlState string
	status   string
	err      error
}

// run sends messages and reads the answer up to ReadyForQuery or, after a Flush, up to the last message that
// answers one of them.
func (s *session) run(messages ...pgproto3.FrontendMessage) answer {
	left := -1
	if _, ok := messages[len(messages)-1].(*pgproto3.Flush); ok {
		left = len(messages) - 1
	}
	for _, m := range messages {
		s.f.Send(m)
	}
	if err := s.f.Flush(); err != nil {
		return answer{err: err}
	}
	return s.receive(left)
}

// receive reads the answer to messages that were sent, up to ReadyForQuery or until left of them are answered.
func (s *session) receive(left int) answer {
	var a answer
	for left != 0 {
		m, err := s.f.Receive()
		if err != nil {
			a.err = err
			return a
		}
		switch m := m.(type) {
		case *pgproto3.BackendKeyData:
			s.key = pgproto3.BackendKeyData{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
		case *pgproto3.DataRow:
			for _, v := range m.Values {
				a.rows = append(a.rows, string(v))
			}
		case *pgproto3.CommandComplete:
			a.tags = append(a.tags, string(m.CommandTag))
			left--
		case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.EmptyQueryResponse, *pgproto3.NoData, *pgproto3.PortalSuspended:
			left--
		case *pgproto3.ErrorResponse:
			a.sqlState, a.verdict = m.Code, verdict(pgconn.ErrorResponseToPgError(m))
			if left > 0 {
				return a
			}
		case *pgproto3.ReadyForQuery:
			a.status = string(m.TxStatus)
			return a
		}
	}
	return a
}

// exec runs SQL text by the simple query protocol.
func (s *session) exec(sql string) answer { return s.run(&pgproto3.Query{String: sql}) }

// verdict returns the verdict in an error's detail.
func verdict(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return ""
	}
	_, rest, _ := strings.Cut(e.Detail, "verdict=")
	word, _, _ := strings.Cut(rest, " ")
	return word
}
