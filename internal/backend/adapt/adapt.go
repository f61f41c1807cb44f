// Package adapt provides what the proxy asks of a backend server, as one interface of
// function fields: another kind of database group is one more constructor.
package adapt

import (
	"context"
	"net"
)

// Status is what a backend server says of itself.
type Status struct {
	// Name is the instance, unique in the deployment.
	Name string `json:"name"`
	// Group is the database group that it belongs to.
	Group string `json:"group"`
	// Disk is the identity of its disk, made with the log's folder. With another disk the
	// instance has lost what it confirmed before.
	Disk string `json:"disk"`
	// Term is the highest term that it has accepted; it refuses orders of lower ones.
	Term uint64 `json:"term"`
	// Last is the term of its last log entry.
	Last uint64 `json:"last"`
	// Position is the position of its last log entry.
	Position uint64 `json:"position"`
	// Primary is set while it takes writes in Term.
	Primary bool `json:"primary"`
	// Following is set while it follows the primary of Term; its log holds no entry then
	// that the primary's does not.
	Following bool `json:"following"`
}

// Fork is the position from which a term starts.
type Fork struct {
	Term     uint64 `json:"term"`
	Position uint64 `json:"position"`
}

// Following is the order to follow a primary.
type Following struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	Addr    string `json:"addr"`
	// Forks are the starts of terms; the log is cut to them before anything is reported.
	Forks []Fork `json:"forks"`
}

// Server is a backend server as the proxy uses it. Each field is safe for concurrent use.
// All calls return an error when the server does not answer within the context.
type Server struct {
	// Status asks for the status.
	Status func(ctx context.Context) (Status, error)
	// Watch calls seen with each change of the status, and ten times a second without one,
	// until the context or the connection ends. It returns why.
	Watch func(ctx context.Context, seen func(Status)) error
	// Fence makes the server accept a term: it takes no write of a lower one from then on.
	Fence func(ctx context.Context, term uint64) (Status, error)
	// Promote makes the server the primary of a term if its log ends at start or, when the
	// order is repeated, if it is that primary already.
	Promote func(ctx context.Context, term, start uint64) (Status, error)
	// Follow makes the server cut its log to the forks and follow the primary.
	Follow func(ctx context.Context, f Following) (Status, error)
	// Connect opens a connection that is ready for a query. It carries PostgreSQL protocol
	// messages; the server reports a commit's position before it reports that it is ready.
	Connect func(ctx context.Context) (Link, error)
}

// Link is a connection to a backend server.
type Link struct {
	net.Conn
	// Cancel asks the server to cancel what runs on the connection; it may come too late.
	Cancel func(ctx context.Context) error
}

// Names of the published protocol between the proxy and backend servers.
const (
	// AdminDatabase is the database name that takes orders instead of statements.
	AdminDatabase = "agatespindle_admin"
	// PositionParameter is reported after a commit; its value is "term/position".
	PositionParameter = "agatespindle.position"
)

// Announcement is what a backend server sends to any host of the system, as JSON in a POST
// to AnnouncePath of the resource API, at its start and at intervals.
type Announcement struct {
	Name     string `json:"name"`
	Group    string `json:"group"`
	Addr     string `json:"addr"`
	Center   string `json:"center"`
	Instance string `json:"instance"`
}

// AnnouncePath is the path of the call that announces a backend server.
const AnnouncePath = "/v1/announce"
