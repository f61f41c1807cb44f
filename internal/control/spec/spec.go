// Package spec defines the kinds of resources and the specification of each that operators
// declare.
package spec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Kind is a kind of resource, in the plural form used in API paths.
type Kind string

// The kinds of resources.
const (
	Services Kind = "services"
	Groups   Kind = "groups"
	Callers  Kind = "callers"
	Backends Kind = "backendservers"
	Hosts    Kind = "hosts"
	// Manifests holds the manifest in force, under the name CurrentManifest.
	Manifests Kind = "manifests"
	// ManifestSources holds the manifest's source text as the operator sent it. It is not
	// distributed to the hosts.
	ManifestSources Kind = "sources"
)

// CurrentManifest is the name of the only resource of the kinds Manifests and ManifestSources.
const CurrentManifest = "current"

// Kinds lists the kinds that the resource API serves.
var Kinds = []Kind{Services, Groups, Callers, Backends, Hosts}

// Class is the priority class of a caller's requests; lower values are served first.
type Class uint8

// The priority classes, from the most to the least urgent.
const (
	Urgent Class = iota
	Normal
	Browse
	Report
)

var classNames = []string{"urgent", "normal", "browse", "report"}

// String returns the name of the class as ParseClass accepts it.
func (c Class) String() string { return classNames[min(int(c), len(classNames)-1)] }

// ParseClass returns the class with the given name, or Normal if the name is empty or unknown.
func ParseClass(s string) Class {
	for i, name := range classNames {
		if name == s {
			return Class(i)
		}
	}
	return Normal
}

// Service is a database name that callers connect to.
type Service struct {
	// Groups are the names of the database groups of the service. Callers of a service with
	// several groups connect by the group's name.
	Groups []string `json:"groups" validate:"required,min=1,unique,dive,dnsname"`
}

// Group is a database group: a primary and its replicas.
type Group struct {
	// Size is the number of instances in the group.
	Size int `json:"size" validate:"min=1,max=9"`
	// Acks is the number of instances that must have a write before it is acknowledged.
	Acks int `json:"acks" validate:"min=1,ltefield=Size"`
	// Slots is the number of statements that one instance runs concurrently.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// Connections is the number of connections that one instance accepts.
	Connections int `json:"connections" validate:"min=1,max=100000"`
	// PreferredCenter is the data centre preferred for the primary.
	PreferredCenter string `json:"home,omitempty"`
	// AcceptLossInTerm lets the failover of one term, the sealed term given here, proceed
	// with fewer answers than are safe. The operator accepts that acknowledged writes may be
	// lost.
	AcceptLossInTerm uint64 `json:"accept,omitempty"`
}

// Caller is a client account, identified by the user name that it connects with.
type Caller struct {
	// Class is the priority class: urgent, normal, browse or report.
	Class string `json:"class" validate:"oneof=urgent normal browse report"`
	// Stale is the maximum staleness of reads as a duration such as "5s"; empty allows no
	// staleness.
	Stale string `json:"stale,omitempty" validate:"omitempty,duration"`
	// Connections limits the caller's connections to one entry host; zero means no limit.
	Connections int `json:"connections,omitempty" validate:"min=0"`
	// Rate limits the caller's statements per second on one holder (the host that serves the
	// group); zero means no limit.
	Rate int `json:"rate,omitempty" validate:"min=0"`
}

// MaxStaleness returns the maximum staleness of the caller's reads; zero allows none.
func (c Caller) MaxStaleness() time.Duration {
	d, _ := time.ParseDuration(c.Stale)
	return d
}

// Backend is a backend server. The resource is created when the server announces itself.
type Backend struct {
	// Leaving takes the server out of service: it gets no new work.
	Leaving bool `json:"leaving"`
}

// Host is a proxy host. The resource is created when the host joins.
type Host struct {
	// Leaving takes the host out of service: it serves no groups.
	Leaving bool `json:"leaving"`
}

// FieldError describes an invalid field of a resource.
type FieldError struct {
	// Field is the path of the field, such as "spec.size".
	Field string `json:"field"`
	// Text describes the error.
	Text string `json:"text"`
}

// maxDescribed is the number of errors that Describe lists.
const maxDescribed = 100

