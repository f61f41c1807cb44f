// Package conf provides the settings of one host. The settings file is JSON with comments. It is
// decoded into Config and checked as a whole, so that all mistakes are reported at once.
package conf

import (
	"time"
)

// Role is a role of a host in the deployment. A host may have several.
type Role string

// The roles of a host.
const (
	// RoleControl is the role of hosts that keep the replicated log. They need a disk.
	RoleControl Role = "control"
	// RoleEntry is the role of hosts that accept callers.
	RoleEntry Role = "entry"
)

// Duration is a time.Duration that is written in settings as a string with a unit, such as "300ms".
type Duration time.Duration

// Peer is a control host in the settings.
type Peer struct {
	// Host is the name of the control host.
	Host string `json:"host" validate:"required,hostname_rfc1123"`
	// LinkAddr is the address (host:port) on which other hosts connect to it.
	LinkAddr string `json:"link" validate:"required,hostport"`
}

// Config is the settings of one host. Default gives the values of settings that a file leaves out.
type Config struct {
	// Host is the name of this host, unique in the deployment.
	Host string `json:"host" validate:"required,hostname_rfc1123"`
	// DataCentre is the data centre of this host.
	DataCentre string `json:"center" validate:"required"`
	// Roles are the roles of this host.
	Roles []Role `json:"roles" validate:"required,min=1,unique,dive,oneof=control entry"`
	// DataDir is the directory for all files of this host; control hosts need it.
	DataDir string `json:"data"`
	// CallerAddr is the address on which callers connect; entry hosts need it.
	CallerAddr string `json:"caller" validate:"omitempty,hostport"`
	// APIAddr is the address of the resource API, the metrics and the health checks.
	APIAddr string `json:"api" validate:"required,hostport"`
	// LinkAddr is the address on which other hosts connect.
	LinkAddr string `json:"link" validate:"required,hostport"`
	// ControlPeers are the initial control hosts; later membership changes go through the replicated log.
	ControlPeers []Peer `json:"control" validate:"required,min=1,unique=Host,dive"`
	// TokenFile is a file with the token that operators present; if empty, the API needs no token.
	TokenFile string `json:"token"`
	// LeaseDuration is how long a host may serve after a lease renewal.
	LeaseDuration Duration `json:"lease" validate:"span=500ms:1m"`
	// RenewInterval is the interval between renewals of a lease.
	RenewInterval Duration `json:"renew" validate:"span=20ms:10s"`
	// HeartbeatInterval is the interval of heartbeats between control hosts.
	HeartbeatInterval Duration `json:"beat" validate:"span=10ms:5s"`
	// ElectionTimeout is the minimum time without a heartbeat before an election starts.
	ElectionTimeout Duration `json:"election" validate:"span=50ms:30s"`
	// PrimaryTimeout is how long a primary may leave requests unanswered before it counts as failed.
	PrimaryTimeout Duration `json:"silence" validate:"span=200ms:1m"`
	// StatementTimeout bounds a statement, including the wait for a failover.
	StatementTimeout Duration `json:"timeout" validate:"span=100ms:1h"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain" validate:"span=100ms:1h"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the default settings. Settings without a default are zero.
func Default() Config {
	return Config{
		LeaseDuration:     Duration(2 * time.Second),
		RenewInterval:     Duration(300 * time.Millisecond),
		HeartbeatInterval: Duration(50 * time.Millisecond),
		ElectionTimeout:   Duration(300 * time.Millisecond),
		PrimaryTimeout:    Duration(700 * time.Millisecond),
		StatementTimeout:  Duration(5 * time.Second),
		DrainTimeout:      Duration(30 * time.Second),
		LogLevel:          "info",
	}
}

// HasRole reports whether the host has the role r.
func (c Config) HasRole(r Role) bool {
	for _, have := range c.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration with its unit, such as "300ms".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler. The text is that of String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// CommentedDefaults is the settings file that --print-defaults prints: every field with a comment and
// its default or an example value.
const CommentedDefaults = `{
  // The name of this host, unique in the deployment.
  "host": "kingston-1",
  // The data centre of this host.
  "center": "kingston",
  // Roles: "control" keeps the replicated log and needs "data"; "entry" accepts callers.
  "roles": ["control", "entry"],
  // The directory for all files of this host.
  "data": "/var/lib/agatespindle",
  // The address on which callers connect (PostgreSQL protocol).
  "caller": "127.0.0.1:6432",
  // The address of the resource API, /metrics, /healthz and /readyz.
  "api": "127.0.0.1:6480",
  // The address on which other hosts connect.
  "link": "127.0.0.1:6490",
  // The initial control hosts: three or five. Later changes go through the replicated log.
  "control": [
    {"host": "kingston-1", "link": "127.0.0.1:6490"},
  ],
  // A file with the operators' token; if empty, the API needs no token.
  "token": "",
  // How long a host may serve after a lease renewal, and the interval between renewals.
  "lease": "2s",
  "renew": "300ms",
  // The heartbeat interval between control hosts, and the minimum time without one before an election.
  "beat": "50ms",
  "election": "300ms",
  // How long a primary may leave requests unanswered before it counts as failed.
  "silence": "700ms",
  // The time limit of a statement, including the wait for a failover.
  "timeout": "5s",
  // The time limit of a graceful shutdown.
  "drain": "30s",
  // The lowest level that is logged: debug, info, warn or error.
  "level": "info",
}
`
