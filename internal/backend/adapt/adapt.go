// Package adapt is the proxy's client for backend servers. Server is a struct of function
// fields, so that another kind of database is supported by adding a constructor.
package adapt

import (
	"context"
	"net"
)

// Status is the state that a backend server reports.
type Status struct {
	// Name is the name of the instance, unique in the deployment.
	Name string `json:"name"`
	// Group is the name of the database group that the instance belongs to.
	Group string `json:"group"`
	// Disk identifies the data directory; it is generated together with the directory. If it
	// changes, the instance has lost the entries that it acknowledged before.
	Disk string `json:"disk"`
	// Term is the highest term that the instance has accepted. It rejects commands with a
	// lower term.
	Term uint64 `json:"term"`
	// LastTerm is the term of the last log entry, 0 for an empty log.
	LastTerm uint64 `json:"last"`
	// Position is the position of the last log entry, 0 for an empty log.
	Position uint64 `json:"position"`
	// Primary is true while the instance accepts writes in Term.
	Primary bool `json:"primary"`
	// Following is true while the instance replicates from the primary of Term. Its log is
	// then a prefix of the primary's log.
	Following bool `json:"following"`
}

// TermStart is the log position at which a term starts: the last position kept from earlier terms.
type TermStart struct {
	Term     uint64 `json:"term"`
	Position uint64 `json:"position"`
}

// FollowRequest tells an instance to replicate from a primary.
type FollowRequest struct {
	Term uint64 `json:"term"`
	// Primary is the name of the primary and Addr the host:port on which it accepts connections.
	Primary string `json:"primary"`
	Addr    string `json:"addr"`
	// Forks are the starts of the terms. Before it reports a status, the instance drops log entries
	// of earlier terms that lie after such a start.
	Forks []TermStart `json:"forks"`
}

// Server is the set of calls that the proxy makes to a backend server. Each function is safe
// for concurrent use and returns an error if the server does not answer before the context ends.
type Server struct {
	// Status requests the current status.
	Status func(ctx context.Context) (Status, error)
	// Watch calls handle on each change of the status, and every 100 ms while there is none,
	// until the context or the connection ends. It returns the reason as an error.
	Watch func(ctx context.Context, handle func(Status)) error
	// Fence makes the server accept a term. From then on it rejects writes of lower terms.
	Fence func(ctx context.Context, term uint64) (Status, error)
	// Promote makes the server the primary of a term. It fails unless the log ends at
	// position start or, if the command is repeated, the server is already that primary.
	Promote func(ctx context.Context, term, start uint64) (Status, error)
	// Follow makes the server truncate its log to f.Forks and replicate from the primary.
	Follow func(ctx context.Context, f FollowRequest) (Status, error)
	// Connect opens a connection that is ready for a query and carries PostgreSQL protocol
	// messages. After a commit the server sends PositionParameter before ReadyForQuery.
	Connect func(ctx context.Context) (ServerConn, error)
}

// ServerConn is a connection to a backend server.
type ServerConn struct {
	net.Conn
	// Cancel asks the server to cancel the statement that runs on the connection. The
	// statement may have finished before the request arrives.
	Cancel func(ctx context.Context) error
}

// Names in the protocol between the proxy and backend servers.
const (
	// AdminDatabase is the database whose connections accept admin commands instead of SQL.
	AdminDatabase = "agatespindle_admin"
	// PositionParameter is the ParameterStatus name that is sent after a commit. Its value is
	// "term/position".
	PositionParameter = "agatespindle.position"
)

// Announcement registers a backend server with the proxy. The server sends it to any host as
// JSON in a POST to AnnouncePath of the resource API, at startup and periodically.
type Announcement struct {
	// Name is the name of the instance and Group that of its database group.
	Name  string `json:"name"`
	Group string `json:"group"`
	// Addr is the host:port on which the instance accepts connections.
	Addr string `json:"addr"`
	// Center is the name of the data centre.
	Center string `json:"center"`
	// Incarnation identifies the run of the instance; it changes at each start.
	Incarnation string `json:"instance"`
}

// AnnouncePath is the resource API path to which an Announcement is posted.
const AnnouncePath = "/v1/announce"
