package logs

// ServiceEnded logs that a service of the process ended by itself with err, or did not stop in time. An
// err of nil is the normal end of a service that has nothing more to do.
func (l *Logger) ServiceEnded(service string, err error) {
	line := l.WithField("service", service)
	if err == nil {
		line.Info("service ended")
		return
	}
	line.WithField("error", err.Error()).Error("service ended")
}

// Stopped logs the end of the process, with the error that caused it or nil.
func (l *Logger) Stopped(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	l.WithField("error", text).Info("stop")
}
