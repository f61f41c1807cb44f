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

// dialLimit bounds the opening of a connection to a backend server.
const dialLimit = time.Second

// silenceLimit ends a watch that has brought nothing.
const silenceLimit = 30 * time.Second

// Postgres returns a server that speaks the PostgreSQL protocol at addr.
func Postgres(addr, user, database string) Server {
	return PostgresOver(addr, user, database, dialTCP)
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialLimit}
	return d.DialContext(ctx, "tcp", addr)
}

// PostgresOver returns a server as Postgres does, with connections that dial opens.
func PostgresOver(addr, user, database string, dial Dial) Server {
	p := &pgServer{addr: addr, user: user, database: database, dial: dial}
	return Server{
		Status: func(ctx context.Context) (Status, error) { return p.order(ctx, "STATUS") },
		Watch:  p.watch,
		Fence: func(ctx context.Context, term uint64) (Status, error) {
			return p.order(ctx, fmt.Sprintf("FENCE %d", term))
		},
		Promote: p.promote,
		Follow:  p.follow,
		Connect: func(ctx context.Context) (Link, error) { return p.open(ctx, p.database) },
	}
}

type pgServer struct {
	addr     string
	user     string
	database string
	dial     Dial
}

func (p *pgServer) promote(ctx context.Context, term, start uint64) (Status, error) {
	return p.order(ctx, fmt.Sprintf("PROMOTE %d %d", term, start))
}

func (p *pgServer) follow(ctx context.Context, f Following) (Status, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return Status{}, err
	}
	return p.order(ctx, "FOLLOW "+string(b))
}

// order sends one command on a connection of its own and reads the status that answers it.
func (p *pgServer) order(ctx context.Context, text string) (Status, error) {
	var last Status
	seen := false
	err := p.query(ctx, text, func(s Status) bool {
		last = s
		seen = true
		return false
	})
	if err == nil && !seen {
		err = fmt.Errorf("backend server %s gave no status", p.addr)
	}
	return last, err
}

func (p *pgServer) watch(ctx context.Context, seen func(Status)) error {
	return p.query(ctx, "WATCH", func(s Status) bool {
		seen(s)
		return true
	})
}

// query sends a command and passes each status on until take returns false or the answer ends.
func (p *pgServer) query(ctx context.Context, text string, take func(Status) bool) error {
	conn, err := p.open(ctx, AdminDatabase)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	front := pgproto3.NewFrontend(conn, conn)
	front.Send(&pgproto3.Query{String: text})
	if err := front.Flush(); err != nil {
		return err
	}
	var s Status
	for {
		conn.SetReadDeadline(time.Now().Add(silenceLimit))
		m, err := front.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if err := s.update(m.Values); err != nil {
				return err
			}
			if !take(s) {
				return nil
			}
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("backend server %s: %s (%s)", p.addr, m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// update takes in a row of a status; an empty row tells that nothing has changed.
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

// open connects and goes through the startup of the protocol.
func (p *pgServer) open(ctx context.Context, database string) (Link, error) {
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		return Link{}, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	key, err := p.startup(conn, database)
	if err != nil {
		conn.Close()
		return Link{}, err
	}
	cancel := func(ctx context.Context) error { return p.cancel(ctx, key) }
	return Link{Conn: conn, Cancel: cancel}, nil
}

// cancel sends a cancel request on a connection of its own, as the protocol asks.
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

func (p *pgServer) startup(conn net.Conn, database string) (pgproto3.BackendKeyData, error) {
	var key pgproto3.BackendKeyData
	conn.SetDeadline(time.Now().Add(dialLimit))
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
				return key, errors.New("backend server sent an error that does not decode")
			}
			return key, fmt.Errorf("backend server %s: %s (%s)", p.addr, e.Message, e.Code)
		}
	}
}
