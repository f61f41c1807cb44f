// Package conf provides the settings of one host: JSON with comments, decoded once into
// one type and checked as a whole.
package conf

import (
	"time"
)

// Role is what a host does.
type Role string

// The roles of a host.
const (
	// RoleControl hosts keep the replicated log. They need a disk.
	RoleControl Role = "control"
	// RoleEntry hosts accept callers.
	RoleEntry Role = "entry"
)

// Duration is a duration written as a string with its unit, such as "300ms".
type Duration time.Duration

// Peer is a control host as the settings name it.
type Peer struct {
	Host     string `json:"host" validate:"required,hostname_rfc1123"`
	LinkAddr string `json:"link" validate:"required,hostport"`
}

// Config is the settings of one host. The zero value of an optional field takes its default.
type Config struct {
	// Host is the name of this host, unique in the deployment.
	Host string `json:"host" validate:"required,hostname_rfc1123"`
	// DataCentre is the data centre that this host stands in.
	DataCentre string `json:"center" validate:"required"`
	// Roles are the roles of this host.
	Roles []Role `json:"roles" validate:"required,min=1,unique,dive,oneof=control entry"`
	// DataDir is the folder for all files of this host; control hosts need it.
	DataDir string `json:"data"`
	// CallerAddr is the address that accepts callers; entry hosts need it.
	CallerAddr string `json:"caller" validate:"omitempty,hostport"`
	// APIAddr is the address of the resource API, the metrics and the health checks.
	APIAddr string `json:"api" validate:"required,hostport"`
	// LinkAddr is the address that other hosts connect to.
	LinkAddr string `json:"link" validate:"required,hostport"`
	// ControlPeers names the first control hosts; later changes of membership stand in the log.
	ControlPeers []Peer `json:"control" validate:"required,min=1,unique=Host,dive"`
	// TokenFile is a file with the token that operators present; empty leaves the API open.
	TokenFile string `json:"token"`
	// LeaseDuration is how long a lease lets a host serve.
	LeaseDuration Duration `json:"lease" validate:"span=500ms:1m"`
	// RenewInterval is the interval between renewals of a lease.
	RenewInterval Duration `json:"renew" validate:"span=20ms:10s"`
	// HeartbeatInterval is the interval of heartbeats between control hosts.
	HeartbeatInterval Duration `json:"beat" validate:"span=10ms:5s"`
	// ElectionTimeout is the least silence of a leader before an election.
	ElectionTimeout Duration `json:"election" validate:"span=50ms:30s"`
	// PrimaryTimeout is how long a primary must be silent before it counts as failed.
	PrimaryTimeout Duration `json:"silence" validate:"span=200ms:1m"`
	// StatementTimeout bounds a statement, the wait for a failover included.
	StatementTimeout Duration `json:"timeout" validate:"span=100ms:1h"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drain" validate:"span=100ms:1h"`
	// LogLevel is the least level that is logged.
	LogLevel string `json:"level" validate:"oneof=debug info warn error"`
}

// Default returns the settings that hold where a file says nothing.
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

// Std returns the span as a time.Duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// String returns the span with its unit.
func (s Duration) String() string { return time.Duration(s).String() }

// MarshalText writes the span with its unit.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// CommentedDefaults is a settings file with every field and its default, for --print-defaults.
const CommentedDefaults = `{
  // The name of this host, unique in the deployment.
  "host": "kingston-1",
  // The data centre that this host stands in.
  "center": "kingston",
  // "control" keeps the replicated log and needs "data"; "entry" accepts callers.
  "roles": ["control", "entry"],
  // The folder for all files of this host.
  "data": "/var/lib/agatespindle",
  // Where callers connect (PostgreSQL protocol).
  "caller": "127.0.0.1:6432",
  // Where the resource API, /metrics, /healthz and /readyz answer.
  "api": "127.0.0.1:6480",
  // Where other hosts connect.
  "link": "127.0.0.1:6490",
  // The first control hosts: three or five. Later changes go through the log.
  "control": [
    {"host": "kingston-1", "link": "127.0.0.1:6490"},
  ],
  // A file with the operators' token; without one the API is open.
  "token": "",
  // How long a lease lets a host serve, and how often it is renewed.
  "lease": "2s",
  "renew": "300ms",
  // Heartbeats between control hosts, and the least silence before an election.
  "beat": "50ms",
  "election": "300ms",
  // How long a primary must be silent before it counts as failed.
  "silence": "700ms",
  // The bound of a statement, the wait for a failover included.
  "timeout": "5s",
  // The bound of a graceful shutdown.
  "drain": "30s",
  // The least level that is logged: debug, info, warn or error.
  "level": "info",
}
`
