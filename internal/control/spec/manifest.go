package spec

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"time"
)

// Consistency is the consistency guarantee of a database's reads.
type Consistency string

// The consistency guarantees.
const (
	// StrongConsistency: a read sees every acknowledged write.
	StrongConsistency Consistency = "all"
	// ReadYourWrites: a read sees all writes of its own session, and other sessions' writes
	// that are older than the maximum staleness.
	ReadYourWrites Consistency = "own"
	// BoundedStaleness: a read sees all writes that are older than the maximum staleness.
	BoundedStaleness Consistency = "aged"
)

// Manifest is an operator's complete declaration of databases and groups. The manifest with
// the highest number is in force.
type Manifest struct {
	// Number is the version number that the operator assigns; it must increase.
	Number    uint64          `json:"number"`
	Databases []Database      `json:"databases"`
	Groups    []ManifestGroup `json:"groups"`
	// TransactionIdleTimeout is how long a transaction may stay idle; zero means no limit.
	TransactionIdleTimeout time.Duration `json:"idle"`
	// Accounts are the client accounts.
	Accounts []Account `json:"accounts,omitempty"`
	// Keyed is set if callers need a key although there may be no account, as when the last one was removed.
	Keyed bool `json:"keyed,omitempty"`
}

// Database is a database that callers connect to by name.
type Database struct {
	Name string `json:"name"`
	// Path distinguishes databases with the same name.
	Path string `json:"path"`
	// Group is the name of the group that serves the database.
	Group       string      `json:"group"`
	Consistency Consistency `json:"reads"`
	// MaxStaleness is the maximum staleness of reads, for ReadYourWrites and BoundedStaleness.
	MaxStaleness time.Duration `json:"age"`
	// StatementTimeout limits the time of one statement; it must be greater than zero.
	StatementTimeout time.Duration `json:"timeout"`
	// TargetLatency is the response time of one operation to aim for.
	TargetLatency time.Duration `json:"goal"`
	// Priority orders databases under load; zero is the most urgent.
	Priority int `json:"rank"`
	// Public is set for a database that callers may use without a key.
	Public bool `json:"public,omitempty"`
}

// ManifestGroup is a database group as a manifest declares it. Its instances announce
// themselves, and a failover calls the platform to promote a replica.
type ManifestGroup struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one instance accepts from all hosts
	// together.
	MaxConnections int `json:"connections"`
	// SyncReplicas is the number of replicas that must receive a write before the primary
	// acknowledges it.
	SyncReplicas int `json:"copies"`
}

// NeedsKeys reports whether callers need the key of an account for databases that are not public.
func (m Manifest) NeedsKeys() bool { return m.Keyed || len(m.Accounts) > 0 }

// Validate returns all errors in a manifest, or none if it is valid.
func (m Manifest) Validate() []FieldError {
	var fieldErrors []FieldError
	groups := map[string]bool{}
	for i, g := range m.Groups {
		if g.Name == "" || groups[g.Name] {
			fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("groups[%d].name", i), fmt.Sprintf("%q is empty or a duplicate", g.Name)})
		}
		groups[g.Name] = true
	}
	type databaseKey struct{ name, path string }
	seen := map[databaseKey]bool{}
	for i, d := range m.Databases {
		field := fmt.Sprintf("databases[%d].", i)
		key := databaseKey{d.Name, d.Path}
		if d.Name == "" || seen[key] {
			fieldErrors = append(fieldErrors, FieldError{field + "name", fmt.Sprintf("%q with path %q is empty or a duplicate", d.Name, d.Path)})
		}
		seen[key] = true
		if !groups[d.Group] {
			fieldErrors = append(fieldErrors, FieldError{field + "group", fmt.Sprintf("group %q is not declared", d.Group)})
		}
		if d.StatementTimeout <= 0 {
			fieldErrors = append(fieldErrors, FieldError{field + "timeout", "must be greater than zero"})
		}
		if d.MaxStaleness < 0 {
			fieldErrors = append(fieldErrors, FieldError{field + "age", "must not be negative"})
		}
		if d.Consistency != StrongConsistency && d.Consistency != ReadYourWrites && d.Consistency != BoundedStaleness {
			fieldErrors = append(fieldErrors, FieldError{field + "reads", fmt.Sprintf("unknown consistency %q", d.Consistency)})
		}
	}
	return append(fieldErrors, validateAccounts(m.Accounts)...)
}

// Encode returns the manifest as it is stored in the log: JSON compressed with DEFLATE. It is
// compressed because every host receives it, over links of a few Mbit/s, and its entries are
// very similar.
func (m Manifest) Encode() []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		err = json.NewEncoder(w).Encode(m)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("encode manifest: " + err.Error())
	}
	return b.Bytes()
}

// DecodeManifest decodes a manifest written by Encode.
func DecodeManifest(b []byte) (Manifest, error) {
	var m Manifest
	r := flate.NewReader(bytes.NewReader(b))
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		return Manifest{}, fmt.Errorf("decode manifest: %w", err)
	}
	return m, r.Close()
}
