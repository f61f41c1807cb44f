package logs

// EngineLogger writes the log lines of the network engine (gnet) to the log of a host. It implements the
// logger interface of gnet.
type EngineLogger struct{ Log *Logger }

// Debugf logs at debug level.
func (l EngineLogger) Debugf(format string, args ...any) { l.Log.Debugf(format, args...) }

// Infof logs at debug level, because the info lines of the engine are details to the host.
func (l EngineLogger) Infof(format string, args ...any) { l.Log.Debugf(format, args...) }

// Warnf logs at warn level.
func (l EngineLogger) Warnf(format string, args ...any) { l.Log.Warnf(format, args...) }

// Errorf logs at error level.
func (l EngineLogger) Errorf(format string, args ...any) { l.Log.Errorf(format, args...) }

// Fatalf logs at error level and does not exit; the engine returns an error when it ends.
func (l EngineLogger) Fatalf(format string, args ...any) { l.Log.Errorf(format, args...) }
