// Package logs provides the structured log of a host. Lines are JSON with the fields host, role and revision.
package logs

import (
	"io"
	"strings"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Logger writes JSON lines. Each line has the revision of the settings in force on the host.
type Logger struct {
	log.Interface
	revision *atomic.Uint64
}

// Options configure a Logger.
type Options struct {
	// Out receives the lines.
	Out io.Writer
	// Host is the name of the host.
	Host string
	// Roles are the roles of the host.
	Roles []string
	// Level is the lowest level that is logged: debug, info, warn, error or fatal.
	Level string
}

// New returns a logger. An unknown level means info.
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

// SetRevision sets the revision field of all later lines.
func (l *Logger) SetRevision(n uint64) { l.revision.Store(n) }

// handler adds the revision to each line, cuts long texts and passes it to next.
type handler struct {
	next     log.Handler
	revision *atomic.Uint64
}

// HandleLog implements log.Handler.
func (h *handler) HandleLog(e *log.Entry) error {
	line := *e
	line.Fields = shortenFields(e.Fields, h.revision.Load())
	return h.next.HandleLog(&line)
}
