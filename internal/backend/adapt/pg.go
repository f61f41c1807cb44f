package adapt

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// dialTimeout limits the TCP connect and, separately, the protocol startup of a connection to
// a backend server.
const dialTimeout = time.Second

// statusReadTimeout ends a status stream on which no message has arrived. A watched server
// sends one at least every 100 ms.
const statusReadTimeout = 30 * time.Second

// Postgres returns a client for the backend server that speaks the PostgreSQL protocol at addr.
func Postgres(addr, user, database string) Server {
	return PostgresWithDial(addr, user, database, dialTCP)
}

// DialFunc opens a connection to addr, a host:port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// PostgresWithDial is like Postgres but opens connections with dial.
func PostgresWithDial(addr, user, database string, dial DialFunc) Server {
	p := &pgServer{addr: addr, user: user, database: database, dial: dial}
	return Server{
		Status: func(ctx context.Context) (Status, error) { return p.adminCommand(ctx, "STATUS") },
		Watch:  p.watch,
		Fence: func(ctx context.Context, term uint64) (Status, error) {
			return p.adminCommand(ctx, fmt.Sprintf("FENCE %d", term))
		},
		Promote: p.promote,
		Follow:  p.follow,
		Connect: func(ctx context.Context) (ServerConn, error) { return p.open(ctx, p.database) },
	}
}

// pgServer implements the functions of Server for one address.
type pgServer struct {
	addr     string
	user     string
	database string
	dial     DialFunc
}

func (p *pgServer) promote(ctx context.Context, term, start uint64) (Status, error) {
	return p.adminCommand(ctx, fmt.Sprintf("PROMOTE %d %d", term, start))
}

func (p *pgServer) follow(ctx context.Context, f FollowRequest) (Status, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return Status{}, err
	}
	return p.adminCommand(ctx, "FOLLOW "+string(b))
}

// adminCommand sends one command on a new admin connection and returns the status in the
// response.
func (p *pgServer) adminCommand(ctx context.Context, text string) (Status, error) {
	var status Status
	received := false
	err := p.streamStatus(ctx, text, func(s Status) bool {
		status = s
		received = true
		return false
	})
	if err == nil && !received {
		err = fmt.Errorf("backend server %s returned no status", p.addr)
	}
	return status, err
}

func (p *pgServer) watch(ctx context.Context, handle func(Status)) error {
	return p.streamStatus(ctx, "WATCH", func(s Status) bool {
		handle(s)
		return true
	})
}

// streamStatus sends an admin command and passes each received status to handle until handle
// returns false or the response ends.
func (p *pgServer) streamStatus(ctx context.Context, text string, handle func(Status) bool) error {
	conn, err := p.open(ctx, AdminDatabase)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.Query{String: text})
	if err := frontend.Flush(); err != nil {
		return err
	}
	var s Status
	for {
		conn.SetReadDeadline(time.Now().Add(statusReadTimeout))
		m, err := frontend.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if err := s.update(m.Values); err != nil {
				return err
			}
			if !handle(s) {
				return nil
			}
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("backend server %s: %s (%s)", p.addr, m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// update sets s from a status row. An empty row means that the status has not changed.
func (s *Status) update(values [][]byte) error {
	if len(values) == 0 {
		return nil
	}
	var next Status
	if err := json.Unmarshal(values[0], &next); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	*s = next
	return nil
}

// open connects to the server and performs the protocol startup.
func (p *pgServer) open(ctx context.Context, database string) (ServerConn, error) {
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		return ServerConn{}, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	key, err := p.startup(conn, database)
	if err != nil {
		conn.Close()
		return ServerConn{}, err
	}
	cancel := func(ctx context.Context) error { return p.cancel(ctx, key) }
	return ServerConn{Conn: conn, Cancel: cancel}, nil
}

// cancel sends a cancel request on a new connection, as the protocol requires.
func (p *pgServer) cancel(ctx context.Context, key pgproto3.BackendKeyData) error {
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	m := &pgproto3.CancelRequest{ProcessID: key.ProcessID, SecretKey: key.SecretKey}
	b, err := m.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// startup sends the startup message and returns the cancel key once the server is ready for a
// query. An error response of the server is returned as an error.
func (p *pgServer) startup(conn net.Conn, database string) (pgproto3.BackendKeyData, error) {
	var key pgproto3.BackendKeyData
	conn.SetDeadline(time.Now().Add(dialTimeout))
	defer conn.SetDeadline(time.Time{})
	start := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": p.user, "database": database},
	}
	b, err := start.Encode(nil)
	if err != nil {
		return key, err
	}
	if _, err := conn.Write(b); err != nil {
		return key, err
	}
	for {
		kind, body, err := ReadMessage(conn)
		if err != nil {
			return key, err
		}
		switch kind {
		case 'Z':
			return key, nil
		case 'K':
			if err := key.Decode(body); err != nil {
				return key, err
			}
		case 'E':
			e := &pgproto3.ErrorResponse{}
			if e.Decode(body) != nil {
				return key, errors.New("cannot decode error response of backend server")
			}
			return key, fmt.Errorf("backend server %s: %s (%s)", p.addr, e.Message, e.Code)
		}
	}
}
