package entry

import "github.com/agatespindle/agatespindle/internal/base/logs"

// engineLog passes the lines of the network engine to the host's log.
type engineLog struct{ log *logs.Logger }

// Debugf implements the engine's logger.
func (l engineLog) Debugf(format string, args ...any) { l.log.Debugf(format, args...) }

// Infof implements the engine's logger.
func (l engineLog) Infof(format string, args ...any) { l.log.Debugf(format, args...) }

// Warnf implements the engine's logger.
func (l engineLog) Warnf(format string, args ...any) { l.log.Warnf(format, args...) }

// Errorf implements the engine's logger.
func (l engineLog) Errorf(format string, args ...any) { l.log.Errorf(format, args...) }

// Fatalf implements the engine's logger; the engine reports its end by itself.
func (l engineLog) Fatalf(format string, args ...any) { l.log.Errorf(format, args...) }
