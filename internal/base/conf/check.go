package conf

import (
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// minHeartbeatsPerElection is the minimum number of heartbeat intervals in an election timeout.
const minHeartbeatsPerElection = 3

// minRenewalsPerLease is the minimum number of renewal intervals in a lease.
const minRenewalsPerLease = 3

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	must(v.RegisterValidation("hostport", func(f validator.FieldLevel) bool { return validAddr(f.Field().String()) }))
	must(v.RegisterValidation("span", func(f validator.FieldLevel) bool {
		low, high := durationBounds(f.Param())
		n := time.Duration(f.Field().Int())
		return n >= low && n <= high
	}))
	return v
}

// must panics if err is not nil. Only a bug can cause the error, such as a validation with an empty name.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// validAddr reports whether s is an IP address with a port from 1 to 65535.
func validAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 1<<16
}

// durationBounds splits the parameter of the "span" validation, such as "20ms:10s".
func durationBounds(param string) (low, high time.Duration) {
	a, b, _ := strings.Cut(param, ":")
	low, _ = time.ParseDuration(a)
	high, _ = time.ParseDuration(b)
	return low, high
}

// check adds an issue for every mistake in the decoded settings. Fields that did not decode are left
// out, because they have an issue already.
func (d *decoder) check(cfg Config) {
	d.checkFields(cfg)
	d.checkRoles(cfg)
	d.checkDurations(cfg)
	d.checkAddrsDiffer(cfg)
}

func (d *decoder) checkFields(cfg Config) {
	err := newValidator().Struct(cfg)
	invalid, ok := err.(validator.ValidationErrors)
	if !ok {
		return
	}
	for _, f := range invalid {
		path := strings.TrimPrefix(f.Namespace(), "Config.")
		if d.hasIssue(path) {
			continue
		}
		d.addIssue(d.offsets[path], "%s: %s", path, issueText(f))
	}
}

// hasIssue reports whether decoding has added an issue for the value at path.
func (d *decoder) hasIssue(path string) bool {
	for _, issue := range d.issues {
		if strings.HasPrefix(issue.Text, path+":") {
			return true
		}
	}
	return false
}

// issueText returns what is wrong with a field and what to write instead.
func issueText(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing; set a value"
	case "oneof":
		return fmt.Sprintf("unknown value %q; write one of %s", f.Value(), f.Param())
	case "hostport":
		return fmt.Sprintf(`%q is not an address; write an IP address and a port, such as "127.0.0.1:6432"`, f.Value())
	case "hostname_rfc1123":
		return fmt.Sprintf("%q is not a host name; use letters, digits and hyphens", f.Value())
	case "span":
		low, high := durationBounds(f.Param())
		return fmt.Sprintf("%v is out of bounds; write a duration from %s to %s", f.Value(), low, high)
	case "unique":
		return "has a duplicate value; keep one"
	}
	return "fails the validation rule " + f.Tag()
}

func (d *decoder) checkRoles(cfg Config) {
	if cfg.HasRole(RoleControl) && cfg.DataDir == "" {
		d.addIssue(d.offsets["data"], `data: a control host needs a directory for its log, such as "/var/lib/agatespindle"`)
	}
	if cfg.HasRole(RoleEntry) && cfg.CallerAddr == "" {
		d.addIssue(d.offsets["caller"], `caller: an entry host needs an address for callers, such as "127.0.0.1:6432"`)
	}
	if cfg.HasRole(RoleControl) && !cfg.inControlPeers() {
		d.addIssue(d.offsets["control"], "control: this host has the control role but %q is not in the list; add it", cfg.Host)
	}
}

// inControlPeers reports whether the control hosts include this host.
func (c Config) inControlPeers() bool {
	for _, p := range c.ControlPeers {
		if p.Host == c.Host {
			return true
		}
	}
	return false
}

// checkDurations checks the durations that depend on each other.
func (d *decoder) checkDurations(cfg Config) {
	if cfg.RenewInterval > 0 && cfg.LeaseDuration < minRenewalsPerLease*cfg.RenewInterval {
		d.addIssue(d.offsets["lease"], "lease: %s is shorter than %d renewal intervals of %s; write at least %s", cfg.LeaseDuration, minRenewalsPerLease, cfg.RenewInterval, minRenewalsPerLease*cfg.RenewInterval)
	}
	if cfg.HeartbeatInterval > 0 && cfg.ElectionTimeout < minHeartbeatsPerElection*cfg.HeartbeatInterval {
		d.addIssue(d.offsets["election"], "election: %s is shorter than %d heartbeats of %s; write at least %s", cfg.ElectionTimeout, minHeartbeatsPerElection, cfg.HeartbeatInterval, minHeartbeatsPerElection*cfg.HeartbeatInterval)
	}
}

// checkAddrsDiffer adds an issue for each listening address that is set twice.
func (d *decoder) checkAddrsDiffer(cfg Config) {
	nameByAddr := map[string]string{}
	for _, a := range []struct{ name, addr string }{{"caller", cfg.CallerAddr}, {"api", cfg.APIAddr}, {"link", cfg.LinkAddr}} {
		if a.addr == "" {
			continue
		}
		if other, taken := nameByAddr[a.addr]; taken {
			d.addIssue(d.offsets[a.name], "%s: %s is already used by %q; write another port", a.name, a.addr, other)
		}
		nameByAddr[a.addr] = a.name
	}
}
