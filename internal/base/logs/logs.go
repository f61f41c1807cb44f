// Package logs provides the structured log of a host: JSON lines with host, role and revision.
package logs

import (
	"io"
	"strings"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Logger writes JSON lines. Its revision is that of the settings in force on the host.
type Logger struct {
	log.Interface
	revision *atomic.Uint64
}

// Options are the fixed fields of a host's log.
type Options struct {
	// Out receives the lines.
	Out io.Writer
	// Host is the name of the host.
	Host string
	// Roles are the roles of the host.
	Roles []string
	// Level is the least level that is logged.
	Level string
}

// New returns a logger. A level that is not known counts as info.
func New(o Options) *Logger {
	revision := new(atomic.Uint64)
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		level = log.InfoLevel
	}
	base := &log.Logger{Handler: &handler{json.New(o.Out), revision}, Level: level}
	fields := log.Fields{"host": o.Host, "role": strings.Join(o.Roles, ",")}
	return &Logger{base.WithFields(fields), revision}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(Options{Out: io.Discard, Level: "fatal"})
}

// SetRevision sets the revision that each later line carries.
func (l *Logger) SetRevision(n uint64) { l.revision.Store(n) }

// handler adds the revision to each line.
type handler struct {
	next     log.Handler
	revision *atomic.Uint64
}

// HandleLog implements log.Handler.
func (h *handler) HandleLog(e *log.Entry) error {
	fields := log.Fields{"revision": h.revision.Load()}
	for name, v := range e.Fields {
		fields[name] = v
	}
	line := *e
	line.Fields = fields
	return h.next.HandleLog(&line)
}
