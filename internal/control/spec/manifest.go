package spec

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"time"
)

// Consistency is the consistency that the reads of a database get.
type Consistency string

// The consistencies of reads.
const (
	// StrongConsistency reads see every acknowledged write.
	StrongConsistency Consistency = "all"
	// ReadYourWrites reads see the session's own writes, and others up to the age allowed.
	ReadYourWrites Consistency = "own"
	// BoundedStaleness reads see all writes up to the age allowed.
	BoundedStaleness Consistency = "aged"
)

// Manifest is a whole declaration of databases and groups by an operator. The one with the
// highest number is in force.
type Manifest struct {
	// Number is the operator's own; it only rises.
	Number    uint64          `json:"number"`
	Databases []Database      `json:"databases"`
	Groups    []ManifestGroup `json:"groups"`
	// TransactionIdleTimeout is how long a transaction may rest; zero sets no bound.
	TransactionIdleTimeout time.Duration `json:"idle"`
}

// Database is a name that callers connect to.
type Database struct {
	Name string `json:"name"`
	// Path tells databases of one name apart.
	Path        string      `json:"path"`
	Group       string      `json:"group"`
	Consistency Consistency `json:"reads"`
	// MaxStaleness is the age that reads may have.
	MaxStaleness time.Duration `json:"age"`
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration `json:"timeout"`
	// TargetLatency is the response time of an operation that callers are to get.
	TargetLatency time.Duration `json:"goal"`
	// Priority is the urgency; zero is the most urgent.
	Priority int `json:"rank"`
}

// ManifestGroup is a database group whose instances announce themselves and whose primary is
// replaced by a call to the platform.
type ManifestGroup struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that an instance accepts from all hosts.
	MaxConnections int `json:"connections"`
	// SyncReplicas is the number of replicas that must have received a write before the primary
	// acknowledges it.
	SyncReplicas int `json:"copies"`
}

// Validate returns the mistakes of a manifest.
func (m Manifest) Validate() []FieldError {
	var fieldErrors []FieldError
	groups := map[string]bool{}
	for i, g := range m.Groups {
		if g.Name == "" || groups[g.Name] {
			fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("groups[%d].name", i), fmt.Sprintf("%q is empty or stands twice", g.Name)})
		}
		groups[g.Name] = true
	}
	type databaseKey struct{ name, path string }
	seen := map[databaseKey]bool{}
	for i, d := range m.Databases {
		field := fmt.Sprintf("databases[%d].", i)
		key := databaseKey{d.Name, d.Path}
		if d.Name == "" || seen[key] {
			fieldErrors = append(fieldErrors, FieldError{field + "name", fmt.Sprintf("%q with path %q is empty or stands twice", d.Name, d.Path)})
		}
		seen[key] = true
		if !groups[d.Group] {
			fieldErrors = append(fieldErrors, FieldError{field + "group", fmt.Sprintf("group %q is not declared", d.Group)})
		}
		if d.StatementTimeout <= 0 {
			fieldErrors = append(fieldErrors, FieldError{field + "timeout", "must be more than zero"})
		}
		if d.MaxStaleness < 0 {
			fieldErrors = append(fieldErrors, FieldError{field + "age", "must not be negative"})
		}
		if d.Consistency != StrongConsistency && d.Consistency != ReadYourWrites && d.Consistency != BoundedStaleness {
			fieldErrors = append(fieldErrors, FieldError{field + "reads", fmt.Sprintf("%q is not known", d.Consistency)})
		}
	}
	return fieldErrors
}

// Encode returns the manifest as it stands in the log. It is compressed: it goes to each host
// over links of a few megabits, and its entries are much alike.
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
		panic("manifest does not encode: " + err.Error())
	}
	return b.Bytes()
}

// DecodeManifest decodes a manifest that Encode wrote.
func DecodeManifest(b []byte) (Manifest, error) {
	var m Manifest
	r := flate.NewReader(bytes.NewReader(b))
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		return Manifest{}, fmt.Errorf("decode manifest: %w", err)
	}
	return m, r.Close()
}
