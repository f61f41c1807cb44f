// Package spec provides the kinds of resources and what operators declare of each.
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

// Kind names a kind of resource, in the plural form that stands in paths.
type Kind string

// The kinds of resources.
const (
	Services Kind = "services"
	Groups   Kind = "groups"
	Callers  Kind = "callers"
	Backends Kind = "backendservers"
	Hosts    Kind = "hosts"
	// Manifests holds the whole declaration in force, under the name Current.
	Manifests Kind = "manifests"
	// ManifestSources holds it as the operator sent it; hosts do not get it.
	ManifestSources Kind = "sources"
)

// CurrentManifest is the name of the only resource of the kinds Manifests and Sources.
const CurrentManifest = "current"

// Kinds lists all kinds.
var Kinds = []Kind{Services, Groups, Callers, Backends, Hosts}

// Class is the urgency of a caller's requests; a lower one goes first.
type Class uint8

// The classes.
const (
	Urgent Class = iota
	Normal
	Browse
	Report
)

var classNames = []string{"urgent", "normal", "browse", "report"}

// String returns the name of the class.
func (c Class) String() string { return classNames[min(int(c), len(classNames)-1)] }

// ParseClass returns the class of that name; an empty or unknown name is Normal.
func ParseClass(s string) Class {
	for i, name := range classNames {
		if name == s {
			return Class(i)
		}
	}
	return Normal
}

// Service is a database that callers name when they connect.
type Service struct {
	// Groups are the database groups of the service; callers of a service with several
	// name the group itself.
	Groups []string `json:"groups" validate:"required,min=1,unique,dive,dnsname"`
}

// Group is a database group: a primary and its replicas.
type Group struct {
	// Size is the number of instances.
	Size int `json:"size" validate:"min=1,max=9"`
	// Acks is the number of instances that hold a write before it is acknowledged.
	Acks int `json:"acks" validate:"min=1,ltefield=Size"`
	// Slots is the number of statements that an instance runs at once.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// Connections is the number of connections that an instance accepts.
	Connections int `json:"connections" validate:"min=1,max=100000"`
	// PreferredCenter is the data centre where the primary stands by preference.
	PreferredCenter string `json:"home,omitempty"`
	// AcceptLossInTerm lets a failover go on with fewer answers than are safe, for one term: what
	// that may lose is accepted. It names the term that is sealed.
	AcceptLossInTerm uint64 `json:"accept,omitempty"`
}

// Caller is a caller by the user name that it connects with.
type Caller struct {
	// Class is urgent, normal, browse or report.
	Class string `json:"class" validate:"oneof=urgent normal browse report"`
	// Stale is the age that reads may have, such as "5s"; empty allows none.
	Stale string `json:"stale,omitempty" validate:"omitempty,duration"`
	// Connections bounds the caller's connections to one entry host; zero sets no bound.
	Connections int `json:"connections,omitempty" validate:"min=0"`
	// Rate bounds the caller's statements per second on one holder; zero sets no bound.
	Rate int `json:"rate,omitempty" validate:"min=0"`
}

// MaxStaleness returns the age that reads may have; zero allows none.
func (c Caller) MaxStaleness() time.Duration {
	d, _ := time.ParseDuration(c.Stale)
	return d
}

// Backend is a backend server; it appears when the server announces itself.
type Backend struct {
	// Leaving takes the server out of use: it gets no new work.
	Leaving bool `json:"leaving"`
}

// Host is a host of the system; it appears when the host joins.
type Host struct {
	// Leaving takes the host out of use: it holds no groups.
	Leaving bool `json:"leaving"`
}

// FieldError is a mistake in one field of a resource.
type FieldError struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Valid reports whether the kind is known.
func (k Kind) Valid() bool {
	for _, known := range Kinds {
		if known == k {
			return true
		}
	}
	return false
}

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

// Validate returns the mistakes of a resource that an operator declares, and its
// canonical form with the defaults filled in.
func Validate(k Kind, name string, b []byte) ([]byte, []FieldError) {
	if !k.Valid() {
		return nil, []FieldError{{"kind", fmt.Sprintf("%q is not known; write one of %v", k, Kinds)}}
	}
	var fieldErrors []FieldError
	if !dnsName.MatchString(name) {
		fieldErrors = append(fieldErrors, FieldError{"name", "use at most 63 of a-z, 0-9, '.', '_' and '-'"})
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

func validateTags(v any) []FieldError {
	invalid, ok := structValidator.Struct(v).(validator.ValidationErrors)
	if !ok {
		return nil
	}
	var fieldErrors []FieldError
	for _, f := range invalid {
		text := fmt.Sprintf("%v breaks the rule %s %s", f.Value(), f.Tag(), f.Param())
		fieldErrors = append(fieldErrors, FieldError{"spec." + strings.ToLower(f.Field()), strings.TrimSpace(text)})
	}
	return fieldErrors
}

// DecodeGroup decodes a group; fields that are missing take their defaults.
func DecodeGroup(b []byte) Group {
	g := newDefaultSpec(Groups).(*Group)
	decode(b, g)
	return *g
}

// DecodeCaller decodes a caller; fields that are missing take their defaults.
func DecodeCaller(b []byte) Caller {
	c := newDefaultSpec(Callers).(*Caller)
	decode(b, c)
	return *c
}

// DecodeService decodes a service.
func DecodeService(b []byte) Service {
	var s Service
	decode(b, &s)
	return s
}

// Leaving reports whether a backend server or a host is leaving.
func Leaving(b []byte) bool {
	var s Backend
	decode(b, &s)
	return s.Leaving
}

// decode decodes what Check has accepted before; an empty spec keeps the defaults.
func decode(b []byte, v any) {
	if len(b) > 0 {
		_ = json.Unmarshal(b, v)
	}
}
