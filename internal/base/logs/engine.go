package logs

// EngineLogger passes the lines of the network engine to a host's log. It implements the engine's
// logger.
type EngineLogger struct{ Log *Logger }

// Debugf logs a detail.
func (l EngineLogger) Debugf(format string, args ...any) { l.Log.Debugf(format, args...) }

// Infof logs a detail: the engine's news are none of the host's.
func (l EngineLogger) Infof(format string, args ...any) { l.Log.Debugf(format, args...) }

// Warnf logs a warning.
func (l EngineLogger) Warnf(format string, args ...any) { l.Log.Warnf(format, args...) }

// Errorf logs an error.
func (l EngineLogger) Errorf(format string, args ...any) { l.Log.Errorf(format, args...) }

// Fatalf logs an error; the engine reports its end by itself.
func (l EngineLogger) Fatalf(format string, args ...any) { l.Log.Errorf(format, args...) }