// Describe returns the errors as one text. Of more than a hundred it lists only the first ones and says how many
// there are.
func Describe(list []FieldError) string {
	var b strings.Builder
	for i, f := range list {
		if i == maxDescribed {
			fmt.Fprintf(&b, "; and %d more", len(list)-i)
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(f.Field + ": " + f.Text)
	}
	return b.String()
}

// Valid reports whether k is one of Kinds.
func (k Kind) Valid() bool {
	for _, known := range Kinds {
		if known == k {
			return true
		}
	}
	return false
}

// newDefaultSpec returns a pointer to the kind's spec with its default values, or nil if the
// kind has none.
func newDefaultSpec(k Kind) any {
	switch k {
	case Services:
		return &Service{}
	case Groups:
		return &Group{Size: 3, Acks: 2, Slots: 2, Connections: 16}
	case Callers:
		return &Caller{Class: "normal"}
	case Backends:
		return &Backend{}
	case Hosts:
		return &Host{}
	}
	return nil
}

var (
	dnsName         = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	structValidator = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]validator.Func{
		"dnsname":  func(f validator.FieldLevel) bool { return dnsName.MatchString(f.Field().String()) },
		"duration": func(f validator.FieldLevel) bool { return isPositiveDuration(f.Field().String()) },
	}
	for name, rule := range rules {
		if err := v.RegisterValidation(name, rule); err != nil {
			panic(err)
		}
	}
	return v
}

func isPositiveDuration(s string) bool {
	d, err := time.ParseDuration(s)
	return err == nil && d > 0
}

// Validate validates the JSON spec that an operator declares for the resource of the given
// kind and name. It returns the spec as canonical JSON with defaults filled in, and the
// errors found. The JSON is nil if the kind is unknown or the spec does not decode.
func Validate(k Kind, name string, b []byte) ([]byte, []FieldError) {
	if !k.Valid() {
		return nil, []FieldError{{"kind", fmt.Sprintf("unknown kind %q; use one of %v", k, Kinds)}}
	}
	var fieldErrors []FieldError
	if !dnsName.MatchString(name) {
		fieldErrors = append(fieldErrors, FieldError{"name", "must have at most 63 characters from a-z, 0-9, '.', '_' and '-', and start and end with a letter or digit"})
	}
	v := newDefaultSpec(k)
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return nil, append(fieldErrors, FieldError{"spec", err.Error()})
	}
	fieldErrors = append(fieldErrors, validateTags(v)...)
	canonical, err := json.Marshal(v)
	if err != nil {
		return nil, append(fieldErrors, FieldError{"spec", err.Error()})
	}
	return canonical, fieldErrors
}

// validateTags checks the rules in the struct tags of v, a pointer to a spec.
func validateTags(v any) []FieldError {
	invalid, ok := structValidator.Struct(v).(validator.ValidationErrors)
	if !ok {
		return nil
	}
	var fieldErrors []FieldError
	for _, f := range invalid {
		text := fmt.Sprintf("%v violates the rule %s %s", f.Value(), f.Tag(), f.Param())
		fieldErrors = append(fieldErrors, FieldError{"spec." + strings.ToLower(f.Field()), strings.TrimSpace(text)})
	}
	return fieldErrors
}

// DecodeGroup decodes a stored group spec; missing fields get their defaults.
func DecodeGroup(b []byte) Group {
	g := newDefaultSpec(Groups).(*Group)
	decode(b, g)
	return *g
}

// DecodeCaller decodes a stored caller spec; missing fields get their defaults.
func DecodeCaller(b []byte) Caller {
	c := newDefaultSpec(Callers).(*Caller)
	decode(b, c)
	return *c
}

// DecodeService decodes a stored service spec.
func DecodeService(b []byte) Service {
	var s Service
	decode(b, &s)
	return s
}

// Leaving reports whether the stored spec of a backend server or host has Leaving set.
func Leaving(b []byte) bool {
	var s Backend
	decode(b, &s)
	return s.Leaving
}

// decode decodes a spec that Validate accepted, so errors are ignored. An empty spec leaves v
// as it is.
func decode(b []byte, v any) {
	if len(b) > 0 {
		_ = json.Unmarshal(b, v)
	}
}
